// Detects servers of a pool that are down or slower than the others, and restores their traffic gradually.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace balsamspring {

struct outlier_options {
    bool enabled = true;
    double ratio = 3; // a server is ejected above this multiple of the pool's median
    double spreadFactor = 6; // the score must also exceed the median by this many median absolute deviations
    std::size_t minSamples = 3;
    duration sampleAge = std::chrono::seconds(30); // older samples are ignored
    double failureRatio = 10; // a failed call counts as a reply at this multiple of the median
    double maxEjectedShare = 0.3;
    double stepShare = 0.1; // largest share of the pool ejected per `stepInterval`
    duration stepInterval = std::chrono::seconds(1);
    duration baseEjection = std::chrono::seconds(1); // doubles with each consecutive ejection
    duration maxEjection = std::chrono::seconds(30);
    double initialShare = 0.1; // initial traffic share of a returning server; doubles with each fast reply
    std::uint32_t failuresToDown = 3; // consecutive failures
    duration baseDown = std::chrono::milliseconds(200); // doubles with each failed probe
    duration maxDown = std::chrono::seconds(1);
};

enum class health_state : std::uint8_t {
    Live,
    Ejected, // excluded because it is slower than the pool
    Down, // excluded because calls fail
    Returning, // receives an increasing share of its traffic
};

// A latency relative to the pool's median at the time of the sample. The median may change later.
struct relative_latency {
    double ratio = 0;
    double median = 0; // seconds; 0 when the ratio does not depend on a median
    std::size_t baseline = 0; // index of the median in `medians`
};

// Health state and recent latency samples of one server.
class server_health {
public:
    health_state state() const { return m_state; }

    // Fraction of its regular traffic that the server receives, 0 to 1.
    double share() const;

    // Median of the recent latency ratios, and the newest ratio. Both are 0 when there are fewer than `minSamples`.
    // `overdue` holds lower bounds from calls still in flight; `medians` holds the current medians by baseline.
    struct slowness {
        double median = 0;
        double newest = 0;
    };
    slowness measure(const outlier_options& options, std::span<const double> overdue, std::span<const double> medians,
        mono_time now) const;

private:
    friend class outlier_detector;

    static constexpr std::size_t sampleCount = 5;
    struct sample {
        relative_latency latency;
        mono_time recordedAt {};
    };

    void add(const relative_latency& latency, mono_time now);

    health_state m_state = health_state::Live;
    std::array<sample, sampleCount> m_samples {};
    std::size_t m_count = 0; // samples added since the history was last reset
    std::uint32_t m_failures = 0; // consecutive failures
    std::uint32_t m_ejections = 0; // consecutive periods in state Ejected or Down
    double m_share = 1;
    bool m_slowWhileReturning = false; // a slow reply arrived in state Returning
    mono_time m_stateChangedAt {};
    mono_time m_backoffUntil {}; // end of state Ejected or Down
};

// Input to the evaluation of one server: its health and the latency ratios of its overdue calls.
struct evaluated_server {
    server_health* health;
    std::vector<double> overdue;
};

// Outlier detector for one pool. Not thread safe.
class outlier_detector {
public:
    outlier_detector(const outlier_options& options, random_engine& random);

    void replied(server_health& server, const relative_latency& latency, mono_time now);

    // Records a cancelled call; `latency` is a lower bound.
    void cancelled(server_health& server, const relative_latency& latency, mono_time now);

    void failed(server_health& server, mono_time now);

    // Compares the servers with each other and updates their states. `medians` holds the current medians by
    // baseline.
    // Returns the number of new ejections.
    std::size_t evaluate(std::span<const evaluated_server> servers, std::span<const double> medians, mono_time now);

private:
    void eject(server_health& server, mono_time now);
    void markSlowWhileReturning(server_health& server) const;
    void markDown(server_health& server, mono_time now);
    duration backoff(duration base, duration limit, std::uint32_t exponent);
    void updateTimers(std::span<const evaluated_server> servers, mono_time now);
    // Whether one more ejection stays within `maxEjectedShare`.
    bool canEject(std::span<const evaluated_server> servers) const;
    // Whether one more ejection is allowed now. May end the longest ejection early to stay within `maxEjectedShare`.
    bool reserveEjection(std::span<const evaluated_server> servers, mono_time now);

    outlier_options m_options;
    random_engine& m_random;
    mono_time m_stepStart {};
    std::size_t m_stepCount = 0;
};

} // namespace balsamspring

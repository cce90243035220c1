// Adaptive limit on the calls in flight to one server, derived from observed latency.
#pragma once

#include "balsamspring/base/length_class.h"
#include "balsamspring/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace balsamspring {

struct concurrency_options {
    double initial = 32;
    double minimum = 4;
    double maximum = 512;
    double tolerance = 2.5; // ratio of average latency to its baseline above which the limit decreases
    double decrease = 0.9; // factor applied by each decrease
    double smoothing = 0.1; // weight of a new sample in the moving average of latency
    double baselineDrift = 1e-3; // relative increase of the baseline with each sample
    double shortReserve = 0.2; // share of the limit that only short calls may use
    double longLimit = 0.6; // share of the limit that long calls may use
};

// Increases the limit additively while latency stays near its baseline, and decreases it multiplicatively when latency
// rises. Not thread safe.
class concurrency_limit {
public:
    explicit concurrency_limit(const concurrency_options& options);

    void started(length_class length);
    void finished(length_class length);

    // Records a reply that arrived after `latency`.
    void replied(length_class length, duration latency, mono_time now);

    // Records that the server refused a call or did not answer in time.
    void overloaded(mono_time now);

    // Returns whether another call of this class may start.
    bool allows(length_class length) const;

    double limit() const { return m_limit; }

private:
    struct latency_average {
        double current = 0; // exponential moving average in seconds; 0 before the first sample
        double lowest = 0; // slowly rising baseline in seconds
    };

    // Adds a sample and returns the ratio of the average to its baseline.
    double updateAverage(latency_average& average, double seconds) const;
    // Decreases the limit, unless the interval set by the previous decrease has not passed yet.
    void decrease(duration interval, mono_time now);

    concurrency_options m_options;
    double m_limit;
    std::uint32_t m_inFlight = 0;
    std::array<std::uint32_t, lengthClassCount> m_byClass {};
    std::array<latency_average, lengthClassCount> m_averages {};
    mono_time m_nextDecrease {};
};

} // namespace balsamspring

// Decides whether a request may start its stages, and go on with the next one, by the time that the pools ahead are
// expected to take. Derives the Retry-After of refused requests.
//
// Load pattern: stages in a row, of which a later one is overloaded for seconds by a burst. Without the decision,
// requests run their first stages in vain, are refused at the overloaded one, and return within the same burst.
//
// The wait of a pool comes from the VMs that gather for it (hook), or from the stages that this VM ran there itself.
// A pool without a usable figure counts as one without a wait. New requests are refused only while the pool itself
// refuses requests of their kind, or when their deadline would be missed and no such request has passed lately.
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/random.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <utility>

namespace balsamspring {

struct early_refusal_options {
    // Own figures that are older are not used: a burst of 6 s changes a wait by a whole target within this time.
    duration lifetime = std::chrono::seconds(2);
    // Over which the share of refused stages is counted. Within one second a VM of 62 sees only 2 to 4 stages of a
    // kind.
    duration refusalWindow = std::chrono::seconds(2);
    // Fewer stages in the window give no share: one refusal alone may be chance.
    unsigned minStages = 2;
    // Share of the refusals of a pool that is moved to before the first stage, for priority 1. The rest shows whether
    // the pool still refuses.
    double movedShare = 0.9;
    // Added to the moved share for each less urgent priority, and for requests that will miss their target.
    double priorityStep = 0.1;
    double lateStep = 0.1;
    // Weight of the newest stage in the average of the own waits.
    double sampleWeight = 0.2;
    // Longer waits are errors: no caller waits this long.
    duration maxWait = std::chrono::seconds(30);
    // A pool is short when its wait exceeds this many full calls. Batching alone makes requests wait for up to one.
    double shortageCalls = 1.5;
    // While a pool refuses requests of a kind, all of them are refused early when the waits take rampEnd of the time
    // that is left for waiting, none for this reason below rampStart. A pool that refuses at the deadline holds its
    // queue at more than half of that time.
    double rampStart = 0.25;
    double rampEnd = 0.45;
    // One of this many admissions under a shortage goes by arrival.
    unsigned admissionsPerArrival = 4;
    // After this many early refusals in a row one request goes by arrival, so that a full shortage starves nobody.
    unsigned refusalsPerArrival = 16;
    // Range of the Retry-After when nothing is known, and its minimum otherwise.
    duration minRetryAfter = std::chrono::milliseconds(150);
    duration maxRetryAfter = std::chrono::milliseconds(900);
    // The Retry-After is at most this share of the caller's remaining time. Callers ignore longer ones.
    double maxRetryShare = 1.0 / 3;
    // While the target can be met, the Retry-After is at most this share of the time that the second attempt may wait.
    // A larger share leaves too little time for its queues: in the replay of the burst it is served, but late.
    double maxTargetShare = 0.5;
    // A wait is taken to fall by at least this many seconds per second: bursts end within seconds.
    double slowestFall = 0.25;
    // Longest time until a pool is expected to have room: bursts are over by then, and the trend says nothing beyond.
    duration maxUntilRoom = std::chrono::seconds(10);
    // Time between two samples of the trend of a wait: that between two reports of a VM.
    duration trendInterval = std::chrono::milliseconds(300);
};

// Requests of one route. Pools refuse kinds differently: those with many pieces or a late target first.
using request_kind = string_id<struct request_kind_tag>;

// A stage that the request has not started, on the longest chain of stages.
struct stage_ahead {
    pool_id pool;
    duration call {}; // of the request's own pieces, without waiting
    duration fullCall {}; // of the largest batch
};

struct request_ahead {
    request_kind kind;
    std::span<const stage_ahead> stages;
    duration engine {}; // expected time from the last stage to the response
    mono_time targetTime {};
    mono_time deadline {};
    unsigned priority = 0; // 0 is the most urgent
};

enum class early_verdict : std::uint8_t {
    Proceed,
    MissesDeadline, // the stages ahead are expected to end too late
    Shortage, // a pool ahead is short, and others go first
};

class early_refusal {
public:
    // Current wait of new work for a pool, none if unknown or older than 2 s.
    using wait_hook = std::function<std::optional<duration>(const pool_id&)>;

    // The random engine must outlive this object.
    early_refusal(early_refusal_options options, random_engine& random, wait_hook waits = {});

    // Stages of this VM. `wait`: time from submission to results beyond the call itself.
    void stageEnded(const pool_id& pool, const request_kind& kind, duration wait, mono_time now);
    void stageRefused(const pool_id& pool, const request_kind& kind, mono_time now);

    early_verdict beforeFirstStage(const request_ahead& request, mono_time now);
    // For requests whose earlier stages have run. They go before new ones: only the deadline ends them, and only while
    // the pool refuses requests of their kind.
    early_verdict beforeNextStage(const request_ahead& request, mono_time now);
    // For a refused request whose stages ahead are those of a new attempt. None if the pools have no known shortage.
    std::optional<duration> retryAfter(const request_ahead& request, mono_time now);

    std::optional<duration> wait(const pool_id& pool, mono_time now);
    // Number of waits of the hook that were negative or too long. They are treated as missing.
    std::uint64_t absurdWaits() const { return m_absurdWaits; }

private:
    enum class stage_end : std::uint8_t { Passed, Refused, RefusedEarly };
    using kind_at_pool = std::pair<pool_id, request_kind>;
    struct pool_knowledge {
        duration ownWait {};
        mono_time ownWaitAt {};
        duration sampledWait {};
        mono_time sampledAt {};
        double trend = 0; // change of the wait, in seconds per second
    };
    struct outlook {
        duration bare {}; // without waits
        duration waits {};
        const stage_ahead* bottleneck = nullptr; // pool with the longest wait that is short
        duration bottleneckWait {};
    };

    outlook lookAhead(const request_ahead& request, mono_time now);
    // Whether stages of the kind passed the pool within the window, and none was refused.
    bool passes(const pool_id& pool, const request_kind& kind, mono_time now) const;
    bool missesDeadline(const request_ahead& request, const outlook& ahead, mono_time now) const;
    // Share of the stages that the pool refused, or would have, within the window. 0 if it refused none.
    double refusedShare(const pool_id& pool, const request_kind& kind, mono_time now);
    void sampleTrend(const pool_id& pool, duration wait, mono_time now);
    void record(const pool_id& pool, const request_kind& kind, stage_end end, mono_time now);
    // The stage at whose pool the request is most likely to be refused, and the likelihood.
    std::pair<const stage_ahead*, double> likeliestRefusal(const request_ahead& request, mono_time now);

    early_refusal_options m_options;
    random_engine& m_random;
    wait_hook m_waits;
    std::map<pool_id, pool_knowledge> m_pools;
    std::map<kind_at_pool, std::deque<std::pair<mono_time, stage_end>>> m_ended; // within the window
    std::uint64_t m_absurdWaits = 0;
    unsigned m_refusalsInRow = 0;
    unsigned m_preferredAdmissions = 0; // since the last one by arrival
};

} // namespace balsamspring

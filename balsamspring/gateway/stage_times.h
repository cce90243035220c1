// Learns how long a stage takes on each pool, from submission to its results, including the wait in the queue.
//
// Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <map>

namespace balsamspring {

struct stage_times_options {
    // Weight of the newest sample in the moving average.
    double sampleWeight = 0.2;
    // Older averages are not used.
    duration lifetime = std::chrono::seconds(10);
};

class stage_times {
public:
    explicit stage_times(stage_times_options options = {})
        : m_options(options)
    {
    }

    void record(const pool_id& pool, duration elapsed, mono_time now)
    {
        average& known = m_pools[pool];
        const bool fresh = known.value > duration::zero() && now - known.updatedAt <= m_options.lifetime;
        known.value = fresh
            ? known.value + fromSeconds(m_options.sampleWeight * (toSeconds(elapsed) - toSeconds(known.value)))
            : elapsed;
        known.updatedAt = now;
    }

    // Zero for a pool without samples.
    duration expected(const pool_id& pool) const
    {
        const auto found = m_pools.find(pool);
        return found == m_pools.end() ? duration::zero() : found->second.value;
    }

private:
    struct average {
        duration value {};
        mono_time updatedAt {};
    };

    stage_times_options m_options;
    std::map<pool_id, average> m_pools;
};

} // namespace balsamspring

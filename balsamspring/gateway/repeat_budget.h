// Retry budget: limits how often this VM sends a request to another server.
//
// Load pattern: many servers of a pool fail at once and every VM retries. All VMs share one budget per pool: a ratio of
// the requests for the pool in a sliding window, plus a fixed allowance, the slack. Each VM spends the ratio of its own
// requests only, so the VMs need no coordination. Its share of the slack is safe for the largest number of VMs.
//
// Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <deque>
#include <map>

namespace balsamspring {

struct retry_budget_options {
    // Retries per request.
    double ratio = 0.2;
    duration window = std::chrono::seconds(10);
    // Additional retries in a window, of all VMs together.
    double slack = 58;
    // Share of the ratio that is spent, because the windows of the VMs are not aligned.
    double safetyFactor = 0.8;
    // Share of the slack that one VM may spend.
    double slackSharePerVm = 0.01;
};

class retry_budget {
public:
    explicit retry_budget(retry_budget_options options);

    void requestArrived(const pool_id& pool, mono_time now);
    // Spends one retry. Returns false if the budget is exhausted.
    bool trySpend(const pool_id& pool, mono_time now) { return trySpend(pool, 1, now); }
    // Spends `count` retries, or none and returns false if fewer are available.
    bool trySpend(const pool_id& pool, unsigned count, mono_time now);
    // Number of retries that are available now. A retry needs at least 1.
    double remaining(const pool_id& pool, mono_time now);

private:
    struct pool_usage {
        std::deque<mono_time> requests;
        std::deque<mono_time> retries;
    };

    void dropExpired(pool_usage& pool, mono_time now) const;

    retry_budget_options m_options;
    std::map<pool_id, pool_usage> m_usage;
};

} // namespace balsamspring

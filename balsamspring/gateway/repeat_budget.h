// Bounds how often this VM sends a request to a second server.
//
// Load pattern: many servers of a pool fail at once and every VM repeats. All VMs share one budget per pool: a ratio of
// the requests for the pool in a window, and a fixed slack. Each VM spends the ratio of its own requests only, so that
// no VM has to ask another; of the slack it takes a part that is safe for the largest number of VMs.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <deque>
#include <map>

namespace balsamspring {

struct repeat_budget_options {
    double ratio = 0.2; // repeats per request
    duration window = std::chrono::seconds(10);
    double slack = 58; // repeats in a window, of all VMs together
    double safety = 0.8; // share of the ratio that is spent: windows of VMs do not coincide
    double slackShare = 0.01; // of the slack, for one VM
};

class repeat_budget {
public:
    explicit repeat_budget(repeat_budget_options options);

    void requestArrived(const pool_id& pool, mono_time now);
    // Spends one repeat if the budget allows it.
    bool trySpend(const pool_id& pool, mono_time now);
    // Repeats left at this moment.
    double remaining(const pool_id& pool, mono_time now);

private:
    struct account {
        std::deque<mono_time> requests;
        std::deque<mono_time> repeats;
    };

    void forget(account& pool, mono_time now) const;

    repeat_budget_options m_options;
    std::map<pool_id, account> m_accounts;
};

} // namespace balsamspring

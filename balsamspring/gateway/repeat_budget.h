// Retry budget: limits how often this VM sends a request to another server.
//
// Load pattern: many servers of a pool fail at once and every VM retries. All VMs share one budget per pool: a ratio of
// the requests for the pool in a sliding window, plus a fixed allowance, the slack. Each VM spends the ratio of its own
// requests only, so the VMs need no coordination. Its share of the slack is safe for 100 VMs, and for any number that
// is known.
//
// Load pattern: few VMs meet most failures. A VM cedes allowance that it does not need and treats it as spent. Another
// one gets it as a grant, which it must use soon, because the allowance was earned in the window of the first.
//
// Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <deque>
#include <functional>
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
    // Share of the slack that all VMs together may spend where their number is known. The rest allows for VMs that do
    // not know it.
    double sharedSlack = 0.8;
    // A known number of VMs counts this long after a smaller one or none: VMs that are cut off are as many as before.
    duration fleetMemory = std::chrono::minutes(10);
    // A grant lapses after this time, so that its use falls into a window in which it was earned. On a VM of a large
    // fleet failures are seconds apart.
    duration grantLifetime = std::chrono::seconds(4);
    // A VM asks for as many retries as it wanted to make within this time.
    duration needWindow = std::chrono::seconds(5);
};

// Counters since the start of the VM.
struct retry_counts {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
};

class retry_budget {
public:
    explicit retry_budget(retry_budget_options options);

    void requestArrived(const pool_id& pool, mono_time now);
    // Spends one retry. Returns false if the budget is exhausted.
    bool trySpend(const pool_id& pool, mono_time now) { return trySpend(pool, 1, now); }
    // Spends `count` retries, or none and returns false if fewer are available.
    bool trySpend(const pool_id& pool, unsigned count, mono_time now);
    // Number of retries that are available now. A retry needs at least 1; if there is less, the
    // VM counts as wanting one.
    double remaining(const pool_id& pool, mono_time now);

    // The number of VMs, 0 if unknown.
    void setFleetSize(unsigned vms, mono_time now);
    // The largest number of VMs that was known in the last fleetMemory; 0 before the first.
    unsigned knownFleetSize() const { return m_vms; }
    // Allowance in thousandths of a retry that the VM misses now, if it wants as many retries as lately.
    std::uint64_t missing(const pool_id& pool, mono_time now);
    // Gives up to `wanted` thousandths away. Returns how much. Keeps one retry, or nothing if there is less than one,
    // which the VM could not spend alone.
    std::uint64_t cede(const pool_id& pool, std::uint64_t wanted, mono_time now);
    // Adds an allowance that was asked for at `since`.
    void grant(const pool_id& pool, std::uint64_t allowance, mono_time since);
    void forEachPool(const std::function<void(const pool_id&, const retry_counts&)>& action) const;

private:
    // Allowances in thousandths of a retry, so that sums are exact.
    struct amount_at {
        mono_time time {};
        std::int64_t amount = 0;
    };

    struct pool_usage {
        std::deque<mono_time> requests;
        std::deque<amount_at> spent; // own allowance: retries and what was ceded
        std::int64_t spentSum = 0;
        std::deque<amount_at> grants;
        std::deque<amount_at> needs; // retries that were wanted, made or not
        retry_counts counts;
    };

    void dropExpired(pool_usage& pool, mono_time now) const;
    std::int64_t ownAllowance(const pool_usage& pool) const;
    std::int64_t available(const pool_usage& pool, mono_time now) const;
    static std::int64_t needed(const pool_usage& pool);
    static std::int64_t grantedAllowance(const pool_usage& pool);
    static void spend(pool_usage& pool, std::int64_t amount, mono_time now);

    retry_budget_options m_options;
    std::map<pool_id, pool_usage> m_usage;
    unsigned m_vms = 0; // largest number known lately
    unsigned m_vmsSince = 0; // largest number since m_vmsAt
    mono_time m_vmsAt {};
};

} // namespace balsamspring

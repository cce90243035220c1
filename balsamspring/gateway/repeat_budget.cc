#include "balsamspring/gateway/repeat_budget.h"

#include <algorithm>

namespace balsamspring {

retry_budget::retry_budget(retry_budget_options options)
    : m_options(options)
{
}

void retry_budget::requestArrived(const pool_id& pool, mono_time now)
{
    pool_usage& usage = m_usage[pool];
    dropExpired(usage, now);
    usage.requests.push_back(now);
}

bool retry_budget::trySpend(const pool_id& pool, unsigned count, mono_time now)
{
    if (remaining(pool, now) < count)
        return false;
    auto& retries = m_usage[pool].retries;
    retries.insert(retries.end(), count, now);
    return true;
}

double retry_budget::remaining(const pool_id& pool, mono_time now)
{
    pool_usage& usage = m_usage[pool];
    dropExpired(usage, now);
    const double proportionalAllowance
        = m_options.ratio * m_options.safetyFactor * static_cast<double>(usage.requests.size());
    const double fixedAllowance = std::max(1.0, m_options.slack * m_options.slackSharePerVm);
    return proportionalAllowance + fixedAllowance - static_cast<double>(usage.retries.size());
}

void retry_budget::dropExpired(pool_usage& pool, mono_time now) const
{
    const mono_time oldest = now - m_options.window;
    while (!pool.requests.empty() && pool.requests.front() < oldest)
        pool.requests.pop_front();
    while (!pool.retries.empty() && pool.retries.front() < oldest)
        pool.retries.pop_front();
}

} // namespace balsamspring

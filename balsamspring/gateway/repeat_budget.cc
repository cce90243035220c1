#include "balsamspring/gateway/repeat_budget.h"

#include <algorithm>

namespace balsamspring {

repeat_budget::repeat_budget(repeat_budget_options options)
    : m_options(options)
{
}

void repeat_budget::requestArrived(const pool_id& pool, mono_time now)
{
    account& spent = m_accounts[pool];
    forget(spent, now);
    spent.requests.push_back(now);
}

bool repeat_budget::trySpend(const pool_id& pool, mono_time now)
{
    if (remaining(pool, now) < 1)
        return false;
    m_accounts[pool].repeats.push_back(now);
    return true;
}

double repeat_budget::remaining(const pool_id& pool, mono_time now)
{
    account& spent = m_accounts[pool];
    forget(spent, now);
    const double earned = m_options.ratio * m_options.safety * static_cast<double>(spent.requests.size());
    const double floor = std::max(1.0, m_options.slack * m_options.slackShare);
    return earned + floor - static_cast<double>(spent.repeats.size());
}

void repeat_budget::forget(account& pool, mono_time now) const
{
    const mono_time oldest = now - m_options.window;
    while (!pool.requests.empty() && pool.requests.front() < oldest)
        pool.requests.pop_front();
    while (!pool.repeats.empty() && pool.repeats.front() < oldest)
        pool.repeats.pop_front();
}

} // namespace balsamspring

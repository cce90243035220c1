#include "balsamspring/gateway/repeat_budget.h"

#include <algorithm>

namespace balsamspring {

namespace {

constexpr std::int64_t oneRetry = 1000; // unit of the amounts: thousandths

} // namespace

retry_budget::retry_budget(retry_budget_options options)
    : m_options(options)
{
}

void retry_budget::requestArrived(const pool_id& pool, mono_time now)
{
    pool_usage& usage = m_usage[pool];
    dropExpired(usage, now);
    usage.requests.push_back(now);
    usage.counts.requests += 1;
}

bool retry_budget::trySpend(const pool_id& pool, unsigned count, mono_time now)
{
    pool_usage& usage = m_usage[pool];
    dropExpired(usage, now);
    const std::int64_t amount = oneRetry * count;
    const std::int64_t granted = grantedAllowance(usage);
    usage.needs.push_back({ now, amount });
    if (available(usage, now) < amount)
        return false;
    // Grants lapse first.
    std::int64_t fromGrants = std::min(granted, amount);
    spend(usage, amount - fromGrants, now);
    while (fromGrants > 0) {
        amount_at& oldest = usage.grants.front();
        const std::int64_t taken = std::min(fromGrants, oldest.amount);
        oldest.amount -= taken;
        fromGrants -= taken;
        if (oldest.amount == 0)
            usage.grants.pop_front();
    }
    usage.counts.retries += count;
    return true;
}

double retry_budget::remaining(const pool_id& pool, mono_time now)
{
    pool_usage& usage = m_usage[pool];
    dropExpired(usage, now);
    const std::int64_t left = available(usage, now);
    // A caller that finds less than one retry does not try to spend it.
    if (left < oneRetry)
        usage.needs.push_back({ now, oneRetry });
    return static_cast<double>(left) / oneRetry;
}

void retry_budget::setFleetSize(unsigned vms, mono_time now)
{
    if (vms == 0)
        return;
    m_vmsSince = std::max(m_vmsSince, vms);
    if (vms < m_vms && now - m_vmsAt < m_options.fleetMemory)
        return;
    // A collector that has just begun knows only some VMs, so the largest number of the period counts.
    m_vms = m_vmsSince;
    m_vmsSince = vms;
    m_vmsAt = now;
}

std::uint64_t retry_budget::missing(const pool_id& pool, mono_time now)
{
    const auto found = m_usage.find(pool);
    if (found == m_usage.end())
        return 0;
    pool_usage& usage = found->second;
    dropExpired(usage, now);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, needed(usage) - available(usage, now)));
}

std::uint64_t retry_budget::cede(const pool_id& pool, std::uint64_t wanted, mono_time now)
{
    const auto found = m_usage.find(pool);
    if (found == m_usage.end() || missing(pool, now) > 0)
        return 0;
    const std::int64_t own = ownAllowance(found->second);
    const std::int64_t kept = own >= oneRetry ? std::max(oneRetry, needed(found->second)) : 0;
    const std::int64_t surplus = std::max<std::int64_t>(0, own - kept);
    const auto ceded = std::min(static_cast<std::uint64_t>(surplus), wanted);
    spend(found->second, static_cast<std::int64_t>(ceded), now);
    return ceded;
}

void retry_budget::grant(const pool_id& pool, std::uint64_t allowance, mono_time since)
{
    m_usage[pool].grants.push_back({ since, static_cast<std::int64_t>(allowance) });
}

void retry_budget::forEachPool(const std::function<void(const pool_id&, const retry_counts&)>& action) const
{
    for (const auto& [pool, usage] : m_usage)
        action(pool, usage.counts);
}

void retry_budget::dropExpired(pool_usage& pool, mono_time now) const
{
    const mono_time oldest = now - m_options.window;
    while (!pool.requests.empty() && pool.requests.front() < oldest)
        pool.requests.pop_front();
    while (!pool.spent.empty() && pool.spent.front().time < oldest) {
        pool.spentSum -= pool.spent.front().amount;
        pool.spent.pop_front();
    }
    while (!pool.grants.empty() && pool.grants.front().time + m_options.grantLifetime < now)
        pool.grants.pop_front();
    while (!pool.needs.empty() && pool.needs.front().time + m_options.needWindow < now)
        pool.needs.pop_front();
}

std::int64_t retry_budget::ownAllowance(const pool_usage& pool) const
{
    // A size that was known stays known: the VMs are still there while the collector is silent.
    const bool sizeKnown = m_vms > 0;
    const double sharePerVm
        = sizeKnown ? std::min(m_options.slackSharePerVm, m_options.sharedSlack / m_vms) : m_options.slackSharePerVm;
    // One retry of each VM is within the slack of a small fleet only.
    const bool oneEach = !sizeKnown || m_vms <= m_options.sharedSlack * m_options.slack;
    const double fixedAllowance = std::max(oneEach ? 1.0 : 0.0, m_options.slack * sharePerVm);
    const double proportionalAllowance
        = m_options.ratio * m_options.safetyFactor * static_cast<double>(pool.requests.size());
    return static_cast<std::int64_t>((proportionalAllowance + fixedAllowance) * oneRetry) - pool.spentSum;
}

std::int64_t retry_budget::needed(const pool_usage& pool)
{
    std::int64_t sum = 0;
    for (const amount_at& item : pool.needs)
        sum += item.amount;
    return sum;
}

std::int64_t retry_budget::grantedAllowance(const pool_usage& pool)
{
    std::int64_t sum = 0;
    for (const amount_at& item : pool.grants)
        sum += item.amount;
    return sum;
}

// Own allowance may be below 0 after requests have left the window. Grants are of other VMs and do not make up for it.
std::int64_t retry_budget::available(const pool_usage& pool, mono_time /*now*/) const
{
    return std::max<std::int64_t>(0, ownAllowance(pool)) + grantedAllowance(pool);
}

void retry_budget::spend(pool_usage& pool, std::int64_t amount, mono_time now)
{
    if (amount == 0)
        return;
    pool.spent.push_back({ now, amount });
    pool.spentSum += amount;
}

} // namespace balsamspring

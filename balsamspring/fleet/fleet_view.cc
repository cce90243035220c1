#include "balsamspring/fleet/fleet_view.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>
#include <vector>

namespace balsamspring {

std::string_view toString(summary_outcome outcome)
{
    switch (outcome) {
    case summary_outcome::Applied:
        return "applied";
    case summary_outcome::Unexpected:
        return "unexpected";
    case summary_outcome::Late:
        return "late";
    case summary_outcome::Absurd:
        return "absurd";
    }
    return "unknown";
}

fleet_view::fleet_view(fleet_view_options options, std::uint64_t startedAt, fleet_view_hooks hooks)
    : m_options(options)
    , m_startedAt(startedAt)
    , m_hooks(std::move(hooks))
{
}

std::uint64_t fleet_view::sent(mono_time now)
{
    m_sentAt = now;
    return ++m_sequence;
}

summary_outcome fleet_view::apply(const fleet_summary& summary, mono_time now)
{
    if (!m_sentAt || summary.startedAt != m_startedAt || summary.sequence != m_sequence)
        return summary_outcome::Unexpected;
    if (now - *m_sentAt > m_options.maxAge)
        return summary_outcome::Late;
    if (!plausible(summary))
        return summary_outcome::Absurd;
    // After a silence the counters of the collector contain grants that are too old.
    const bool follows = summary.collector == m_collector && m_figuresAt && now - *m_figuresAt <= m_options.maxAge;
    if (summary.collector != m_collector) {
        m_collector = summary.collector;
        m_ceded.clear();
    }
    m_figuresAt = m_sentAt;
    m_sentAt.reset();
    m_vms = summary.vms;
    m_interval = summary.interval;
    applyCalls(summary);
    applyGrants(summary, follows);
    if (m_hooks.onLimits)
        m_hooks.onLimits(summary.limits, follows, *m_figuresAt, now);
    return summary_outcome::Applied;
}

bool fleet_view::plausible(const fleet_summary& summary) const
{
    if (summary.collector == 0 || summary.vms == 0 || summary.vms > m_options.maxVms
        || summary.interval < duration::zero())
        return false;
    const bool soundCalls = std::all_of(summary.otherCalls.begin(), summary.otherCalls.end(),
        [this](const server_calls& item) { return item.calls <= m_options.maxCalls; });
    const bool soundLimits = summary.limits.size() <= m_options.maxLimits
        && std::all_of(summary.limits.begin(), summary.limits.end(), [](const limit_summary& item) {
               return item.age >= duration::zero()
                   && (!item.rate || (item.rate->perSecond >= 0 && std::isfinite(item.rate->perSecond)));
           });
    std::set<pool_id> pools;
    return soundCalls && soundLimits
        && std::all_of(summary.pools.begin(), summary.pools.end(), [&](const pool_summary& item) {
               return pools.insert(item.pool).second && item.waitAge >= duration::zero()
                   && (!item.wait || (*item.wait >= duration::zero() && *item.wait <= m_options.maxWait));
           });
}

void fleet_view::applyGrants(const fleet_summary& summary, bool follows)
{
    // Pools are left out of a summary while nothing has been granted, so an absent counter is 0 where it is followed.
    std::map<pool_id, std::uint64_t> granted;
    m_pools.clear();
    for (const pool_summary& item : summary.pools) {
        const auto known = m_granted.find(item.pool);
        const std::uint64_t before = known == m_granted.end() ? 0 : known->second;
        if (follows && item.granted > before && item.granted - before <= m_options.maxGrant)
            m_hooks.onGranted(item.pool, item.granted - before, *m_figuresAt);
        granted[item.pool] = item.granted;
        m_pools[item.pool] = item;
    }
    if (follows) {
        for (const auto& [pool, amount] : m_granted)
            granted.try_emplace(pool, amount);
    }
    m_granted = std::move(granted);
}

void fleet_view::applyCalls(const fleet_summary& summary)
{
    std::unordered_map<server_key, std::uint32_t> calls;
    for (const server_calls& item : summary.otherCalls)
        calls[item.server] += item.calls;
    m_calls.clear();
    std::map<pool_id, std::pair<double, unsigned>> pools;
    std::vector<std::pair<server_figure*, pool_id>> figures;
    m_hooks.forEachServer([&](const backend_id& server, const pool_id& pool) {
        const auto found = calls.find(serverKey(server));
        server_figure& figure = m_calls[server];
        figure.calls = found == calls.end() ? 0 : found->second;
        auto& [sum, servers] = pools[pool];
        sum += figure.calls;
        servers += 1;
        figures.emplace_back(&figure, pool);
    });
    for (const auto& [figure, pool] : figures)
        figure->mean = pools[pool].first / pools[pool].second;
}

std::optional<duration> fleet_view::age(mono_time now) const
{
    if (!m_figuresAt || now - *m_figuresAt > m_options.maxAge)
        return std::nullopt;
    return now - *m_figuresAt;
}

unsigned fleet_view::vms(mono_time now) const { return age(now) ? m_vms : 0; }

std::optional<duration> fleet_view::interval(mono_time now) const
{
    return age(now) ? std::optional(m_interval) : std::nullopt;
}

double fleet_view::otherCalls(const backend_id& server, mono_time now) const
{
    const auto figuresAge = age(now);
    const auto found = figuresAge ? m_calls.find(server) : m_calls.end();
    if (found == m_calls.end())
        return 0;
    const double weight = std::exp2(-toSeconds(*figuresAge) / toSeconds(m_options.halfLife));
    return found->second.mean + (found->second.calls - found->second.mean) * weight;
}

std::optional<duration> fleet_view::wait(const pool_id& pool, mono_time now) const
{
    const auto figuresAge = age(now);
    const auto found = m_pools.find(pool);
    if (!figuresAge || found == m_pools.end() || found->second.waitAge > m_options.maxAge - *figuresAge)
        return std::nullopt;
    return found->second.wait;
}

std::uint64_t fleet_view::wanted(const pool_id& pool, mono_time now) const
{
    const auto found = m_pools.find(pool);
    return age(now) && found != m_pools.end() ? found->second.wanted : 0;
}

std::uint64_t fleet_view::ceded(const pool_id& pool) const
{
    const auto found = m_ceded.find(pool);
    return found == m_ceded.end() ? 0 : found->second;
}

} // namespace balsamspring

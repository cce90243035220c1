#include "balsamspring/availability/cold_servers.h"

#include <algorithm>

namespace balsamspring {

cold_servers::cold_servers(cold_servers_options options, random_engine& random)
    : m_options(options)
    , m_random(random)
{
}

void cold_servers::markCold(const backend_id& server, duration remaining, mono_time now)
{
    if (remaining <= duration::zero())
        return;
    const mono_time until = now + std::min(remaining, m_options.maxColdTime);
    const auto [found, added] = m_servers.try_emplace(server, cold_server { until, std::nullopt });
    if (added)
        return;
    // A server that turns cold anew starts with a new random time. While it stays cold the pace goes on.
    if (found->second.until <= now)
        found->second.nextUse.reset();
    found->second.until = std::max(found->second.until, until);
}

void cold_servers::expire(mono_time now)
{
    std::erase_if(m_servers, [now](const auto& item) { return item.second.until <= now; });
}

bool cold_servers::isCold(const backend_id& server, mono_time now) const
{
    return remaining(server, now) > duration::zero();
}

duration cold_servers::remaining(const backend_id& server, mono_time now) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? duration::zero() : std::max(duration::zero(), found->second.until - now);
}

bool cold_servers::mayUse(const backend_id& server, double requestsPerSecond, unsigned vms, mono_time now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || found->second.until <= now)
        return true;
    const auto period = interval(requestsPerSecond, vms);
    if (!period)
        return false;
    if (!found->second.nextUse)
        found->second.nextUse = now + fromSeconds(toSeconds(*period) * uniform(m_random));
    return now >= *found->second.nextUse;
}

void cold_servers::used(const backend_id& server, double requestsPerSecond, unsigned vms, mono_time now)
{
    const auto found = m_servers.find(server);
    const auto period = interval(requestsPerSecond, vms);
    if (found != m_servers.end() && period)
        found->second.nextUse = std::max(now, found->second.nextUse.value_or(now)) + *period;
}

std::optional<duration> cold_servers::interval(double requestsPerSecond, unsigned vms) const
{
    const double rate = requestsPerSecond * m_options.usedShare / (vms > 0 ? vms : m_options.unknownFleetSize);
    // A server that bears no request at all.
    constexpr double minRate = 1e-4;
    if (!(rate > minRate))
        return std::nullopt;
    return fromSeconds(1 / rate);
}

} // namespace balsamspring

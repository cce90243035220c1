#include "balsamspring/gateway/server_balancer.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace balsamspring {

server_balancer::server_balancer(balancer_options options, zone_id ownZone, random_engine& random,
    std::function<double(const backend_id&)> otherCalls, std::function<void(const pool_id&, spill_reason)> onSpill)
    : m_options(options)
    , m_ownZone(std::move(ownZone))
    , m_random(random)
    , m_otherCalls(std::move(otherCalls))
    , m_onSpill(std::move(onSpill))
    , m_spill(options.spill, nullptr)
{
}

const server_entry* server_balancer::choose(server_list servers, const std::set<backend_id>& excluded, mono_time now)
{
    std::vector<const server_entry*> available;
    const server_entry* earliestUnblocked = nullptr;
    for (const server_entry* server : servers) {
        if (excluded.contains(server->id))
            continue;
        if (!blocked(server->id, now)) {
            available.push_back(server);
            continue;
        }
        if (!earliestUnblocked
            || m_servers.at(server->id).blockedUntil < m_servers.at(earliestUnblocked->id).blockedUntil)
            earliestUnblocked = server;
    }
    if (available.empty())
        return earliestUnblocked;
    if (m_options.spill.enabled)
        return chooseZone(available, now);
    return cheaperOfTwo(available, [this](const server_entry& server) { return weightedCost(server); });
}

const server_entry* server_balancer::cheaperOfTwo(
    server_list servers, const std::function<double(const server_entry&)>& cost)
{
    const auto count = static_cast<std::uint32_t>(servers.size());
    const std::uint32_t first = uniformBelow(m_random, count);
    if (count == 1)
        return servers[first];
    const std::uint32_t second = (first + 1 + uniformBelow(m_random, count - 1)) % count;
    return cost(*servers[second]) < cost(*servers[first]) ? servers[second] : servers[first];
}

const server_entry* server_balancer::chooseZone(server_list available, mono_time now)
{
    std::vector<const server_entry*> own;
    std::vector<const server_entry*> others;
    for (const server_entry* server : available)
        (server->zone == m_ownZone ? own : others).push_back(server);
    const double typical = typicalLatency(available);
    const auto cost = [&](const server_entry& server) {
        return expectedTime(server, typical, now);
    };
    const server_entry* chosen = cheaperOfTwo(own.empty() ? others : own, cost);
    if (!own.empty() && !others.empty()) {
        const server_entry* other = cheaperOfTwo(others, cost);
        // Lookups have no target of their own.
        const spill_work work { .home = m_ownZone, .bytes = m_options.callBytes, .untilTarget = std::chrono::hours(1) };
        const spill_reason reason = m_spill.compare(work, fromSeconds(cost(*chosen)), fromSeconds(cost(*other)));
        if (leaves(reason))
            chosen = other;
        if (m_onSpill)
            m_onSpill(chosen->pool, reason);
    } else if (own.empty() && m_onSpill) {
        m_onSpill(chosen->pool, spill_reason::NoServer);
    }
    server_stats& stats = m_servers[chosen->id];
    if (stats.latency > 0)
        stats.latency = agedLatency(stats, typical, now);
    stats.latencyAt = now;
    return chosen;
}

void server_balancer::started(const backend_id& server) { m_servers[server].inFlight += 1; }

void server_balancer::succeeded(const backend_id& server, duration latency)
{
    server_stats& stats = m_servers[server];
    release(stats);
    stats.consecutiveFailures = 0;
    stats.consecutiveBlocks = 0;
    const double sample = toSeconds(latency);
    stats.latency = stats.latency == 0 ? sample : stats.latency + m_options.latencyWeight * (sample - stats.latency);
}

void server_balancer::failed(const backend_id& server, call_failure kind, mono_time now)
{
    if (kind == call_failure::NotBegun)
        return rejected(server, now);
    server_stats& stats = m_servers[server];
    release(stats);
    stats.consecutiveFailures += 1;
    if (kind != call_failure::Unreachable && stats.consecutiveFailures < m_options.failuresToBlock)
        return;
    block(stats, std::min(m_options.maxBlock, m_options.minBlock * (1 << std::min(stats.consecutiveBlocks, 8U))), now);
    stats.consecutiveBlocks += 1;
}

void server_balancer::rejected(const backend_id& server, mono_time now)
{
    server_stats& stats = m_servers[server];
    release(stats);
    block(stats, m_options.rejectedBlock, now);
}

void server_balancer::abandoned(const backend_id& server) { release(m_servers[server]); }

void server_balancer::forget(const backend_id& server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    // Calls in flight still report their end, so their count must be kept.
    found->second = { .inFlight = found->second.inFlight };
    if (found->second.inFlight == 0)
        m_servers.erase(found);
}

bool server_balancer::blocked(const backend_id& server, mono_time now) const
{
    const auto found = m_servers.find(server);
    return found != m_servers.end() && now < found->second.blockedUntil;
}

unsigned server_balancer::inFlight(const backend_id& server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? 0 : found->second.inFlight;
}

double server_balancer::weightedCost(const server_entry& server) const
{
    const auto found = m_servers.find(server.id);
    const double zoneFactor = server.zone == m_ownZone ? 1 : m_options.crossZoneCostFactor;
    double latency = toSeconds(m_options.initialLatency);
    unsigned load = 0;
    if (found != m_servers.end()) {
        load = found->second.inFlight;
        if (found->second.latency > 0)
            latency = found->second.latency;
    }
    return (load + 1) * latency * zoneFactor;
}

double server_balancer::expectedTime(const server_entry& server, double typical, mono_time now) const
{
    const double others = m_otherCalls ? std::max(0.0, m_otherCalls(server.id)) : 0;
    const auto found = m_servers.find(server.id);
    const double latency
        = found != m_servers.end() && found->second.latency > 0 ? agedLatency(found->second, typical, now) : typical;
    // An absurd number of calls must not overflow a duration.
    return std::min(3600.0, (inFlight(server.id) + others + 1) * latency);
}

// The shortest known latency. That of a single server may be long because the server is slow.
double server_balancer::typicalLatency(server_list servers) const
{
    const double initial = toSeconds(m_options.initialLatency);
    double shortest = 0;
    unsigned known = 0;
    for (const server_entry* server : servers) {
        const auto found = m_servers.find(server->id);
        if (found == m_servers.end() || found->second.latency <= 0)
            continue;
        shortest = known == 0 ? found->second.latency : std::min(shortest, found->second.latency);
        known += 1;
    }
    if (known == 0)
        return initial;
    return known == 1 ? std::min(shortest, initial) : shortest;
}

// A server that was slow once and is no longer chosen would keep its latency for ever.
double server_balancer::agedLatency(const server_stats& server, double typical, mono_time now) const
{
    const double halfLives = toSeconds(now - server.latencyAt) / toSeconds(m_options.latencyHalfLife);
    return typical + (server.latency - typical) * std::exp2(-std::max(0.0, halfLives));
}

void server_balancer::release(server_stats& server)
{
    if (server.inFlight > 0)
        server.inFlight -= 1;
}

void server_balancer::block(server_stats& server, duration length, mono_time now) const
{
    server.blockedUntil = std::max(server.blockedUntil, now + length);
}

} // namespace balsamspring

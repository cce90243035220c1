#include "balsamspring/gateway/server_balancer.h"

#include "balsamspring/base/hash.h"

#include <algorithm>
#include <vector>

namespace balsamspring {

server_balancer::server_balancer(balancer_options options, zone_id ownZone, random_engine& random)
    : m_options(options)
    , m_ownZone(std::move(ownZone))
    , m_random(random)
{
}

const server_entry* server_balancer::choose(server_list servers, const std::set<backend_id>& excluded, mono_time now)
{
    std::vector<const server_entry*> open;
    const server_entry* soonest = nullptr;
    for (const server_entry* server : servers) {
        if (excluded.contains(server->id))
            continue;
        if (!blocked(server->id, now)) {
            open.push_back(server);
            continue;
        }
        if (!soonest || m_servers.at(server->id).blockedUntil < m_servers.at(soonest->id).blockedUntil)
            soonest = server;
    }
    if (open.empty())
        return soonest;
    const auto count = static_cast<std::uint32_t>(open.size());
    const std::uint32_t first = uniformBelow(m_random, count);
    if (count == 1)
        return open[first];
    const std::uint32_t second = (first + 1 + uniformBelow(m_random, count - 1)) % count;
    return cost(*open[second]) < cost(*open[first]) ? open[second] : open[first];
}

const server_entry* server_balancer::chooseForPrefix(server_list servers, const std::set<backend_id>& excluded,
    std::uint64_t prefix, const zone_id& preferredZone, mono_time now) const
{
    struct candidate {
        const server_entry* server;
        bool preferred;
        std::uint64_t weight;
    };
    std::vector<candidate> order;
    double total = 0;
    const server_entry* soonest = nullptr;
    for (const server_entry* server : servers) {
        if (excluded.contains(server->id))
            continue;
        if (blocked(server->id, now)) {
            if (!soonest || m_servers.at(server->id).blockedUntil < m_servers.at(soonest->id).blockedUntil)
                soonest = server;
            continue;
        }
        total += inFlight(server->id);
        order.push_back({ server, server->zone == preferredZone, combineHash(prefix, hash64(server->id.value())) });
    }
    if (order.empty())
        return soonest;
    std::sort(order.begin(), order.end(), [](const candidate& a, const candidate& b) {
        return a.preferred != b.preferred ? a.preferred : a.weight > b.weight;
    });
    const double limit = total / static_cast<double>(order.size()) + m_options.affinityHeadroom;
    for (const candidate& item : order) {
        if (inFlight(item.server->id) <= limit)
            return item.server;
    }
    return order.front().server;
}

void server_balancer::started(const backend_id& server) { m_servers[server].inFlight += 1; }

void server_balancer::succeeded(const backend_id& server, duration latency)
{
    server_state& state = m_servers[server];
    release(state);
    state.failures = 0;
    state.blocks = 0;
    const double sample = toSeconds(latency);
    state.latency = state.latency == 0 ? sample : state.latency + m_options.latencyWeight * (sample - state.latency);
}

void server_balancer::failed(const backend_id& server, call_failure kind, mono_time now)
{
    server_state& state = m_servers[server];
    release(state);
    state.failures += 1;
    if (kind != call_failure::NotReached && state.failures < m_options.failuresToBlock)
        return;
    block(state, std::min(m_options.maxBlock, m_options.minBlock * (1 << std::min(state.blocks, 8U))), now);
    state.blocks += 1;
}

void server_balancer::full(const backend_id& server, mono_time now)
{
    server_state& state = m_servers[server];
    release(state);
    block(state, m_options.fullBlock, now);
}

void server_balancer::abandoned(const backend_id& server) { release(m_servers[server]); }

void server_balancer::forget(const backend_id& server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    // Calls in flight still report their end.
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

double server_balancer::cost(const server_entry& server) const
{
    const auto found = m_servers.find(server.id);
    const double zoneFactor = server.zone == m_ownZone ? 1 : m_options.otherZoneCost;
    double latency = toSeconds(m_options.firstLatency);
    unsigned load = 0;
    if (found != m_servers.end()) {
        load = found->second.inFlight;
        if (found->second.latency > 0)
            latency = found->second.latency;
    }
    return (load + 1) * latency * zoneFactor;
}

void server_balancer::release(server_state& server)
{
    if (server.inFlight > 0)
        server.inFlight -= 1;
}

void server_balancer::block(server_state& server, duration length, mono_time now) const
{
    server.blockedUntil = std::max(server.blockedUntil, now + length);
}

} // namespace balsamspring

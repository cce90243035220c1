#include "balsamspring/gateway/piece_queue.h"

#include <algorithm>
#include <cmath>

namespace balsamspring {

namespace {

// A call that takes this multiple of its expected time, and the margin, is given up.
constexpr double timeoutFactor = 2.5;
constexpr duration timeoutMargin = std::chrono::milliseconds(400);
// What a silent or lost call counts as.
constexpr double failedFactor = 4;

} // namespace

piece_queue::piece_queue(piece_spec spec, piece_queue_options options)
    : m_spec(spec)
    , m_options(options)
{
}

bool piece_queue::add(const piece_group& group, server_list servers, mono_time now)
{
    if (now + predictedDelay(group.count, servers, group.wanted, now) > group.deadline)
        return false;
    m_groups.push_back(group);
    m_waiting += group.count;
    return true;
}

void piece_queue::cancel(piece_ticket ticket)
{
    for (auto group = m_groups.begin(); group != m_groups.end();) {
        if (group->ticket != ticket) {
            ++group;
            continue;
        }
        m_waiting -= group->count;
        group = m_groups.erase(group);
    }
}

std::vector<piece_ticket> piece_queue::takeExpired(mono_time now)
{
    std::vector<piece_ticket> expired;
    for (auto group = m_groups.begin(); group != m_groups.end();) {
        if (now + expectedTime(std::min(group->count, m_spec.batch)) <= group->deadline) {
            ++group;
            continue;
        }
        expired.push_back(group->ticket);
        m_waiting -= group->count;
        group = m_groups.erase(group);
    }
    return expired;
}

std::vector<piece_ticket> piece_queue::takeHopeless(server_list servers, mono_time now)
{
    const double rate = fullRate(servers, now);
    if (rate <= 0)
        return {};
    std::vector<std::list<piece_group>::iterator> late;
    double ahead = 0;
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        if (hasTimeInHand(*group, now))
            ahead += group->count;
        else
            late.push_back(group);
    }
    std::stable_sort(
        late.begin(), late.end(), [this](const auto& a, const auto& b) { return urgency(*a) < urgency(*b); });
    std::vector<piece_ticket> hopeless;
    for (const auto& group : late) {
        const duration call = expectedTime(std::min(group->count, m_spec.batch));
        if (now + fromSeconds(ahead / rate) + call <= group->deadline) {
            ahead += group->count;
            continue;
        }
        hopeless.push_back(group->ticket);
        m_waiting -= group->count;
        m_groups.erase(group);
    }
    return hopeless;
}

std::optional<piece_queue::call> piece_queue::next(server_list servers, mono_time now)
{
    if (m_groups.empty() || (m_callLimit > 0 && m_inProgress >= m_callLimit))
        return std::nullopt;
    std::set<zone_id> zones;
    for (const server_entry* server : servers) {
        const auto found = m_servers.find(server->id);
        if (found == m_servers.end() || now >= found->second.blockedUntil)
            zones.insert(server->zone);
    }
    for (const server_entry* server : freeServers(servers, now)) {
        call filled { server->id, {}, 0 };
        fill(filled, *server, zones, now);
        if (filled.pieces == 0) // no room for any result, or none of its zone waits
            continue;
        m_servers[server->id].calls += 1;
        m_inProgress += 1;
        return filled;
    }
    return std::nullopt;
}

// Best first.
std::vector<const server_entry*> piece_queue::freeServers(server_list servers, mono_time now) const
{
    struct candidate {
        const server_entry* server;
        double slowness;
        std::uint64_t kept;
    };
    std::vector<candidate> open;
    std::size_t fastServers = 0;
    for (const server_entry* server : servers) {
        const auto found = m_servers.find(server->id);
        const server_state state = found == m_servers.end() ? server_state {} : found->second;
        const double slowness = factor(state, now);
        if (slowness < m_options.slowFactor && now >= state.blockedUntil)
            fastServers += 1;
        if (state.calls < m_spec.slots && now >= state.blockedUntil)
            open.push_back({ server, slowness, state.kept });
    }
    const bool fastSuffice = m_waiting <= fastServers * m_spec.batch;
    std::erase_if(open, [&](const candidate& item) { return fastSuffice && item.slowness >= m_options.slowFactor; });
    // Of equally fast servers the one with most room.
    std::sort(open.begin(), open.end(), [&](const candidate& a, const candidate& b) {
        const bool aSlow = a.slowness >= m_options.slowFactor;
        const bool bSlow = b.slowness >= m_options.slowFactor;
        return aSlow != bSlow ? bSlow : a.kept < b.kept;
    });
    std::vector<const server_entry*> ordered;
    ordered.reserve(open.size());
    for (const candidate& item : open)
        ordered.push_back(item.server);
    return ordered;
}

bool piece_queue::mayRunIn(
    const piece_group& group, const zone_id& zone, const std::set<zone_id>& zones, mono_time now) const
{
    if (group.inputZone.value().empty() || group.inputZone == zone || !zones.contains(group.inputZone))
        return true;
    const duration patience = m_options.zonePatience;
    return now - group.since >= patience
        || now + patience + expectedTime(std::min(group.count, m_spec.batch)) > group.wanted;
}

void piece_queue::fill(call& filled, const server_entry& target, const std::set<zone_id>& zones, mono_time now)
{
    std::vector<std::list<piece_group>::iterator> order;
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        if (mayRunIn(*group, target.zone, zones, now))
            order.push_back(group);
    }
    const auto foreign = [&](const piece_group& group) {
        return !group.inputZone.value().empty() && group.inputZone != target.zone;
    };
    std::stable_sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
        const bool aInTime = hasTimeInHand(*a, now);
        const bool bInTime = hasTimeInHand(*b, now);
        if (aInTime != bInTime)
            return aInTime;
        return foreign(*a) != foreign(*b) ? foreign(*b) : urgency(*a) < urgency(*b);
    });
    const server_state& server = m_servers[target.id];
    const auto usable = static_cast<std::uint64_t>(m_options.roomShare * static_cast<double>(m_spec.resultRoom));
    std::uint64_t room = usable > server.kept ? usable - server.kept : 0;
    for (const auto& group : order) {
        if (filled.pieces >= m_spec.batch)
            break;
        unsigned take = std::min(group->count, m_spec.batch - filled.pieces);
        // A group that fits into one call is not split: its request would wait for two calls.
        if (take < group->count && group->count <= m_spec.batch)
            continue;
        if (m_spec.resultRoom > 0 && group->resultBytes > 0) {
            const auto fitting
                = static_cast<unsigned>(std::min<std::uint64_t>(room / group->resultBytes, m_spec.batch));
            // Only a group that no server can hold at once is split.
            if (fitting < take && (fitting == 0 || server.kept > 0 || filled.pieces > 0))
                continue;
            take = std::max(1U, std::min(take, fitting));
            room -= std::min(room, take * group->resultBytes);
        }
        filled.parts.push_back({ group->ticket, take });
        filled.pieces += take;
        m_waiting -= take;
        group->count -= take;
        if (group->count == 0)
            m_groups.erase(group);
    }
}

void piece_queue::succeeded(const backend_id& server, unsigned pieces, duration elapsed, mono_time now)
{
    server_state& state = m_servers[server];
    release(state);
    state.failures = 0;
    state.factor = std::max(1.0, toSeconds(elapsed) / std::max(0.001, toSeconds(expectedTime(pieces))));
    state.factorAt = now;
}

void piece_queue::failed(const backend_id& server, mono_time now)
{
    server_state& state = m_servers[server];
    release(state);
    state.factor = failedFactor;
    state.factorAt = now;
    state.blockedUntil = now + std::min(m_options.maxBlock, m_options.minBlock * (1 << std::min(state.failures, 8U)));
    state.failures += 1;
}

void piece_queue::refused(const backend_id& server, mono_time now)
{
    server_state& state = m_servers[server];
    release(state);
    state.blockedUntil = now + m_options.roomBlock;
}

void piece_queue::resultsKept(const backend_id& server, std::uint64_t bytes) { m_servers[server].kept += bytes; }

void piece_queue::resultsFreed(const backend_id& server, std::uint64_t bytes)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        found->second.kept -= std::min(found->second.kept, bytes);
}

void piece_queue::forget(const backend_id& server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    // Calls in progress still report their end.
    found->second = { .calls = found->second.calls };
    if (found->second.calls == 0)
        m_servers.erase(found);
}

// Pieces a second of the whole pool in full calls.
double piece_queue::fullRate(server_list servers, mono_time now) const
{
    double rate = 0;
    const double fullCall = toSeconds(expectedTime(m_spec.batch));
    for (const server_entry* server : servers) {
        const auto found = m_servers.find(server->id);
        const double slowness = found == m_servers.end() ? 1 : factor(found->second, now);
        rate += m_spec.slots * m_spec.batch / (fullCall * slowness);
    }
    return rate;
}

duration piece_queue::predictedDelay(unsigned pieces, server_list servers, mono_time wanted, mono_time now) const
{
    const double rate = fullRate(servers, now);
    const double fullCall = toSeconds(expectedTime(m_spec.batch));
    if (rate <= 0)
        return expectedTime(std::min(pieces, m_spec.batch));
    double ahead = 0;
    for (const piece_group& group : m_groups) {
        if (group.wanted <= wanted)
            ahead += group.count;
    }
    const double busyShare = static_cast<double>(m_inProgress) / (m_spec.slots * static_cast<double>(servers.size()));
    const double untilFree = busyShare >= 1 ? fullCall / 2 : 0;
    return fromSeconds(ahead / rate + untilFree) + expectedTime(std::min(pieces, m_spec.batch));
}

duration piece_queue::callTimeout(const backend_id& server, unsigned pieces, mono_time now) const
{
    const auto found = m_servers.find(server);
    const double slowness = found == m_servers.end() ? 1 : factor(found->second, now);
    return fromSeconds(toSeconds(expectedTime(pieces)) * std::max(timeoutFactor, 1.5 * slowness)) + timeoutMargin;
}

double piece_queue::factor(const server_state& server, mono_time now) const
{
    const double age = toSeconds(now - server.factorAt) / toSeconds(m_options.slowMemory);
    return 1 + (server.factor - 1) * std::exp2(-age);
}

void piece_queue::release(server_state& server)
{
    if (server.calls == 0)
        return;
    server.calls -= 1;
    m_inProgress -= 1;
}

mono_time piece_queue::urgency(const piece_group& group) const
{
    return group.wanted + m_options.priorityStep * group.priority;
}

bool piece_queue::hasTimeInHand(const piece_group& group, mono_time now) const
{
    // The call fills up with others while enough of them wait.
    const auto pieces
        = static_cast<unsigned>(std::clamp<std::size_t>(m_waiting, std::min(group.count, m_spec.batch), m_spec.batch));
    return now + expectedTime(pieces) + group.margin <= group.wanted;
}

} // namespace balsamspring

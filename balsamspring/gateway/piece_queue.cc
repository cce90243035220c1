#include "balsamspring/gateway/piece_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamspring {

namespace {

// A call times out after this multiple of its expected time plus timeoutMargin.
constexpr double timeoutFactor = 2.5;
constexpr duration timeoutMargin = std::chrono::milliseconds(400);
// Slowdown that a server is given when a call failed without a measured time.
constexpr double failedCallSlowdown = 4;
// Far above every legal size. Sizes come from other VMs, and the sum of absurd ones must not overflow.
constexpr std::uint64_t maxPieceBytes = 1ULL << 40;

// While all servers limit their calls and admit none: the mean time until one does.
double secondsUntilAdmitted(const piece_queue::pace_hook& paceOf, piece_queue::server_list servers, mono_time now)
{
    double callsPerSecond = 0;
    for (const server_entry* server : servers) {
        const auto pace = paceOf ? paceOf(*server, now) : std::nullopt;
        if (!pace || pace->admits)
            return 0;
        callsPerSecond += pace->callsPerSecond;
    }
    return callsPerSecond > 0 ? 1 / callsPerSecond : 0;
}

} // namespace

piece_queue::piece_queue(piece_spec spec, piece_queue_options options, pace_hook pace)
    : m_spec(spec)
    , m_options(options)
    , m_pace(std::move(pace))
    , m_shares(options.shares)
    , m_spill(options.spill, nullptr)
    , m_callSize(spec.batch)
{
}

piece_queue::admission piece_queue::add(const piece_group& newGroup, server_list servers, mono_time now)
{
    piece_group group = newGroup;
    group.overShare = !m_shares.admit(group.team, group.count, throughput(servers, now), now);
    markExcess();
    if (now + predictedDelay(group.count, servers, group.targetTime, now) > group.deadline)
        return group.overShare ? admission::OverShare : admission::Rejected;
    recordArrival(group, now);
    m_groups.push_back(group);
    m_waitingPieces += group.count;
    return admission::Queued;
}

void piece_queue::cancel(piece_ticket ticket)
{
    for (auto group = m_groups.begin(); group != m_groups.end();) {
        if (group->ticket != ticket) {
            ++group;
            continue;
        }
        m_waitingPieces -= group->count;
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
        m_waitingPieces -= group->count;
        group = m_groups.erase(group);
    }
    return expired;
}

std::vector<piece_queue::infeasible_group> piece_queue::takeInfeasible(server_list servers, mono_time now)
{
    const double rate = throughput(servers, now);
    if (rate <= 0)
        return {};
    std::vector<std::list<piece_group>::iterator> withoutSlack;
    double piecesAhead = 0;
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        if (hasSlack(*group, now))
            piecesAhead += group->count;
        else
            withoutSlack.push_back(group);
    }
    std::stable_sort(withoutSlack.begin(), withoutSlack.end(), [this](const auto& a, const auto& b) {
        return a->overShare != b->overShare ? b->overShare : urgency(*a) < urgency(*b);
    });
    // New requests have slack and overtake late ones. They are expected to go on arriving at the present rate.
    const double lateRate = std::max(m_options.minLateShare * rate, rate - arrivalRate(now));
    const double waitForPunctual = piecesAhead / rate + secondsUntilAdmitted(m_pace, servers, now);
    piecesAhead = 0;
    std::vector<infeasible_group> infeasible;
    for (const auto& group : withoutSlack) {
        const duration call = expectedTime(std::min(group->count, m_spec.batch));
        if (now + fromSeconds(waitForPunctual + piecesAhead / lateRate) + call <= group->deadline) {
            piecesAhead += group->count;
            continue;
        }
        infeasible.push_back({ group->ticket, group->overShare });
        m_waitingPieces -= group->count;
        m_groups.erase(group);
    }
    return infeasible;
}

std::optional<piece_queue::call> piece_queue::next(server_list servers, mono_time now)
{
    if (m_groups.empty() || (m_callLimit > 0 && m_callsInProgress >= m_callLimit))
        return std::nullopt;
    const zone_views zones = viewZones(servers, now);
    const double rate = throughput(servers, now);
    std::set<zone_id> withoutWork; // all groups wait for servers of other zones
    for (const server_entry* server : freeServers(servers, now)) {
        if (withoutWork.contains(server->zone))
            continue;
        call filled { server->id, {}, 0 };
        if (!fill(filled, *server, zones, rate, now))
            withoutWork.insert(server->zone);
        if (filled.pieces == 0) // no storage for a result, or all pieces wait for a server in another zone
            continue;
        // A call that leaves less than a batch waiting shows no limit.
        const double reached = m_waitingPieces >= m_spec.batch ? filled.pieces : m_spec.batch;
        m_callSize += m_options.callSizeWeight * (reached - m_callSize);
        server_state& state = m_servers[server->id];
        state.calls += 1;
        state.callEndsAt = now + fromSeconds(toSeconds(expectedTime(filled.pieces)) * slowdown(state, now));
        m_callsInProgress += 1;
        return filled;
    }
    return std::nullopt;
}

// Ordered by preference.
std::vector<const server_entry*> piece_queue::freeServers(server_list servers, mono_time now) const
{
    struct candidate {
        const server_entry* server;
        double slowness;
        std::uint64_t occupiedBytes;
    };
    std::vector<candidate> candidates;
    for (const server_entry* server : servers) {
        const auto found = m_servers.find(server->id);
        const server_state state = found == m_servers.end() ? server_state {} : found->second;
        const double slowness = slowdown(state, now);
        if (state.calls < m_spec.slots && now >= state.blockedUntil && now >= state.awaitsStorageUntil
            && admits(*server, now))
            candidates.push_back({ server, slowness, occupiedBytes(state, now) });
    }
    const bool fastSuffice = fastServersSuffice(servers, now);
    std::erase_if(
        candidates, [&](const candidate& item) { return fastSuffice && item.slowness >= m_options.slowFactor; });
    // Servers that are not slow come first, and among equals the one with the most free result storage.
    std::sort(candidates.begin(), candidates.end(), [&](const candidate& a, const candidate& b) {
        const bool aSlow = a.slowness >= m_options.slowFactor;
        const bool bSlow = b.slowness >= m_options.slowFactor;
        return aSlow != bSlow ? bSlow : a.occupiedBytes < b.occupiedBytes;
    });
    std::vector<const server_entry*> ordered;
    ordered.reserve(candidates.size());
    for (const candidate& item : candidates)
        ordered.push_back(item.server);
    return ordered;
}

bool piece_queue::fastServersSuffice(server_list servers, mono_time now) const
{
    std::size_t fastServers = 0;
    for (const server_entry* server : servers) {
        const auto found = m_servers.find(server->id);
        const bool fast = found == m_servers.end()
            || (slowdown(found->second, now) < m_options.slowFactor && now >= found->second.blockedUntil);
        fastServers += fast && admits(*server, now) ? 1 : 0;
    }
    return m_waitingPieces <= fastServers * m_spec.batch;
}

piece_queue::zone_views piece_queue::viewZones(server_list servers, mono_time now) const
{
    zone_views zones;
    const bool fastSuffice = fastServersSuffice(servers, now);
    const duration fullCall = expectedTime(m_spec.batch);
    std::uint64_t largestResult = 0;
    for (const piece_group& group : m_groups)
        largestResult = std::max(largestResult, group.resultBytes);
    for (const server_entry* server : servers) {
        const auto found = m_servers.find(server->id);
        const server_state state = found == m_servers.end() ? server_state {} : found->second;
        const double slowness = slowdown(state, now);
        if (now < state.blockedUntil || !admits(*server, now) || (fastSuffice && slowness >= m_options.slowFactor))
            continue;
        // A slow server counts as one that is free as much later as its calls take longer.
        duration idle = fromSeconds((slowness - 1) * toSeconds(fullCall));
        idle += std::max(duration::zero(), state.awaitsStorageUntil - now);
        // The storage of a server becomes free with the requests that read the results. They take about a call.
        if (m_spec.resultCapacity > 0 && occupiedBytes(state, now) + largestResult > usableBytes())
            idle += fullCall;
        const duration overdue = fromSeconds(m_options.overdueShare * toSeconds(fullCall));
        const duration busy = state.callEndsAt > now ? state.callEndsAt - now : overdue;
        zone_view& zone = zones[server->zone];
        for (unsigned slot = 0; slot < m_spec.slots; ++slot)
            zone.untilFree.push_back(slot < state.calls ? idle + busy : idle);
    }
    for (auto& [id, zone] : zones)
        std::sort(zone.untilFree.begin(), zone.untilFree.end());
    return zones;
}

std::vector<piece_queue::candidate_group> piece_queue::groupsForZone(
    const zone_id& zone, const zone_views& zones, mono_time now)
{
    std::vector<candidate_group> chosen;
    bool anyRemote = false;
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        const bool noZone = group->inputZone.value().empty();
        anyRemote = anyRemote || (!noZone && group->inputZone != zone);
        chosen.push_back({ group, noZone ? std::nullopt : std::optional(spill_reason::InTime) });
    }
    if (!anyRemote)
        return chosen;
    if (m_options.spill.enabled) {
        std::stable_sort(chosen.begin(), chosen.end(), [&](const auto& a, const auto& b) {
            const bool aHasSlack = hasSlack(*a.group, now);
            const bool bHasSlack = hasSlack(*b.group, now);
            return aHasSlack != bHasSlack ? aHasSlack : urgency(*a.group) < urgency(*b.group);
        });
    }
    // Groups that leave no longer wait at home, so that only as many leave as pays.
    zone_views ahead = zones;
    std::erase_if(chosen, [&](candidate_group& item) {
        const piece_group& group = *item.group;
        if (!item.spill)
            return false;
        if (group.inputZone != zone)
            item.spill
                = m_options.spill.enabled ? compareZones(group, zone, ahead, now) : afterFixedWait(group, zones, now);
        const bool stays = group.inputZone == zone || !leaves(*item.spill);
        if (const auto taker = ahead.find(stays ? group.inputZone : zone); taker != ahead.end())
            taker->second.piecesAhead += group.count;
        return stays && group.inputZone != zone;
    });
    return chosen;
}

spill_reason piece_queue::afterFixedWait(const piece_group& group, const zone_views& zones, mono_time now) const
{
    if (!zones.contains(group.inputZone))
        return spill_reason::NoServer;
    const duration maxWait = m_options.localityWait;
    if (now - group.queuedAt >= maxWait)
        return spill_reason::ShorterWait;
    return now + maxWait + expectedTime(std::min(group.count, m_spec.batch)) > group.targetTime
        ? spill_reason::TargetMissed
        : spill_reason::InTime;
}

spill_reason piece_queue::compareZones(
    const piece_group& group, const zone_id& zone, const zone_views& zones, mono_time now) const
{
    const duration fullCall = expectedTime(m_spec.batch);
    const double callSize = std::clamp<double>(m_callSize, 1, std::max(1U, m_spec.batch));
    const auto waitIn = [&](const zone_id& id) -> std::optional<duration> {
        const auto found = zones.find(id);
        if (found == zones.end())
            return std::nullopt;
        return expectedWait(found->second.untilFree, found->second.piecesAhead / callSize, fullCall);
    };
    auto atHome = waitIn(group.inputZone);
    // The estimate can be wrong, for example while storage keeps servers from taking calls. Work that has waited for
    // longer than a call is expected to go on waiting for half as long.
    const duration waited = now - group.queuedAt;
    if (atHome && waited > fullCall)
        atHome = std::max(*atHome, waited / 2);
    const auto pieces = static_cast<unsigned>(
        std::clamp<std::size_t>(m_waitingPieces, std::min(group.count, m_spec.batch), m_spec.batch));
    const spill_work work { .home = group.inputZone,
        .amount = static_cast<double>(group.count),
        .bytes = group.count * (std::min(group.inputBytes, maxPieceBytes) + std::min(group.resultBytes, maxPieceBytes)),
        .service = expectedTime(pieces),
        .untilTarget = group.targetTime - now - (hasSlack(group, now) ? group.requiredSlack : duration::zero()),
        .untilDeadline = group.deadline - now };
    return m_spill.compare(work, atHome, waitIn(zone).value_or(fullCall));
}

// Whether all groups with slack keep it if they are served in the order of their urgency. Sorts the groups by it.
bool piece_queue::targetsInReach(
    std::vector<std::list<piece_group>::iterator>& groups, double rate, mono_time now) const
{
    std::stable_sort(
        groups.begin(), groups.end(), [this](const auto& a, const auto& b) { return urgency(*a) < urgency(*b); });
    double piecesAhead = 0;
    for (const auto& group : groups) {
        if (!hasSlack(*group, now))
            continue;
        if (rate <= 0 || !hasSlack(*group, now + fromSeconds(piecesAhead / rate)))
            return false;
        piecesAhead += group->count;
    }
    return true;
}

bool piece_queue::fill(call& filled, const server_entry& target, const zone_views& zones, double rate, mono_time now)
{
    std::vector<group_iterator> order;
    std::map<const piece_group*, spill_reason> reasons;
    for (const candidate_group& item : groupsForZone(target.zone, zones, now)) {
        order.push_back(item.group);
        if (item.spill)
            reasons.emplace(&*item.group, *item.spill);
    }
    if (order.empty())
        return false;
    const auto isRemote = [&](const piece_group& group) {
        return !group.inputZone.value().empty() && group.inputZone != target.zone;
    };
    const bool byPriority = !targetsInReach(order, rate, now) && m_priorityCalls + 1 < m_options.callsPerFairCall;
    m_priorityCalls = byPriority ? m_priorityCalls + 1 : 0;
    std::stable_sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
        const bool aHasSlack = hasSlack(*a, now);
        const bool bHasSlack = hasSlack(*b, now);
        if (aHasSlack != bHasSlack)
            return aHasSlack;
        if (a->overShare != b->overShare)
            return b->overShare;
        if (byPriority && a->priority != b->priority)
            return a->priority < b->priority;
        return isRemote(*a) != isRemote(*b) ? isRemote(*b) : urgency(*a) < urgency(*b);
    });
    const server_state& server = m_servers[target.id];
    const std::uint64_t occupied = occupiedBytes(server, now);
    std::uint64_t freeBytes = usableBytes() > occupied ? usableBytes() - occupied : 0;
    for (const auto& group : order) {
        if (filled.pieces >= m_spec.batch)
            break;
        unsigned take = std::min(group->count, m_spec.batch - filled.pieces);
        // A group that fits into one call is not split, because its request would have to wait for two calls.
        if (take < group->count && group->count <= m_spec.batch)
            continue;
        if (m_spec.resultCapacity > 0 && group->resultBytes > 0) {
            const auto fitting
                = static_cast<unsigned>(std::min<std::uint64_t>(freeBytes / group->resultBytes, m_spec.batch));
            // Only a group whose results exceed the storage of an empty server is split.
            if (fitting < take && (fitting == 0 || occupied > 0 || filled.pieces > 0))
                continue;
            take = std::max(1U, std::min(take, fitting));
            freeBytes -= std::min(freeBytes, take * group->resultBytes);
        }
        const auto reason = reasons.find(&*group);
        filled.parts.push_back(
            { group->ticket, take, reason == reasons.end() ? std::nullopt : std::optional(reason->second) });
        filled.pieces += take;
        m_waitingPieces -= take;
        group->count -= take;
        if (group->count == 0)
            m_groups.erase(group);
    }
    return true;
}

void piece_queue::succeeded(const backend_id& server, unsigned pieces, duration elapsed, mono_time now)
{
    server_state& state = m_servers[server];
    endCall(state);
    state.failures = 0;
    state.slowdown = std::max(1.0, toSeconds(elapsed) / std::max(0.001, toSeconds(expectedTime(pieces))));
    state.slowdownAt = now;
}

void piece_queue::failed(const backend_id& server, mono_time now)
{
    server_state& state = m_servers[server];
    endCall(state);
    state.slowdown = failedCallSlowdown;
    state.slowdownAt = now;
    state.blockedUntil = now + std::min(m_options.maxBlock, m_options.minBlock * (1 << std::min(state.failures, 8U)));
    state.failures += 1;
}

void piece_queue::refused(const backend_id& server, mono_time now)
{
    server_state& state = m_servers[server];
    endCall(state);
    state.blockedUntil = now + m_options.refusalBlock;
}

void piece_queue::reserveResultBytes(const backend_id& server, std::uint64_t bytes)
{
    m_servers[server].reservedBytes += bytes;
}

void piece_queue::releaseResultBytes(const backend_id& server, std::uint64_t bytes)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        found->second.reservedBytes -= std::min(found->second.reservedBytes, bytes);
}

void piece_queue::awaitStorage(const backend_id& server, mono_time until)
{
    m_servers[server].awaitsStorageUntil = until;
}

void piece_queue::storageKnown(const backend_id& server, std::uint64_t freeBytes, duration lifetime, mono_time now)
{
    server_state& state = m_servers[server];
    state.awaitsStorageUntil = {};
    const std::uint64_t occupied = m_spec.resultCapacity > freeBytes ? m_spec.resultCapacity - freeBytes : 0;
    state.foreignBytes = occupied > state.reservedBytes ? occupied - state.reservedBytes : 0;
    state.foreignSince = now;
    state.foreignLifetime = lifetime;
}

void piece_queue::releaseForeignBytes(const backend_id& server, std::uint64_t bytes)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        found->second.foreignBytes -= std::min(found->second.foreignBytes, bytes);
}

std::uint64_t piece_queue::usableBytes() const
{
    return static_cast<std::uint64_t>(m_options.usableResultShare * static_cast<double>(m_spec.resultCapacity));
}

std::uint64_t piece_queue::occupiedBytes(const server_state& server, mono_time now)
{
    if (server.foreignBytes == 0 || now - server.foreignSince >= server.foreignLifetime)
        return server.reservedBytes;
    const double left = 1 - toSeconds(now - server.foreignSince) / toSeconds(server.foreignLifetime);
    return server.reservedBytes + static_cast<std::uint64_t>(left * static_cast<double>(server.foreignBytes));
}

void piece_queue::resetServer(const backend_id& server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    // The ends of calls in progress are still to be reported.
    found->second = { .calls = found->second.calls };
    if (found->second.calls == 0)
        m_servers.erase(found);
}

bool piece_queue::admits(const server_entry& server, mono_time now) const
{
    const auto pace = m_pace ? m_pace(server, now) : std::nullopt;
    return !pace || pace->admits;
}

double piece_queue::throughput(server_list servers, mono_time now) const
{
    double rate = 0;
    const double size = std::min<double>(m_callSize, m_spec.batch);
    const double call = toSeconds(m_spec.callTime) + toSeconds(m_spec.pieceTime) * size;
    for (const server_entry* server : servers) {
        const auto found = m_servers.find(server->id);
        const double slowness = found == m_servers.end() ? 1 : slowdown(found->second, now);
        double callsPerSecond = m_spec.slots / (call * slowness);
        if (const auto pace = m_pace ? m_pace(*server, now) : std::nullopt)
            callsPerSecond = std::min(callsPerSecond, pace->callsPerSecond);
        rate += callsPerSecond * size;
    }
    return rate;
}

void piece_queue::markExcess()
{
    std::map<team_id, double> limited = m_shares.takeNewlyLimited();
    if (limited.empty())
        return;
    for (piece_group& group : m_groups) {
        const auto found = limited.find(group.team);
        if (found == limited.end())
            continue;
        group.overShare = group.overShare || group.count > found->second;
        found->second -= group.count;
    }
}

void piece_queue::recordArrival(const piece_group& group, mono_time now)
{
    while (!m_arrivedPieces.empty() && now - m_arrivedPieces.front().first > m_options.arrivalWindow)
        m_arrivedPieces.pop_front();
    if (hasSlack(group, now))
        m_arrivedPieces.emplace_back(now, group.count);
}

double piece_queue::arrivalRate(mono_time now) const
{
    std::size_t pieces = 0;
    for (const auto& [time, count] : m_arrivedPieces) {
        if (now - time <= m_options.arrivalWindow)
            pieces += count;
    }
    return static_cast<double>(pieces) / toSeconds(m_options.arrivalWindow);
}

duration piece_queue::predictedDelay(unsigned pieces, server_list servers, mono_time targetTime, mono_time now) const
{
    const double rate = throughput(servers, now);
    const double fullCall = toSeconds(expectedTime(m_spec.batch));
    if (rate <= 0)
        return expectedTime(std::min(pieces, m_spec.batch));
    double piecesAhead = 0;
    for (const piece_group& group : m_groups) {
        if (group.targetTime <= targetTime)
            piecesAhead += group.count;
    }
    const double busyShare
        = static_cast<double>(m_callsInProgress) / (m_spec.slots * static_cast<double>(servers.size()));
    const double untilFree = busyShare >= 1 ? fullCall / 2 : 0;
    return fromSeconds(piecesAhead / rate + std::max(untilFree, secondsUntilAdmitted(m_pace, servers, now)))
        + expectedTime(std::min(pieces, m_spec.batch));
}

duration piece_queue::callTimeout(const backend_id& server, unsigned pieces, mono_time now) const
{
    const auto found = m_servers.find(server);
    const double slowness = found == m_servers.end() ? 1 : slowdown(found->second, now);
    return fromSeconds(toSeconds(expectedTime(pieces)) * std::max(timeoutFactor, 1.5 * slowness)) + timeoutMargin;
}

double piece_queue::slowdown(const server_state& server, mono_time now) const
{
    const double age = toSeconds(now - server.slowdownAt) / toSeconds(m_options.slownessHalfLife);
    return 1 + (server.slowdown - 1) * std::exp2(-age);
}

void piece_queue::endCall(server_state& server)
{
    if (server.calls == 0)
        return;
    server.calls -= 1;
    m_callsInProgress -= 1;
}

mono_time piece_queue::urgency(const piece_group& group) const
{
    return group.targetTime + m_options.priorityStep * group.priority;
}

bool piece_queue::hasSlack(const piece_group& group, mono_time now) const
{
    if (group.overShare)
        return false;
    // The call also takes waiting pieces of other groups, up to a full batch, and so takes longer.
    const auto pieces = static_cast<unsigned>(
        std::clamp<std::size_t>(m_waitingPieces, std::min(group.count, m_spec.batch), m_spec.batch));
    return now + expectedTime(pieces) + group.requiredSlack <= group.targetTime;
}

} // namespace balsamspring

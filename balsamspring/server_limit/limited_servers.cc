#include "balsamspring/server_limit/limited_servers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamspring {

limited_servers::limited_servers(
    limited_servers_options options, random_engine& random, std::function<limit_fleet()> fleet)
    : m_options(options)
    , m_random(random)
    , m_fleet(std::move(fleet))
{
}

std::optional<request_rate> limited_servers::bounded(request_rate named) const
{
    if (named >= m_options.maxRate)
        return std::nullopt;
    return std::max(named, m_options.minRate);
}

limit_change limited_servers::stated(
    server_process server, const limit_notice& notice, mono_time askedAt, mono_time now)
{
    const auto rate = notice.rate ? bounded(*notice.rate) : std::nullopt;
    const auto found = m_servers.find(server);
    if (rate) {
        known_server& known = found == m_servers.end() ? m_servers[server] : found->second;
        const bool changed = known.rate != rate;
        known.rate = rate;
        known.statedAt = now;
        known.heard = true;
        return changed ? limit_change::Named : limit_change::None;
    }
    // A value that cannot be read says that the need goes on.
    const bool needGoesOn = notice.named && !notice.rate;
    if (found == m_servers.end() || needGoesOn || (found->second.rate && askedAt <= found->second.statedAt))
        return limit_change::None;
    known_server& known = found->second;
    const bool ends = known.rate.has_value();
    known.rate.reset();
    known.statedAt = now;
    known.heard = true;
    known.permits.clear();
    known.wants.clear();
    known.awaited.clear();
    known.nextOwnUse.reset();
    return ends ? limit_change::Ended : limit_change::None;
}

std::optional<request_rate> limited_servers::rate(server_process server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? std::nullopt : found->second.rate;
}

bool limited_servers::admits(server_process server, mono_time now)
{
    known_server* known = inForce(server);
    if (!known)
        return true;
    dropLapsed(*known, now);
    return !known->permits.empty() || ownUse(*known, now);
}

std::optional<send_permit> limited_servers::take(server_process server, mono_time now)
{
    const auto reserved = reserve(server, now);
    return reserved ? redeem(server, *reserved, now) : std::nullopt;
}

std::optional<send_permit> limited_servers::redeem(server_process server, const send_permit& reserved, mono_time now)
{
    if (!stillValid(server, reserved, now))
        return take(server, now);
    send_permit permit;
    if (limited(server))
        permit.m_validUntil = now + m_options.sendAllowance;
    return permit;
}

std::optional<send_permit> limited_servers::reserve(server_process server, mono_time now)
{
    known_server* known = inForce(server);
    if (!known)
        return send_permit();
    dropLapsed(*known, now);
    send_permit permit;
    if (!known->permits.empty()) {
        permit_batch& oldest = known->permits.front();
        permit.m_validUntil = oldest.since + m_options.permitLifetime;
        oldest.count -= 1;
        if (oldest.count == 0)
            known->permits.pop_front();
    } else if (const auto use = ownUse(*known, now)) {
        permit.m_validUntil = now + m_options.permitLifetime;
        known->nextOwnUse = *use + ownInterval(*known, m_fleet().vms);
    } else {
        want(server, now);
        return std::nullopt;
    }
    want(server, now);
    return permit;
}

bool limited_servers::stillValid(server_process server, const send_permit& permit, mono_time now) const
{
    return !limited(server) || (permit.m_validUntil && now <= *permit.m_validUntil);
}

void limited_servers::want(server_process server, mono_time now)
{
    known_server* known = inForce(server);
    if (!known)
        return;
    dropLapsed(*known, now);
    if (known->wants.size() < maxWants())
        known->wants.push_back(now);
}

void limited_servers::await(server_process server, mono_time now)
{
    if (known_server* known = inForce(server); known && known->awaited.size() < m_options.maxWanted)
        known->awaited.push_back(now);
}

void limited_servers::awaitOne(server_process server, mono_time now)
{
    known_server* known = inForce(server);
    if (!known)
        return;
    dropLapsed(*known, now);
    if (known->awaited.empty())
        known->awaited.push_back(now);
}

void limited_servers::forEachReport(mono_time now, const std::function<void(const limit_report&)>& action)
{
    for (auto& [process, known] : m_servers) {
        const std::uint32_t wanted = missing(known, now);
        if (known.heard || wanted > 0)
            action({ process, known.rate, std::max(duration::zero(), now - known.statedAt), known.heard, wanted });
    }
}

void limited_servers::summaryArrived(
    std::span<const limit_summary> summary, bool follows, mono_time askedAt, mono_time now)
{
    for (const limit_summary& item : summary) {
        const auto rate = item.rate ? bounded(*item.rate) : std::nullopt;
        auto found = m_servers.find(item.server);
        if (found == m_servers.end()) {
            if (!rate)
                continue;
            found = m_servers.try_emplace(item.server).first;
        }
        known_server& known = found->second;
        // The age is between that at the question and that now. In doubt, a limit is the newer statement.
        const mono_time statedAt = (rate ? now : askedAt) - item.age;
        if (known.rate == rate) {
            known.statedAt = std::max(known.statedAt, statedAt);
        } else if (statedAt > known.statedAt) {
            known.rate = rate;
            known.statedAt = statedAt;
            known.heard = false;
        }
        if (follows && item.granted > known.granted)
            known.permits.push_back({ askedAt, item.granted - known.granted });
        known.granted = item.granted;
    }
}

void limited_servers::expire(mono_time now, const std::function<bool(server_process)>& hasEntry)
{
    for (auto item = m_servers.begin(); item != m_servers.end();) {
        known_server& known = item->second;
        if (hasEntry(item->first))
            known.absentSince.reset();
        else if (!known.absentSince)
            known.absentSince = now;
        const bool ended = !known.rate && now - known.statedAt >= m_options.endMemory;
        const bool gone = known.absentSince && now - *known.absentSince >= m_options.absentMemory;
        item = ended || gone ? m_servers.erase(item) : std::next(item);
    }
}

std::size_t limited_servers::size() const
{
    return static_cast<std::size_t>(
        std::count_if(m_servers.begin(), m_servers.end(), [](const auto& item) { return item.second.rate; }));
}

limited_servers::known_server* limited_servers::inForce(server_process server)
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() || !found->second.rate ? nullptr : &found->second;
}

void limited_servers::dropLapsed(known_server& server, mono_time now) const
{
    while (!server.permits.empty() && server.permits.front().since + m_options.permitLifetime < now)
        server.permits.pop_front();
    while (!server.wants.empty() && server.wants.front() + m_options.wantWindow < now)
        server.wants.pop_front();
    while (!server.awaited.empty() && server.awaited.front() + m_options.answerWait < now)
        server.awaited.pop_front();
}

std::uint32_t limited_servers::missing(known_server& server, mono_time now) const
{
    if (!server.rate)
        return 0;
    dropLapsed(server, now);
    std::uint64_t held = 0;
    for (const permit_batch& batch : server.permits)
        held += batch.count;
    const auto ahead = static_cast<std::uint64_t>(
        static_cast<double>(server.wants.size()) * toSeconds(m_options.aheadTime) / toSeconds(m_options.wantWindow));
    const std::uint64_t wanted = std::min<std::uint64_t>(server.awaited.size() + ahead, m_options.maxWanted);
    return wanted > held ? static_cast<std::uint32_t>(wanted - held) : 0;
}

std::size_t limited_servers::maxWants() const
{
    const double windows = toSeconds(m_options.wantWindow) / toSeconds(m_options.aheadTime);
    return static_cast<std::size_t>(m_options.maxWanted * windows);
}

// Times of use are one interval apart, from a random one on. Each is open for the lifetime of a permit, so that a VM
// without requests does not save them up.
std::optional<mono_time> limited_servers::ownUse(known_server& server, mono_time now)
{
    const limit_fleet fleet = m_fleet();
    if (fleet.hasCollector) {
        server.nextOwnUse.reset();
        return std::nullopt;
    }
    const duration interval = ownInterval(server, fleet.vms);
    if (!server.nextOwnUse)
        server.nextOwnUse = now + fromSeconds(toSeconds(interval) * uniform(m_random));
    mono_time& next = *server.nextOwnUse;
    next = std::min(next, now + interval);
    const duration open = std::min(interval, m_options.permitLifetime);
    if (next + open < now)
        next += interval * ((now - next - open) / interval + 1);
    return next <= now ? std::optional(next) : std::nullopt;
}

duration limited_servers::ownInterval(const known_server& server, unsigned vms) const
{
    const double perSecond
        = server.rate->perSecond * m_options.unsharedShare / (vms > 0 ? vms : m_options.unknownFleetSize);
    return std::max(duration(1), fromSeconds(1 / perSecond));
}

} // namespace balsamspring

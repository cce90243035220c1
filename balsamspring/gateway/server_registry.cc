#include "balsamspring/gateway/server_registry.h"

#include "balsamspring/base/hash.h"

#include <algorithm>

namespace balsamspring {

server_process processOf(const server_entry& server)
{
    const std::uint64_t process
        = combineHash(hash64(server.id.value()), static_cast<std::uint64_t>(server.startedAtMs));
    return server_process(combineHash(process, hash64(server.address.address, server.address.port)));
}

std::string_view toString(server_change change)
{
    switch (change) {
    case server_change::Added:
        return "added";
    case server_change::Restarted:
        return "restarted";
    case server_change::Draining:
        return "draining";
    case server_change::Removed:
        return "removed";
    case server_change::Lapsed:
        return "lapsed";
    case server_change::Paused:
        return "paused";
    case server_change::Resumed:
        return "resumed";
    }
    return "removed";
}

server_registry::server_registry(server_registry_options options, change_callback onChange)
    : m_options(options)
    , m_onChange(std::move(onChange))
{
}

bool server_registry::put(server_entry entry)
{
    const auto found = m_servers.find(entry.id);
    if (found == m_servers.end()) {
        const backend_id id = entry.id;
        const auto added = m_servers.emplace(id, known_server { std::move(entry), std::nullopt }).first;
        rebuildUsable(added->second.entry.pool);
        m_onChange(added->second.entry, server_change::Added);
        return true;
    }
    known_server& known = found->second;
    if (!known.lapsedAt && known.entry == entry)
        return false;
    known.lapsedAt.reset();
    const pool_id oldPool = known.entry.pool;
    const bool restarted = known.entry.startedAtMs != entry.startedAtMs || known.entry.address != entry.address;
    const bool startsDraining = entry.draining && !known.entry.draining;
    known.entry = std::move(entry);
    rebuildUsable(oldPool);
    if (known.entry.pool != oldPool)
        rebuildUsable(known.entry.pool);
    if (restarted)
        m_onChange(known.entry, server_change::Restarted);
    if (startsDraining)
        m_onChange(known.entry, server_change::Draining);
    return true;
}

void server_registry::remove(const backend_id& id, mono_time now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    const bool mayHaveLapsed
        = m_storeLost || (m_storeRegainedAt && now - *m_storeRegainedAt < m_options.lapseGracePeriod);
    if (!mayHaveLapsed || found->second.entry.draining)
        return drop(id, server_change::Removed);
    if (!found->second.lapsedAt) {
        found->second.lapsedAt = now;
        m_onChange(found->second.entry, server_change::Lapsed);
    }
}

const server_registry::server_notice* server_registry::noticeOf(const server_entry& server) const
{
    const auto found = m_notices.find(server.id);
    const bool same = found != m_notices.end() && found->second.startedAtMs == server.startedAtMs
        && found->second.address == server.address;
    return same ? &found->second : nullptr;
}

server_registry::server_notice& server_registry::noteOn(const server_entry& server)
{
    if (!noticeOf(server))
        m_notices[server.id] = { server.startedAtMs, server.address, false, std::nullopt, std::nullopt };
    return m_notices.at(server.id);
}

bool server_registry::markLeaving(const server_entry& server)
{
    const server_entry* known = find(server.id);
    // The answer of an earlier process does not bind the present one.
    if (!known || known->startedAtMs != server.startedAtMs || known->address != server.address)
        return false;
    server_notice& notice = noteOn(server);
    if (notice.leaving)
        return false;
    notice.leaving = true;
    rebuildUsable(known->pool);
    if (!known->draining)
        m_onChange(*known, server_change::Draining);
    return true;
}

void server_registry::pause(const server_entry& server, mono_time until, mono_time now)
{
    const server_entry* known = find(server.id);
    if (!known || known->startedAtMs != server.startedAtMs || known->address != server.address || until <= now)
        return;
    server_notice& notice = noteOn(server);
    const bool begins = !notice.pausedUntil;
    notice.pausedUntil = std::max(until, notice.pausedUntil.value_or(until));
    if (!begins)
        return;
    rebuildUsable(known->pool);
    m_onChange(*known, server_change::Paused);
}

bool server_registry::paused(const server_entry& server) const
{
    const server_notice* notice = noticeOf(server);
    return notice && notice->pausedUntil;
}

std::optional<mono_time> server_registry::allPausedUntil(const pool_id& pool) const
{
    if (!usable(pool).empty())
        return std::nullopt;
    std::optional<mono_time> first;
    for (const auto& [id, notice] : m_notices) {
        const server_entry* server = find(id);
        if (!server || server->pool != pool || server->draining || notice.leaving || !notice.pausedUntil
            || !noticeOf(*server))
            continue;
        first = std::min(first.value_or(*notice.pausedUntil), *notice.pausedUntil);
    }
    return first;
}

void server_registry::setEvacuated(std::set<zone_id> zones)
{
    m_evacuated = std::move(zones);
    for (const auto& [pool, servers] : m_usable)
        rebuildUsable(pool);
}

bool server_registry::allEvacuated(const pool_id& pool) const
{
    if (m_evacuated.empty() || !usable(pool).empty())
        return false;
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& item) {
        const server_entry& entry = item.second.entry;
        return entry.pool == pool && accepts(entry) && m_evacuated.contains(entry.zone);
    });
}

void server_registry::endPauses(mono_time now)
{
    std::vector<backend_id> resumed;
    for (auto& [id, notice] : m_notices) {
        if (notice.pausedUntil && *notice.pausedUntil <= now) {
            notice.pausedUntil.reset();
            resumed.push_back(id);
        }
        if (m_servers.contains(id))
            notice.absentSince.reset();
        else if (!notice.absentSince)
            notice.absentSince = now;
    }
    std::erase_if(m_notices, [&](const auto& entry) {
        const server_notice& notice = entry.second;
        return (!notice.leaving && !notice.pausedUntil)
            || (notice.absentSince && now - *notice.absentSince >= m_options.leavingMemory);
    });
    for (const backend_id& id : resumed) {
        const auto found = m_servers.find(id);
        if (found == m_servers.end())
            continue;
        const server_entry entry = found->second.entry;
        rebuildUsable(entry.pool);
        m_onChange(entry, server_change::Resumed);
    }
}

void server_registry::storeLost(mono_time) { m_storeLost = true; }

void server_registry::storeRegained(duration outage, mono_time now)
{
    m_storeLost = false;
    if (outage >= m_options.minOutage)
        m_storeRegainedAt = now;
}

void server_registry::expire(mono_time now)
{
    endPauses(now);
    if (m_storeLost || (m_storeRegainedAt && now - *m_storeRegainedAt < m_options.lapseGracePeriod))
        return;
    std::vector<backend_id> expired;
    for (const auto& [id, known] : m_servers) {
        if (known.lapsedAt)
            expired.push_back(id);
    }
    for (const backend_id& id : expired)
        drop(id, server_change::Removed);
}

const server_entry* server_registry::find(const backend_id& id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second.entry;
}

void server_registry::forEach(const std::function<void(const server_entry&)>& action) const
{
    for (const auto& [id, known] : m_servers)
        action(known.entry);
}

const server_entry* server_registry::findByAddress(const endpoint& address) const
{
    for (const auto& [id, known] : m_servers) {
        if (known.entry.address == address)
            return &known.entry;
    }
    return nullptr;
}

const std::vector<const server_entry*>& server_registry::usable(const pool_id& pool) const
{
    static const std::vector<const server_entry*> noServers;
    const auto found = m_usable.find(pool);
    return found == m_usable.end() ? noServers : found->second;
}

void server_registry::drop(const backend_id& id, server_change change)
{
    const auto found = m_servers.find(id);
    const server_entry entry = found->second.entry;
    m_servers.erase(found);
    rebuildUsable(entry.pool);
    m_onChange(entry, change);
}

void server_registry::rebuildUsable(const pool_id& pool)
{
    auto& list = m_usable[pool];
    list.clear();
    for (const auto& [id, known] : m_servers) {
        if (known.entry.pool == pool && accepts(known.entry) && !m_evacuated.contains(known.entry.zone))
            list.push_back(&known.entry);
    }
}

bool server_registry::accepts(const server_entry& entry) const
{
    const server_notice* notice = noticeOf(entry);
    return !entry.draining && !(notice && (notice->leaving || notice->pausedUntil));
}

} // namespace balsamspring

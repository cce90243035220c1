#include "balsamspring/gateway/server_registry.h"

namespace balsamspring {

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

void server_registry::storeLost(mono_time) { m_storeLost = true; }

void server_registry::storeRegained(duration outage, mono_time now)
{
    m_storeLost = false;
    if (outage >= m_options.minOutage)
        m_storeRegainedAt = now;
}

void server_registry::expire(mono_time now)
{
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
        if (known.entry.pool == pool && !known.entry.draining)
            list.push_back(&known.entry);
    }
}

} // namespace balsamspring

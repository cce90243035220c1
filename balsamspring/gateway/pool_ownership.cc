#include "balsamspring/gateway/pool_ownership.h"

#include "balsamspring/base/hash.h"
#include "balsamspring/base/log.h"

#include <algorithm>

namespace balsamspring {

pool_ownership::pool_ownership(
    ownership_options options, endpoint self, const record_store& store, ownership_hooks hooks)
    : m_options(std::move(options))
    , m_self(std::move(self))
    , m_store(store)
    , m_hooks(std::move(hooks))
{
}

void pool_ownership::start()
{
    if (m_options.gathers)
        join();
    else
        refreshPeriodically();
}

void pool_ownership::leave()
{
    m_hasLeft = true;
    if (!m_options.gathers)
        return;
    std::erase_if(m_owners, [this](const auto& owner) { return owner.second == m_self; });
    m_hooks.onChanged();
    m_store.leaveGroup(m_options.group, toString(m_self), [](const result<void>& done) {
        if (!done)
            logLine(log_level::Info, "leave_failed", { { "why", done.error().message } });
    });
}

void pool_ownership::join()
{
    if (m_hasLeft)
        return;
    m_store.joinGroup(m_options.group, toString(m_self), m_options.topic, m_options.lifetime, m_generation,
        [this](const result<std::uint64_t>& generation) {
            m_hooks.after(m_options.joinInterval, [this] { join(); });
            if (generation)
                joined(*generation);
        });
}

void pool_ownership::refreshPeriodically()
{
    m_hooks.after(m_options.minRefreshInterval, [this] { refreshPeriodically(); });
    const mono_time now = m_hooks.now();
    const duration interval = m_owners.empty() ? m_options.minRefreshInterval
        : m_refreshSoon                        ? m_options.failureRefreshInterval
                                               : m_options.refreshInterval;
    if (now - m_refreshedAt >= interval) {
        m_refreshedAt = now;
        m_refreshSoon = false;
        readOwners(m_generation);
    }
}

void pool_ownership::joined(std::uint64_t generation)
{
    m_generation = generation;
    if (generation != m_ownersGeneration && !m_hasLeft)
        readOwners(generation);
}

void pool_ownership::readOwners(std::uint64_t generation)
{
    m_store.groupOwners(m_options.group, [this, generation](result<std::vector<partition_owner>> rows) {
        if (!rows) {
            logLine(log_level::Info, "owners_unreadable", { { "why", rows.error().message } });
            return;
        }
        const auto previousOwners = std::move(m_owners);
        m_owners.clear();
        for (const partition_owner& row : *rows) {
            if (const auto address = parseEndpoint(row.member))
                m_owners[row.partition] = *address;
        }
        m_ownersGeneration = generation;
        if (m_owners == previousOwners)
            return;
        logLine(log_level::Info, "owners_changed",
            { { "generation", std::to_string(generation) }, { "partitions", std::to_string(m_owners.size()) } });
        m_hooks.onChanged();
    });
}

const endpoint* pool_ownership::ownerOf(const pool_id& pool) const
{
    const auto partition = static_cast<std::uint32_t>(hash64(pool.value()) % m_options.partitions);
    const auto found = m_owners.find(partition);
    return found == m_owners.end() ? nullptr : &found->second;
}

bool pool_ownership::isOwner(const pool_id& pool) const
{
    const endpoint* owner = ownerOf(pool);
    return owner && *owner == m_self;
}

std::vector<const endpoint*> pool_ownership::gatherersOf(const pool_id& pool) const
{
    std::vector<const endpoint*> gatherers;
    const auto partition = static_cast<std::uint32_t>(hash64(pool.value()) % m_options.partitions);
    for (std::uint32_t step = 0; step < m_options.partitions && gatherers.size() < m_options.gatherersPerPool; ++step) {
        const auto found = m_owners.find((partition + step) % m_options.partitions);
        if (step == 0 && found == m_owners.end())
            return {};
        if (found == m_owners.end())
            continue;
        const bool known = std::any_of(gatherers.begin(), gatherers.end(),
            [&found](const endpoint* gatherer) { return *gatherer == found->second; });
        if (!known)
            gatherers.push_back(&found->second);
    }
    return gatherers;
}

const endpoint* pool_ownership::backupOf(const pool_id& pool) const
{
    const auto gatherers = gatherersOf(pool);
    return gatherers.size() < 2 ? nullptr : gatherers[1];
}

bool pool_ownership::isSubstitute(const pool_id& pool, const endpoint& vm) const
{
    const endpoint* owner = ownerOf(pool);
    const endpoint* backup = backupOf(pool);
    return !(owner && *owner == vm) && !(backup && *backup == vm);
}

bool pool_ownership::inBackoff(const pool_id& pool, const endpoint& vm, mono_time now) const
{
    const auto failed = m_unreachable.find({ pool, vm });
    return failed != m_unreachable.end() && now < failed->second;
}

std::optional<endpoint> pool_ownership::remoteOwner(const pool_id& pool, mono_time now) const
{
    const endpoint* owner = ownerOf(pool);
    if (!owner || *owner == m_self || inBackoff(pool, *owner, now))
        return std::nullopt;
    return *owner;
}

std::optional<endpoint> pool_ownership::remoteGatherer(const pool_id& pool, mono_time now) const
{
    for (const endpoint* gatherer : gatherersOf(pool)) {
        if (*gatherer == m_self)
            return std::nullopt;
        if (!inBackoff(pool, *gatherer, now))
            return *gatherer;
    }
    return std::nullopt;
}

void pool_ownership::reportRequest(const pool_id& pool, const endpoint& vm, mono_time now)
{
    const auto failed = m_unreachable.find({ pool, vm });
    if (failed != m_unreachable.end())
        failed->second = now + m_options.unreachableBackoff;
}

void pool_ownership::reportAnswer(const pool_id& pool, const endpoint& vm) { m_unreachable.erase({ pool, vm }); }

bool pool_ownership::acceptWork(const pool_id& pool, bool redirected, mono_time now)
{
    if (isOwner(pool))
        return true;
    const endpoint* backup = backupOf(pool);
    const bool designated = redirected && m_options.gathers && !m_hasLeft;
    if (!designated && (!backup || *backup != m_self))
        return false;
    m_backupUntil[pool] = now + m_options.backupDuration;
    return true;
}

bool pool_ownership::gathersFor(const pool_id& pool, mono_time now) const
{
    const auto activeBackup = m_backupUntil.find(pool);
    return isOwner(pool) || (activeBackup != m_backupUntil.end() && now < activeBackup->second);
}

bool pool_ownership::reportNotOwner(const pool_id& pool, const std::optional<endpoint>& owner)
{
    m_refreshSoon = true;
    const endpoint* cachedOwner = ownerOf(pool);
    if (!owner || *owner == m_self || !cachedOwner || *cachedOwner == *owner)
        return false;
    m_owners[static_cast<std::uint32_t>(hash64(pool.value()) % m_options.partitions)] = *owner;
    return true;
}

std::optional<endpoint> pool_ownership::knownOwner(const pool_id& pool) const
{
    if (const endpoint* owner = ownerOf(pool))
        return *owner;
    if (!m_hasLeft)
        return std::nullopt;
    const auto partition = static_cast<std::uint32_t>(hash64(pool.value()) % m_options.partitions);
    for (std::uint32_t step = 1; step < m_options.partitions; ++step) {
        const auto found = m_owners.find((partition + step) % m_options.partitions);
        if (found != m_owners.end())
            return found->second;
    }
    return std::nullopt;
}

void pool_ownership::reportUnreachable(const pool_id& pool, const endpoint& vm, mono_time now)
{
    m_unreachable[{ pool, vm }] = now + m_options.unreachableBackoff;
    m_refreshSoon = true;
}

} // namespace balsamspring

// The backend servers that may get work, from their entries in the platform's store.
//
// Load pattern: servers are replaced and emptied, entries lapse while the store is away, addresses are assigned to
// servers of other pools seconds after they became free.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"
#include "balsamspring/net/connection.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring {

struct server_entry {
    backend_id id;
    pool_id pool;
    endpoint address;
    zone_id zone;
    bool draining = false;
    std::int64_t startedAtMs = 0; // distinguishes two starts under one id; 0: not stated

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

enum class server_change : std::uint8_t { Added, Restarted, Draining, Removed, Lapsed };

std::string_view toString(server_change change);

struct server_registry_options {
    // A server that lives is back this long after the store's return.
    duration lapseGrace = std::chrono::milliseconds(2200);
    // Absences of the store above this may have let entries lapse.
    duration minOutage = std::chrono::milliseconds(1500);
};

class server_registry {
public:
    using change_callback = std::function<void(const server_entry&, server_change)>;

    server_registry(server_registry_options options, change_callback onChange);

    // Returns whether the entry says anything new.
    bool put(server_entry entry);
    // The entry of the id was removed or cannot be read.
    void remove(const backend_id& id, mono_time now);
    void storeLost(mono_time now);
    void storeRegained(duration away, mono_time now);
    // Drops servers whose entries lapsed and did not return in time.
    void expire(mono_time now);

    const server_entry* find(const backend_id& id) const;
    // The server at the address, or null.
    const server_entry* findByAddress(const endpoint& address) const;
    // Servers of the pool that take new work, ordered by id.
    const std::vector<const server_entry*>& usable(const pool_id& pool) const;
    std::size_t size() const { return m_servers.size(); }

private:
    struct known_server {
        server_entry entry;
        std::optional<mono_time> lapsedAt;
    };

    void drop(const backend_id& id, server_change change);
    void rebuild(const pool_id& pool);

    server_registry_options m_options;
    change_callback m_onChange;
    std::map<backend_id, known_server> m_servers;
    std::map<pool_id, std::vector<const server_entry*>> m_usable;
    std::optional<mono_time> m_regainedAt; // after an outage in which entries may have lapsed
    bool m_storeLost = false;
};

} // namespace balsamspring

// Registry of the backend servers that may receive requests, built from their entries in the platform's store.
//
// Load pattern: servers are replaced and drained, entries expire during an outage of the store, and addresses are
// reassigned to servers of other pools within seconds.
//
// Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"
#include "balsamspring/net/connection.h"
#include "balsamspring/server_limit/server_limit_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamspring {

struct server_entry {
    backend_id id;
    pool_id pool;
    endpoint address;
    zone_id zone;
    bool draining = false;
    // Start time of the process, which tells two processes with the same id apart. 0 if the entry does not state it.
    std::int64_t startedAtMs = 0;
    // How much longer the server is cold, as of its entry; none if the entry does not state it.
    std::optional<duration> coldRemaining {};

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

server_process processOf(const server_entry& server);

// Lapsed: the entry may have expired only because of an outage of the store, so the server stays usable for now.
// Paused: the server has asked for a pause, which ends with Resumed.
enum class server_change : std::uint8_t { Added, Restarted, Draining, Removed, Lapsed, Paused, Resumed };

std::string_view toString(server_change change);

struct server_registry_options {
    // A running server has renewed its entry this long after the end of an outage of the store.
    duration lapseGracePeriod = std::chrono::milliseconds(2200);
    // Entries may have expired during an outage of at least this length.
    duration minOutage = std::chrono::milliseconds(1500);
    // How long it is remembered that a server without an entry was leaving. Its entry may come back.
    duration leavingMemory = std::chrono::minutes(10);
};

class server_registry {
public:
    using change_callback = std::function<void(const server_entry&, server_change)>;

    server_registry(server_registry_options options, change_callback onChange);

    // Adds or updates a server. Returns whether anything changed.
    bool put(server_entry entry);
    // The entry of the id was removed or cannot be decoded. The server lapses instead of being removed if the entry may
    // have expired because of an outage of the store, unless the server was draining.
    void remove(const backend_id& id, mono_time now);
    // The server itself said that it is leaving. Holds until it starts anew, whatever its entry says. Returns whether
    // this was not known.
    bool markLeaving(const server_entry& server);
    // The server itself asked for a pause. Holds until it ends or the server starts anew.
    void pause(const server_entry& server, mono_time until, mono_time now);
    // When the first pause ends, if the pool has servers and all of them pause.
    std::optional<mono_time> allPausedUntil(const pool_id& pool) const;
    bool paused(const server_entry& server) const;
    // The servers of these availability zones get no requests.
    void setEvacuated(std::set<zone_id> zones);
    // Whether the pool has servers that accept new requests, and all of them are in evacuated zones.
    bool allEvacuated(const pool_id& pool) const;
    void storeLost(mono_time now);
    void storeRegained(duration outage, mono_time now);
    // Ends pauses, and removes lapsed servers whose entries were not renewed within the grace period.
    void expire(mono_time now);

    const server_entry* find(const backend_id& id) const;
    void forEach(const std::function<void(const server_entry&)>& action) const;
    // Returns null if no server has the address.
    const server_entry* findByAddress(const endpoint& address) const;
    // The servers of the pool that accept new requests, ordered by id.
    const std::vector<const server_entry*>& usable(const pool_id& pool) const;
    std::size_t size() const { return m_servers.size(); }

private:
    struct known_server {
        server_entry entry;
        std::optional<mono_time> lapsedAt;
    };

    // What a server said of itself. It binds only the process that said it.
    struct server_notice {
        std::int64_t startedAtMs = 0;
        endpoint address;
        bool leaving = false;
        std::optional<mono_time> pausedUntil;
        std::optional<mono_time> absentSince; // the server has no entry
    };

    const server_notice* noticeOf(const server_entry& server) const;
    server_notice& noteOn(const server_entry& server);
    // Whether the server accepts new requests, as far as it has said.
    bool accepts(const server_entry& entry) const;
    void endPauses(mono_time now);
    void drop(const backend_id& id, server_change change);
    void rebuildUsable(const pool_id& pool);

    server_registry_options m_options;
    change_callback m_onChange;
    std::map<backend_id, known_server> m_servers;
    std::map<pool_id, std::vector<const server_entry*>> m_usable;
    std::map<backend_id, server_notice> m_notices;
    std::set<zone_id> m_evacuated;
    // End of the last outage during which entries may have expired.
    std::optional<mono_time> m_storeRegainedAt;
    bool m_storeLost = false;
};

} // namespace balsamspring

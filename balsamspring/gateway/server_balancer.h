// Chooses servers for calls, from what this VM's own calls have shown: load, latency and failures.
//
// Load pattern: servers of one pool differ in speed, slow down for moments, go silent while their health check is good,
// or fail part of their requests.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/gateway/server_registry.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>

namespace balsamspring {

enum class call_failure : std::uint8_t {
    NotReached, // no connection
    Lost, // the connection ended without an answer
    Silent, // no answer in time
    ErrorAnswer, // the server itself failed
};

struct balancer_options {
    double latencyWeight = 0.2; // of the newest sample in the moving average
    duration firstLatency = std::chrono::milliseconds(60); // assumed before the first sample
    double otherZoneCost = 1.15; // factor of servers in other availability zones
    unsigned failuresToBlock = 2; // in a row; a server that cannot be reached is blocked at once
    duration minBlock = std::chrono::milliseconds(400); // doubles with each block in a row
    duration maxBlock = std::chrono::seconds(3);
    duration fullBlock = std::chrono::milliseconds(60); // after an answer that the server is full
    // Of engines: requests above the average of the candidates that a server with a cached prefix may have.
    double affinityHeadroom = 0.7;
};

class server_balancer {
public:
    using server_list = std::span<const server_entry* const>;

    server_balancer(balancer_options options, zone_id ownZone, random_engine& random);

    // The better of two random servers that are not blocked; a blocked one only if nothing else is left. Null only when
    // every server is excluded.
    const server_entry* choose(server_list servers, const std::set<backend_id>& excluded, mono_time now);

    // For engines: the servers of one prefix are tried in the same order on every VM, so that its cached parts are read
    // by few. `preferredZone` (may be empty) is tried before other zones.
    const server_entry* chooseForPrefix(server_list servers, const std::set<backend_id>& excluded, std::uint64_t prefix,
        const zone_id& preferredZone, mono_time now) const;

    void started(const backend_id& server);
    void succeeded(const backend_id& server, duration latency);
    void failed(const backend_id& server, call_failure kind, mono_time now);
    void full(const backend_id& server, mono_time now);
    // The call ended for a reason that says nothing about the server.
    void abandoned(const backend_id& server);
    void forget(const backend_id& server);

    bool blocked(const backend_id& server, mono_time now) const;
    unsigned inFlight(const backend_id& server) const;

private:
    struct server_state {
        unsigned inFlight = 0;
        double latency = 0; // seconds; 0 before the first sample
        unsigned failures = 0; // in a row
        unsigned blocks = 0; // in a row
        mono_time blockedUntil {};
    };

    double cost(const server_entry& server) const;
    void release(server_state& server);
    void block(server_state& server, duration length, mono_time now) const;

    balancer_options m_options;
    zone_id m_ownZone;
    random_engine& m_random;
    std::map<backend_id, server_state> m_servers;
};

} // namespace balsamspring

// What backend servers say about themselves in their responses: that they are leaving, that they want no requests for a
// while, and how many requests a second they take. It binds this VM at once, whatever the server's entry in the store
// says.
//
// Load pattern: servers are emptied while the store is away or late; a pool that is full asks all VMs for a pause at
// the same time, and all of them would return at its end.
//
// Not thread-safe.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/server_registry.h"
#include "balsamspring/gateway/wire_adapter.h"
#include "balsamspring/server_limit/limited_servers.h"

namespace balsamspring {

struct server_notices_options {
    // A longer pause is cut to this, so that a mistake of a server does not take it out for good.
    duration maxPause = std::chrono::minutes(10);
    // This VM returns after a random time beyond the pause, at most this share of it, within the limits below.
    double spreadShare = 0.2;
    duration minSpread = std::chrono::milliseconds(50);
    duration maxSpread = std::chrono::milliseconds(500);
};

class server_notices {
public:
    // All references must outlive this object.
    server_notices(server_notices_options options, server_registry& servers, limited_servers& limits,
        gateway_metrics& metrics, random_engine& random);

    // `server` is the entry to which the request was sent, at `askedAt`.
    void responseArrived(
        const server_entry& server, const backend_response& response, mono_time askedAt, mono_time now);

private:
    void limitStated(const server_entry& server, const limit_notice& notice, mono_time askedAt, mono_time now);
    void pauseStated(const server_entry& server, const backend_response& response, mono_time now);

    server_notices_options m_options;
    server_registry& m_servers;
    limited_servers& m_limits;
    gateway_metrics& m_metrics;
    random_engine& m_random;
};

} // namespace balsamspring

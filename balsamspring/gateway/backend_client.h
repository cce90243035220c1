// Sends requests to backend servers. The only way from a gateway to a server, whatever the request is for, so that no
// request passes by the limit that a server has named.
//
// Not thread-safe: to be used on the thread of its event loop only.
#pragma once

#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/server_registry.h"
#include "balsamspring/net/http_exchange.h"
#include "balsamspring/server_limit/limited_servers.h"

#include <memory>
#include <string_view>

namespace balsamspring {

// What is sent to a server: a caller's request for the first time, again, or to continue a stream; a call with pieces
// of a stage; the release of results; a question for its report.
enum class send_purpose : std::uint8_t { FirstAttempt, Repeat, Resumption, StageCall, Release, Report };

std::string_view toString(send_purpose purpose);

class backend_client {
public:
    // The loop, the limits and the metrics must outlive this object.
    backend_client(
        event_loop& loop, exchange_client_options options, limited_servers& limits, gateway_metrics& metrics);

    // A request to a limited server needs a permit, which is `reserved` or taken now, and which must be valid still
    // when the connection is there. Without one the exchange ends as Withheld, never from within this call. `maySend`
    // of the request is set here.
    std::shared_ptr<client_exchange> start(const server_entry& server, send_purpose purpose, exchange_request request,
        exchange_callbacks callbacks, const send_permit* reserved = nullptr);
    // Closes the idle connections to the server at this address.
    void closeIdleConnectionsTo(const endpoint& server) { m_client.closeIdleConnectionsTo(server); }
    std::uint64_t connectionsOpened() const { return m_client.connectionsOpened(); }

private:
    event_loop& m_loop;
    exchange_client m_client;
    limited_servers& m_limits;
    gateway_metrics& m_metrics;
};

} // namespace balsamspring

#include "balsamspring/gateway/server_notices.h"

#include "balsamspring/base/log.h"

#include <algorithm>

#include <fmt/core.h>

namespace balsamspring {

server_notices::server_notices(
    server_notices_options options, server_registry& servers, gateway_metrics& metrics, random_engine& random)
    : m_options(options)
    , m_servers(servers)
    , m_metrics(metrics)
    , m_random(random)
{
}

void server_notices::responseArrived(const server_entry& server, const backend_response& response, mono_time now)
{
    // Another server answers at the address.
    if (response.wrongServer)
        return;
    if (response.leaving && m_servers.markLeaving(server)) {
        m_metrics.count("server_notices", "leaving");
        logLine(log_level::Info, "server_leaving",
            { { "server", server.id.value() }, { "pool", server.pool.value() },
                { "address", toString(server.address) } });
    }
    if (response.pauseUnreadable) {
        m_metrics.count("server_notices", "pause_unreadable");
        logLine(log_level::Warn, "server_pause_unreadable", { { "server", server.id.value() } });
    }
    if (!response.pause)
        return;
    const duration pause = std::min(*response.pause, m_options.maxPause);
    const duration spread
        = std::clamp(fromSeconds(toSeconds(pause) * m_options.spreadShare), m_options.minSpread, m_options.maxSpread);
    m_servers.pause(server, now + pause + fromSeconds(toSeconds(spread) * uniform(m_random)), now);
    m_metrics.count("server_notices", *response.pause > m_options.maxPause ? "pause_cut" : "pause");
    logLine(log_level::Info, "server_paused",
        { { "server", server.id.value() }, { "pool", server.pool.value() },
            { "asked_s", fmt::format("{:.3f}", toSeconds(*response.pause)) },
            { "for_s", fmt::format("{:.3f}", toSeconds(pause)) } });
}

} // namespace balsamspring

#include "balsamspring/gateway/server_notices.h"

#include "balsamspring/base/log.h"

#include <algorithm>

#include <fmt/core.h>

namespace balsamspring {

server_notices::server_notices(server_notices_options options, server_registry& servers, limited_servers& limits,
    gateway_metrics& metrics, random_engine& random)
    : m_options(options)
    , m_servers(servers)
    , m_limits(limits)
    , m_metrics(metrics)
    , m_random(random)
{
}

void server_notices::responseArrived(
    const server_entry& server, const backend_response& response, mono_time askedAt, mono_time now)
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
    limitStated(server, response.limit, askedAt, now);
    pauseStated(server, response, now);
}

void server_notices::limitStated(
    const server_entry& server, const limit_notice& notice, mono_time askedAt, mono_time now)
{
    if (notice.named)
        m_metrics.count("server_notices", "limit");
    if (notice.repeated)
        m_metrics.count("server_notices", "limit_repeated");
    if (notice.unreadable) {
        m_metrics.count("server_notices", "limit_unreadable");
        logLine(log_level::Warn, "server_limit_unreadable", { { "server", server.id.value() } });
    }
    const std::optional<request_rate> used = notice.rate ? m_limits.bounded(*notice.rate) : std::nullopt;
    const auto text = [](const std::optional<request_rate>& rate) {
        return rate ? fmt::format("{:.3f}", rate->perSecond) : std::string("-");
    };
    if (notice.rate && used != notice.rate)
        m_metrics.count("server_notices", "limit_bounded");
    const limit_change change = m_limits.stated(processOf(server), notice, askedAt, now);
    if (change == limit_change::None)
        return;
    logLine(log_level::Info, change == limit_change::Named ? "server_limit_named" : "server_limit_ended",
        { { "server", server.id.value() }, { "pool", server.pool.value() }, { "address", toString(server.address) },
            { "named_per_s", text(notice.rate) }, { "used_per_s", text(used) } });
}

void server_notices::pauseStated(const server_entry& server, const backend_response& response, mono_time now)
{
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

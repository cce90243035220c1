#include "balsamspring/gateway/server_call.h"

#include <utility>

namespace balsamspring {

server_call::server_call(crash_quarantine& quarantine, server_balancer& balancer, server_entry server,
    attempt_id attempt, fingerprint content, std::vector<fingerprint> parts, mono_time now)
    : m_quarantine(quarantine)
    , m_balancer(balancer)
    , m_server(std::move(server))
    , m_attempt(attempt)
{
    m_quarantine.started(m_attempt, content, m_server.id, now,
        { .parts = std::move(parts), .serverGeneration = static_cast<std::uint64_t>(m_server.startedAtMs) });
    m_balancer.started(m_server.id);
}

server_call::~server_call()
{
    if (m_running)
        m_quarantine.dropped(m_attempt);
    if (m_counted)
        m_balancer.abandoned(m_server.id);
}

void server_call::proven(mono_time now)
{
    if (std::exchange(m_running, false))
        m_quarantine.succeeded(m_attempt, now);
}

void server_call::connectionLost(mono_time now)
{
    if (std::exchange(m_running, false))
        m_quarantine.connectionLost(m_attempt, now);
}

void server_call::succeeded(duration latency)
{
    if (std::exchange(m_counted, false))
        m_balancer.succeeded(m_server.id, latency);
}

void server_call::failed(call_failure kind, mono_time now)
{
    if (std::exchange(m_counted, false))
        m_balancer.failed(m_server.id, kind, now);
}

void server_call::rejected(mono_time now)
{
    if (std::exchange(m_counted, false))
        m_balancer.rejected(m_server.id, now);
}

} // namespace balsamspring

// Admission of a request: looks up its route, authenticates its team and checks its content against the quarantine.
#include "balsamspring/base/hash.h"
#include "balsamspring/gateway/request_session.h"

#include <algorithm>

#include <fmt/core.h>
#include <fmt/ranges.h>

namespace balsamspring {

namespace {

constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;

} // namespace

bool request_session::admit()
{
    m_config = m_context.config.current();
    if (!m_config) {
        giveUp("no_configuration");
        return false;
    }
    if (!findRoute() || !authenticate())
        return false;
    m_content = fingerprint(combineHash(
        hash64(m_request.target, hash64(m_team ? m_team->value() : std::string())), hash64(m_incoming.body)));
    if (m_context.quarantine.quarantineStatus(m_content, m_incoming.receivedAt) == quarantine_status::Quarantined) {
        giveUp("crashes_servers");
        return false;
    }
    for (const std::string_view part : sharedParts())
        m_parts.push_back(fingerprint(hash64(part)));
    return !refuseBlocked();
}

bool request_session::refuseBlocked()
{
    if (m_probing)
        return false;
    const part_verdict verdict = m_context.parts.judge(m_parts, bootNow());
    if (verdict.decision == part_verdict::admission::Allowed)
        return false;
    // begin() claims the probe for a request that has not started.
    if (verdict.decision == part_verdict::admission::Probe && !m_started)
        return false;
    m_retryAfter = std::max(duration::zero(), verdict.nextProbe);
    logLine(log_level::Info, "part_refused",
        { { "id", m_request.id.value() }, { "part", fmt::format("{:016x}", verdict.part.value()) },
            { "parts", fmt::format("{}", fmt::join(sharedParts(), "+")) } });
    giveUp("crashing_part");
    return true;
}

void request_session::claimProbe(const part_verdict& verdict)
{
    m_context.claimProbe(verdict.part, [self = shared_from_this(), part = verdict.part](bool claimed) {
        self->m_context.parts.probeClaimed(part, claimed, bootNow());
        if (self->m_done)
            return;
        self->m_probing = claimed;
        if (claimed || !self->refuseBlocked())
            self->start();
    });
}

bool request_session::findRoute()
{
    m_route = m_config->match(m_request.host, m_request.target);
    if (!m_route || m_route->pools.empty()) {
        // The route may have been added while this VM could not reach the store.
        if (!m_context.config.keysTrusted(bootNow()))
            giveUp("configuration_unconfirmed");
        else
            refuse(statusNotFound, "no_route");
        return false;
    }
    double total = 0;
    for (const weighted_pool& item : m_route->pools)
        total += item.weight;
    double drawn = uniform(m_context.random) * total;
    m_pool = m_route->pools.back().pool;
    for (const weighted_pool& item : m_route->pools) {
        drawn -= item.weight;
        if (drawn < 0) {
            m_pool = item.pool;
            break;
        }
    }
    m_priority = m_route->priority;
    return true;
}

bool request_session::authenticate()
{
    if (m_route->anonymous)
        return true;
    if (!m_context.config.keysTrusted(bootNow())) {
        giveUp("keys_unconfirmed");
        return false;
    }
    const team_spec* team = m_request.key ? m_config->teamOfKey(*m_request.key) : nullptr;
    if (!team) {
        refuse(statusUnauthorized, "unknown_key");
        return false;
    }
    m_team = team->id;
    m_priority = team->priority.value_or(m_route->priority);
    return true;
}

// Checked again before each call, because the key may be revoked and the store may become unreachable while the request
// waits.
bool request_session::keyStillValid()
{
    if (m_route->anonymous)
        return true;
    const auto latestConfig = m_context.config.current();
    const team_spec* team = latestConfig->teamOfKey(*m_request.key);
    if (!team || team->id != *m_team) {
        refuse(statusUnauthorized, "key_revoked");
        return false;
    }
    if (!m_context.config.keysTrusted(bootNow())) {
        giveUp("keys_unconfirmed");
        return false;
    }
    return true;
}

void request_session::startTimers()
{
    const mono_time start = m_incoming.firstByteAt;
    const duration timeout = std::min(m_request.callerTimeout.value_or(m_route->timeout), m_route->timeout);
    m_deadline = start + timeout;
    m_targetTime = start + m_route->latencyTarget;
    armDeadline();
}

void request_session::endBy(mono_time limit)
{
    m_endBy = limit;
    if (!m_deadlineTimer)
        return;
    m_context.loop.cancel(m_deadlineTimer);
    armDeadline();
}

void request_session::armDeadline()
{
    if (m_endBy)
        m_deadline = std::min(m_deadline, *m_endBy);
    const duration timeToDeadline = m_deadline - m_options.deadlineMargin - bootNow();
    m_deadlineTimer = m_context.loop.after(
        std::max(timeToDeadline, duration::zero()), [self = shared_from_this()] { self->deadlinePassed(); });
}

} // namespace balsamspring

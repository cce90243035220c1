#include "balsamspring/gateway/request_session.h"

#include "balsamspring/base/hash.h"

#include <algorithm>

#include <fmt/core.h>
#include <fmt/ranges.h>

namespace balsamspring {

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr unsigned firstServerError = 500;

// Engine priorities. Priority 0 of a route or team maps to the first, less urgent ones to the next, up to the last.
constexpr unsigned mostUrgentRank = 3;
constexpr unsigned leastUrgentRank = 9;

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

// Whether the status tells the caller that its request was not executed.
bool signalsNotRun(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

std::string milliseconds(duration value) { return fmt::format("{:.0f}", toSeconds(value) * 1000); }

std::uint64_t nextAttempt()
{
    static std::uint64_t last = 0;
    return ++last;
}

} // namespace

request_session::request_session(const gateway_context& context, const session_options& options,
    incoming_request request, std::shared_ptr<response_writer> writer, std::function<void(request_session&)> onDone)
    : m_context(context)
    , m_options(options)
    , m_incoming(std::move(request))
    , m_writer(std::move(writer))
    , m_onDone(std::move(onDone))
    , m_watch(options.streamWatch)
{
}

void request_session::begin()
{
    auto decoded = m_context.adapter.decodeRequest(m_incoming.head);
    if (!decoded)
        return refuse(statusBadRequest, decoded.error().message);
    m_request = std::move(*decoded);
    m_deliveredEvents = eventNumber(m_request.lastEventId);
    if (m_request.lastEventId)
        m_events.resumeAfter(*m_request.lastEventId);
    if (!admit())
        return;
    m_writer->onDisconnect([self = shared_from_this()] { self->callerDisconnected(); });
    m_writer->onWritten([self = shared_from_this()] { self->applyBackpressure(); });
    startTimers();
    const part_verdict verdict = m_context.parts.judge(m_parts, bootNow());
    if (verdict.decision == part_verdict::admission::Probe)
        return claimProbe(verdict);
    start();
}

void request_session::start()
{
    m_started = true;
    const auto paused = m_context.servers.allPausedUntil(m_pool);
    if (paused && *paused + expectedEngineTime() > m_deadline) {
        refusePaused(m_pool);
        return;
    }
    if (refuseEvacuated(m_pool))
        return;
    m_context.retryBudget.requestArrived(m_pool, m_incoming.receivedAt);
    placeCall();
}

void request_session::runStages()
{
    m_askedForPermit = false;
    prepareStages();
    if (refusedBeforeFirstStage())
        return;
    submitReadyStages();
}

void request_session::send()
{
    if (!keyStillValid() || refuseBlocked())
        return;
    const server_entry* server = chooseServer();
    if (waitsForPermit([this] { send(); }))
        return;
    if (!server && (refusePaused(m_pool) || refuseEvacuated(m_pool)))
        return;
    if (!server && !m_unadmitted.empty())
        return refuseLimited();
    if (!server && m_retryAfter)
        return giveUp("servers_cold");
    if (!server)
        return m_mayHaveRun ? failAfterSend("no_other_server") : giveUp("no_server");
    const mono_time now = bootNow();
    if (const pool_spec* pool = m_config->pool(m_pool); pool && m_context.cold.isCold(server->id, now)) {
        m_context.metrics.count("cold_server_calls", "sent");
        m_context.cold.used(server->id, pool->coldRate, m_context.fleetSize(), now);
    }
    const send_purpose purpose = m_firstEventSeen ? send_purpose::Resumption
        : m_attempts > 0                          ? send_purpose::Repeat
                                                  : send_purpose::FirstAttempt;
    const auto permit = std::exchange(m_permit, std::nullopt);
    const bool kept = permit && permit->server == processOf(*server);
    m_askedForPermit = false;
    m_tried.insert(server->id);
    m_attempts += 1;
    m_sentAt = now;
    m_response = {};
    m_splitter = {};
    m_events.beginServerStream();
    m_serverBegan = false;
    m_otherAnswer = false;
    m_proven = false;
    m_call = std::make_unique<server_call>(
        m_context.quarantine, m_context.balancer, *server, attempt_id(nextAttempt()), m_content, m_parts, now);
    forward_fields fields;
    fields.remaining = remaining();
    fields.server = server->id;
    fields.team = m_team;
    fields.lastEventId = m_events.last() ? m_events.last() : m_request.lastEventId;
    fields.inputs = finalStageHandles();
    fields.enginePriority = std::min(mostUrgentRank + m_priority, leastUrgentRank);
    exchange_request request;
    request.bytes = formatHead(m_context.adapter.encodeForward(m_request, fields, m_incoming.body.size()));
    request.bytes += m_incoming.body;
    request.maxIdle = m_route->idempotent() ? m_options.idleReuse : m_options.unsafeIdleReuse;
    request.echoField = m_context.adapter.echoField;
    request.echoValue = m_request.id.value();
    request.expectNoBody = m_request.method == "HEAD";
    m_exchange = m_context.backendClient.start(*server, purpose, std::move(request),
        { .onHead = [self = shared_from_this()](const http_head& head) { self->headArrived(head); },
            .onBody = [self = shared_from_this()](std::string_view bytes) { self->bodyArrived(bytes); },
            .onEnd =
                [self = shared_from_this()](exchange_outcome end) {
                    self->callEnded(end);
                } },
        kept ? &permit->permit : nullptr);
    if (m_route->kind == route_kind::EventStream && m_route->idempotent()) {
        m_watch.sent(m_deliveredEvents, now);
        checkStream();
    } else if (m_route->kind == route_kind::Idempotent)
        armCallTimer(fromSeconds(toSeconds(m_route->latencyTarget) * m_options.attemptTimeoutShare));
}

void request_session::headArrived(const http_head& head)
{
    m_response = m_context.adapter.decodeResponse(head);
    const bool attributed = head.find(m_context.adapter.echoField) != nullptr;
    if (attributed)
        m_context.notices.responseArrived(m_call->server(), m_response, m_sentAt, bootNow());
    // A refusal that names no request may be a copy of an earlier one.
    if (m_response.notRun && !attributed) {
        m_context.metrics.count("call_failures", "unattributed_refusal");
        m_response.notRun = m_response.wrongServer = m_response.inputsMissing = false;
    }
    if (m_responseStarted) {
        const std::string* type = head.find("Content-Type");
        const std::string* firstType = m_responseHead.find("Content-Type");
        m_otherAnswer = head.status != m_responseHead.status || (type && firstType && *type != *firstType);
        return;
    }
    m_responseHead = m_context.adapter.toCallerResponse(head);
    m_responseBody.clear();
    // What was kept of the answer to an earlier attempt.
    m_writer->keeps(0);
}

void request_session::bodyArrived(std::string_view bytes)
{
    if (m_route->kind == route_kind::EventStream && isSuccess(m_response.status) && m_response.hasSignature
        && !m_otherAnswer)
        return relayEvents(bytes);
    if (m_responseStarted && !m_firstEventSeen) {
        m_writer->write(bytes);
        return applyBackpressure();
    }
    m_responseBody += bytes;
    m_writer->keeps(m_responseBody.size());
    // A response that exceeds the buffer is relayed while it arrives. The call can then no longer be retried.
    const bool final = m_response.hasSignature && !m_response.notRun && !signalsNotRun(m_response.status);
    if (m_responseBody.size() <= std::min(m_options.maxBufferedBytes, m_writer->window()))
        return;
    // A refusal or an invalid response may have an endless body, which is not kept.
    if (!final || m_firstEventSeen)
        return callFailed(call_failure::Lost, "endless_answer");
    beginResponse();
    m_writer->keeps(0);
    m_writer->write(m_responseBody);
    m_responseBody = {};
    applyBackpressure();
}

void request_session::applyBackpressure()
{
    if (!m_exchange || m_done)
        return;
    m_exchange->pauseReading(m_writer->unwritten() > std::min(m_options.relayHighWaterMark, m_writer->window()));
}

void request_session::callEnded(exchange_outcome end)
{
    const bool refused = m_exchange && m_exchange->connectionRefused();
    m_exchange = nullptr;
    if (m_done)
        return;
    switch (end) {
    case exchange_outcome::NotSent:
        if (refused) {
            m_context.quarantine.connectRefused(m_call->server().id, bootNow());
            // It is down, and cold when it accepts connections again. Its entry may say so only later.
            const pool_spec* pool = m_config->pool(m_pool);
            if (pool && pool->coldStart > duration::zero())
                m_context.cold.markCold(m_call->server().id, m_options.entryLapse + pool->coldStart, bootNow());
        } else
            m_context.quarantine.unreachable(m_call->server().id, bootNow());
        return callFailed(call_failure::Unreachable, "not_reached");
    case exchange_outcome::Lost:
    case exchange_outcome::Malformed:
        m_call->connectionLost(bootNow());
        m_context.checkAlive(m_call->server());
        return callFailed(call_failure::Lost, toString(end));
    case exchange_outcome::Withheld:
        return callWithheld();
    case exchange_outcome::Complete:
        break;
    }
    if (m_response.notRun)
        return callRejected();
    if (isSuccess(m_response.status) && !m_response.hasSignature)
        return callFailed(call_failure::Lost, "unsigned_answer");
    if (m_route->kind == route_kind::EventStream && isSuccess(m_response.status) && !m_otherAnswer)
        return streamEnded();
    // A server refused to resume the stream.
    if (m_firstEventSeen)
        return callFailed(call_failure::ErrorResponse, fmt::format("status_{}", m_response.status));
    if (m_response.status >= firstServerError && m_route->idempotent() && mayRetry())
        return callFailed(call_failure::ErrorResponse, fmt::format("status_{}", m_response.status));
    deliverResponse();
}

// The server named a limit while the request waited for its connection.
void request_session::callWithheld()
{
    m_context.loop.cancel(m_callTimer);
    m_callTimer = 0;
    m_tried.erase(m_call->server().id);
    m_attempts -= 1;
    m_call.reset();
    sendAgain();
}

// The server stated that it did not execute the request.
void request_session::callRejected()
{
    const mono_time now = bootNow();
    m_context.metrics.count("rejections", fmt::format("status_{}", m_response.status));
    logLine(log_level::Info, "call_rejected",
        { { "id", m_request.id.value() }, { "server", m_call->server().id.value() },
            { "status", std::to_string(m_response.status) }, { "attempt", std::to_string(m_attempts) } });
    if (m_response.wrongServer) // The registry entry is stale: another server has this address.
        m_call->failed(call_failure::Unreachable, now);
    else if (!m_response.inputsMissing && m_response.status != statusBadRequest)
        m_call->rejected(now);
    m_call.reset();
    m_context.loop.cancel(m_callTimer);
    if (m_response.inputsMissing) {
        if (m_attempts < m_route->maxAttempts && expectedRemakeTime() < remaining()
            && m_context.retryBudget.trySpend(m_pool, now)) {
            m_context.metrics.count("repeats", "inputs_gone");
            return remakeInputs();
        }
        return giveUp("inputs_gone");
    }
    if (m_attempts < m_route->maxAttempts && m_context.retryBudget.trySpend(m_pool, now)) {
        m_context.metrics.count("repeats", "rejected");
        return sendAgain();
    }
    giveUp("server_full");
}

std::vector<std::string_view> request_session::sharedParts() const
{
    std::vector<std::string_view> ids;
    for (std::size_t i = 0; i + 1 < m_request.prompt.size(); ++i)
        ids.push_back(m_request.prompt[i].id);
    return ids;
}

void request_session::callFailed(call_failure kind, std::string_view cause)
{
    const mono_time now = bootNow();
    m_context.metrics.count("call_failures", cause);
    logLine(log_level::Warn, "call_failed",
        { { "id", m_request.id.value() }, { "route", m_route->name }, { "server", m_call->server().id.value() },
            { "how", std::string(cause) }, { "attempt", std::to_string(m_attempts) },
            { "elapsed_ms", milliseconds(now - m_sentAt) },
            // Shows what the requests on a crashed server had in common, and which of them had not begun there.
            { "begun_ms", m_serverBegan ? milliseconds(now - m_serverBeganAt) : "-" },
            { "parts", fmt::format("{}", fmt::join(sharedParts(), "+")) } });
    if (m_exchange)
        m_exchange->cancel();
    m_exchange = nullptr;
    m_context.loop.cancel(m_callTimer);
    m_call->failed(kind, now);
    m_call.reset();
    if (kind == call_failure::Unreachable) {
        // No server received the request, so this does not count as one of the route's attempts.
        m_attempts -= 1;
        m_context.metrics.count("repeats", "not_reached");
        return sendAgain();
    }
    m_mayHaveRun = true;
    // A probe ends with the server that it may have crashed.
    const bool retryAllowed = !m_probing && m_route->idempotent() && (!m_responseStarted || m_firstEventSeen);
    if (retryAllowed && mayRetry() && m_context.retryBudget.trySpend(m_pool, now)) {
        m_context.metrics.count("repeats", m_firstEventSeen ? "resumed" : "failed");
        return sendAgain();
    }
    m_responseStarted ? abortResponse(cause) : failAfterSend(cause);
}

bool request_session::refusePaused(const pool_id& pool)
{
    const auto until = m_context.servers.allPausedUntil(pool);
    if (!until)
        return false;
    m_retryAfter = std::max(duration::zero(), *until - bootNow());
    giveUp("servers_paused");
    return true;
}

void request_session::refuseLimited()
{
    double perSecond = 0;
    for (const server_entry* server : m_context.servers.usable(m_pool))
        perSecond += m_context.limits.rate(processOf(*server)).value_or(request_rate {}).perSecond;
    // On average, one more request is taken within this time.
    m_retryAfter = perSecond > 0 ? std::min(m_options.maxLimitedRetryAfter, fromSeconds(1 / perSecond))
                                 : m_options.maxLimitedRetryAfter;
    giveUp("servers_limited");
}

bool request_session::refuseEvacuated(const pool_id& pool)
{
    if (!m_context.servers.allEvacuated(pool))
        return false;
    giveUp("zones_evacuated");
    return true;
}

bool request_session::mayRetry()
{
    // Without the number of the last event, a second stream could not be joined to the first.
    if (m_firstEventSeen && !m_events.last())
        return false;
    return m_attempts < m_route->maxAttempts && m_context.retryBudget.remaining(m_pool, bootNow()) >= 1
        && remaining() > duration::zero();
}

void request_session::armCallTimer(duration limit)
{
    m_context.loop.cancel(m_callTimer);
    m_callTimer = m_context.loop.after(limit, [self = shared_from_this()] { self->callTimedOut(); });
}

void request_session::callTimedOut()
{
    m_callTimer = 0;
    // A response that has begun cannot be retried.
    if (m_done || !m_exchange || m_responseStarted || !mayRetry())
        return;
    callFailed(call_failure::TimedOut, "silent");
}

void request_session::sendAgain()
{
    if (inputsKept())
        return send();
    remakeInputs();
}

void request_session::beginResponse()
{
    m_responseStarted = true;
    m_writer->begin(m_responseHead);
}

void request_session::recordSuccess(bool ran)
{
    if (!m_call)
        return;
    if (ran)
        recordProof();
    m_call->succeeded((m_firstEventSeen ? m_firstEventAt : bootNow()) - m_sentAt);
    m_call.reset();
}

void request_session::recordProof()
{
    if (m_proven || !m_call)
        return;
    m_proven = true;
    const mono_time now = bootNow();
    m_call->proven(now);
    m_context.parts.proven(m_parts, m_serverBegan ? m_serverBeganAt : m_sentAt, now);
}

void request_session::deliverResponse()
{
    // The server did not state that the request was not executed, so the caller must not get a status that says so.
    if (signalsNotRun(m_response.status)) {
        m_mayHaveRun = true;
        m_call->failed(call_failure::ErrorResponse, bootNow());
        m_call.reset();
        return failAfterSend(fmt::format("status_{}", m_response.status));
    }
    const bool success = m_response.status < firstServerError;
    if (success)
        recordSuccess(isSuccess(m_response.status));
    m_call.reset();
    if (m_responseStarted)
        m_writer->end();
    else
        m_writer->send(m_responseHead, m_responseBody);
    finish(success ? "served" : "server_error", fmt::format("status_{}", m_response.status));
}

void request_session::refuse(unsigned status, std::string_view reason)
{
    // The status line has been sent. The connection is aborted, and the caller may resume the stream.
    if (m_responseStarted)
        return abortResponse(reason);
    const bool retryable = signalsNotRun(status);
    const std::optional<duration> after = retryable ? std::optional(retryAfter()) : std::nullopt;
    const std::optional<request_id> id = m_request.id.value().empty() ? std::nullopt : std::optional(m_request.id);
    m_context.metrics.count("refusals", reason);
    m_writer->send(m_context.adapter.refusal(status, id, after), {});
    finish(retryable ? "refused" : "failed", reason);
}

void request_session::giveUp(std::string_view reason)
{
    if (m_mayHaveRun)
        return failAfterSend(reason);
    refuse(statusUnavailable, reason);
}

// For requests that may have been executed: the status does not invite the caller to retry.
void request_session::failAfterSend(std::string_view reason) { refuse(statusBadGateway, reason); }

void request_session::abortResponse(std::string_view reason)
{
    m_context.metrics.count("broken_answers", reason);
    m_writer->abort();
    finish("broken", reason);
}

void request_session::deadlinePassed()
{
    m_deadlineTimer = 0;
    if (m_done)
        return;
    const std::string_view reason = m_endBy && m_deadline == *m_endBy ? "stopping" : "deadline";
    if (m_responseStarted)
        return abortResponse(reason);
    if (m_exchange || m_mayHaveRun)
        return refuse(statusGatewayTimeout, reason);
    giveUp("deadline_in_queue");
}

void request_session::rejectIfWaiting(std::string_view reason)
{
    // A request that was not begun has not been decoded. Its id belongs into the response and the log.
    if (m_request.id.value().empty()) {
        if (auto decoded = m_context.adapter.decodeRequest(m_incoming.head))
            m_request = std::move(*decoded);
    }
    if (!m_done && !m_exchange && !m_mayHaveRun && !m_responseStarted)
        giveUp(reason);
}

void request_session::callerDisconnected()
{
    if (m_done)
        return;
    m_context.metrics.count("callers", "left");
    finish("caller_left", m_responseStarted ? "in_answer" : "waiting");
}

void request_session::abandon()
{
    m_call.reset();
    m_placedCall = {};
}

duration request_session::remaining() const { return m_deadline - bootNow(); }

// Adds jitter, so that the retries of refused callers spread over the usual duration of a burst.
duration request_session::retryAfter()
{
    const double range = toSeconds(m_options.maxRetryAfter - m_options.minRetryAfter);
    const duration after = m_options.minRetryAfter + fromSeconds(range * uniform(m_context.random));
    if (m_retryAfter)
        return after + *m_retryAfter;
    if (m_options.refuseEarly && m_started && !m_overShare) {
        const auto stages = longestChain();
        if (const auto untilRoom = m_context.earlyRefusal->retryAfter(aheadOf(stages), bootNow()))
            return *untilRoom;
    }
    return m_overShare ? fromSeconds(toSeconds(after) * m_options.overShareRetryFactor) : after;
}

void request_session::finish(std::string_view outcome, std::string_view reason)
{
    if (m_done)
        return;
    m_done = true;
    const auto self = shared_from_this();
    m_context.loop.cancel(m_deadlineTimer);
    m_context.loop.cancel(m_callTimer);
    m_context.loop.cancel(m_stageTimer);
    if (m_exchange)
        m_exchange->cancel();
    m_exchange = nullptr;
    m_call.reset();
    m_placedCall = {};
    for (stage_progress& stage : m_stages) {
        if (stage.ticket)
            m_context.pieces.cancel(stage.ticket);
    }
    if (m_route)
        releaseFinalResults();
    const duration total = bootNow() - m_incoming.firstByteAt;
    const std::string route = m_route ? m_route->name : "none";
    m_context.metrics.count("requests", outcome);
    m_context.metrics.observe("request", outcome, total);
    const auto proofAge = m_context.config.proofAge(bootNow());
    const log_level level = outcome == "served" ? log_level::Info : log_level::Warn;
    logLine(level, "request_done",
        { { "id", m_request.id.value() }, { "route", route }, { "outcome", std::string(outcome) },
            { "reason", std::string(reason) }, { "total_ms", milliseconds(total) },
            { "first_ms", m_firstEventSeen ? milliseconds(m_firstEventAt - m_incoming.firstByteAt) : "-" },
            { "sent_ms", m_sentAt == mono_time() ? "-" : milliseconds(m_sentAt - m_incoming.firstByteAt) },
            { "attempts", std::to_string(m_attempts) }, { "server", m_tried.empty() ? "-" : m_tried.begin()->value() },
            { "config", m_config ? std::to_string(m_config->version().value()) : "-" },
            { "proof_age_ms", proofAge ? milliseconds(*proofAge) : "-" } });
    m_onDone(*self);
}

} // namespace balsamspring

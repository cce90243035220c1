#include "balsamspring/gateway/request_session.h"

#include "balsamspring/base/hash.h"

#include <algorithm>

#include <fmt/core.h>

namespace balsamspring {

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr unsigned firstServerError = 500;

// Ranks of priority at an engine, from the route's or the team's 0 downwards.
constexpr unsigned mostUrgentRank = 3;
constexpr unsigned leastUrgentRank = 9;

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

// A status by which the caller learns that its request has not run.
bool promisesNotRun(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

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
{
}

void request_session::begin()
{
    auto decoded = m_context.adapter.decodeRequest(m_incoming.head);
    if (!decoded)
        return refuse(statusBadRequest, decoded.error().message);
    m_request = std::move(*decoded);
    if (!accept())
        return;
    m_writer->onGone([self = shared_from_this()] { self->callerGone(); });
    m_writer->onWritten([self = shared_from_this()] { self->relayPaused(); });
    startTimers();
    m_context.repeats.requestArrived(m_pool, m_incoming.received);
    prepareStages();
    submitReadyStages();
}

void request_session::send()
{
    if (!keyStillHeld())
        return;
    const server_entry* server = chooseServer();
    if (!server)
        return m_mayHaveRun ? failAfterSend("no_other_server") : refuseWaiting("no_server");
    const mono_time now = bootNow();
    m_server = *server;
    m_tried.insert(server->id);
    m_attempts += 1;
    m_sentAt = now;
    m_answer = {};
    m_splitter = {};
    m_events.beginPart();
    m_attempt = attempt_id(nextAttempt());
    m_context.quarantine.started(m_attempt, m_content, server->id, now);
    m_context.balancer.started(server->id);
    forward_fields fields;
    fields.remaining = remaining();
    fields.server = server->id;
    fields.team = m_team;
    fields.lastEventId = m_events.last() ? m_events.last() : m_request.lastEventId;
    fields.inputs = finalInputs();
    fields.enginePriority = std::min(mostUrgentRank + m_priority, leastUrgentRank);
    exchange_request request;
    request.bytes = formatHead(m_context.adapter.encodeForward(m_request, fields, m_incoming.body.size()));
    request.bytes += m_incoming.body;
    request.maxIdle = m_route->idempotent() ? m_options.idleReuse : m_options.unsafeIdleReuse;
    request.echoField = m_context.adapter.echoField;
    request.echoValue = m_request.id.value();
    request.expectNoBody = m_request.method == "HEAD";
    m_exchange = m_context.backends.start(server->address, std::move(request),
        { .onHead = [self = shared_from_this()](const http_head& head) { self->headArrived(head); },
            .onBody = [self = shared_from_this()](std::string_view bytes) { self->bodyArrived(bytes); },
            .onEnd =
                [self = shared_from_this()](exchange_end end) {
                    self->callEnded(end);
                } });
    if (m_route->kind == route_kind::EventStream)
        armSilence(m_firstEventSeen ? m_options.eventSilence * 2 : m_options.firstEventSilence);
    else if (m_route->kind == route_kind::Idempotent)
        armSilence(fromSeconds(toSeconds(m_route->latencyTarget) * m_options.repeatShare));
}

void request_session::headArrived(const http_head& head)
{
    m_answer = m_context.adapter.decodeAnswer(head);
    if (m_answerStarted)
        return;
    m_answerHead = m_context.adapter.answerToCaller(head);
    m_answerBody.clear();
}

void request_session::bodyArrived(std::string_view bytes)
{
    if (m_route->kind == route_kind::EventStream && isSuccess(m_answer.status) && m_answer.genuine)
        return relayEvents(bytes);
    if (m_answerStarted && !m_firstEventSeen) {
        m_writer->write(bytes);
        return relayPaused();
    }
    m_answerBody += bytes;
    // An answer that is too long to be held is relayed while it arrives; it can then no longer be repeated.
    const bool final = m_answer.genuine && !m_answer.notRun && !promisesNotRun(m_answer.status);
    if (m_answerBody.size() <= m_options.bufferedAnswerBytes || !final || m_firstEventSeen)
        return;
    beginAnswer();
    m_writer->write(m_answerBody);
    m_answerBody.clear();
}

void request_session::relayEvents(std::string_view bytes)
{
    for (const stream_event& event : m_splitter.feed(bytes)) {
        const event_order order = m_events.check(event);
        if (order == event_order::Repeated)
            continue;
        if (order == event_order::Gap)
            return callFailed(call_failure::Lost, "event_gap");
        if (!m_firstEventSeen) {
            m_firstEventSeen = true;
            m_firstEventAt = bootNow();
            beginAnswer();
            // The server has read its inputs before it makes the first event.
            releaseFinalResults();
        }
        m_writer->write(event.bytes);
        m_events.delivered(event);
    }
    relayPaused();
    armSilence(m_firstEventSeen ? m_options.eventSilence : m_options.firstEventSilence);
}

void request_session::relayPaused()
{
    if (!m_exchange || m_done)
        return;
    m_exchange->pauseReading(m_writer->unwritten() > m_options.relayHighWater);
}

void request_session::callEnded(exchange_end end)
{
    m_exchange = nullptr;
    if (m_done)
        return;
    switch (end) {
    case exchange_end::NotSent:
        m_context.quarantine.dropped(m_attempt);
        m_context.quarantine.connectRefused(m_server->id, bootNow());
        return callFailed(call_failure::NotReached, "not_reached");
    case exchange_end::Lost:
    case exchange_end::Malformed:
        m_context.quarantine.connectionLost(m_attempt, bootNow());
        m_context.checkAlive(*m_server);
        return callFailed(call_failure::Lost, toString(end));
    case exchange_end::Complete:
        break;
    }
    if (m_answer.notRun)
        return callRejected();
    if (isSuccess(m_answer.status) && !m_answer.genuine)
        return callFailed(call_failure::Lost, "unsigned_answer");
    if (m_route->kind == route_kind::EventStream && isSuccess(m_answer.status))
        return streamEnded();
    if (m_firstEventSeen) // a server refused to go on with the stream
        return callFailed(call_failure::ErrorAnswer, fmt::format("status_{}", m_answer.status));
    if (m_answer.status >= firstServerError && m_route->idempotent() && mayRepeat()) {
        m_context.quarantine.dropped(m_attempt);
        return callFailed(call_failure::ErrorAnswer, fmt::format("status_{}", m_answer.status));
    }
    deliverAnswer();
}

// The server did not run the request.
void request_session::callRejected()
{
    const mono_time now = bootNow();
    m_context.quarantine.dropped(m_attempt);
    m_context.metrics.count("rejections", fmt::format("status_{}", m_answer.status));
    logLine(log_level::Info, "call_rejected",
        { { "id", m_request.id.value() }, { "server", m_server->id.value() },
            { "status", std::to_string(m_answer.status) }, { "attempt", std::to_string(m_attempts) } });
    if (m_answer.inputsGone || m_answer.status == statusBadRequest)
        m_context.balancer.abandoned(m_server->id);
    else if (m_answer.wrongServer) // the entry is out of date: the address belongs to another server
        m_context.balancer.failed(m_server->id, call_failure::NotReached, now);
    else
        m_context.balancer.full(m_server->id, now);
    m_server.reset();
    m_context.loop.cancel(m_silenceTimer);
    if (m_answer.inputsGone)
        return m_mayHaveRun ? failAfterSend("inputs_gone") : refuseWaiting("inputs_gone");
    if (m_attempts < m_route->maxAttempts && m_context.repeats.trySpend(m_pool, now)) {
        m_context.metrics.count("repeats", "rejected");
        return send();
    }
    m_mayHaveRun ? failAfterSend("server_full") : refuseWaiting("server_full");
}

void request_session::callFailed(call_failure kind, std::string_view how)
{
    const mono_time now = bootNow();
    m_context.metrics.count("call_failures", how);
    logLine(log_level::Warn, "call_failed",
        { { "id", m_request.id.value() }, { "route", m_route->name }, { "server", m_server->id.value() },
            { "how", std::string(how) }, { "attempt", std::to_string(m_attempts) },
            { "elapsed_ms", milliseconds(now - m_sentAt) } });
    if (m_exchange)
        m_exchange->cancel();
    m_exchange = nullptr;
    m_context.loop.cancel(m_silenceTimer);
    m_context.balancer.failed(m_server->id, kind, now);
    m_server.reset();
    if (kind == call_failure::NotReached) {
        // Nothing arrived anywhere, so that this does not count as one of the route's attempts.
        m_attempts -= 1;
        m_context.metrics.count("repeats", "not_reached");
        return send();
    }
    m_mayHaveRun = true;
    const bool repeatable = m_route->idempotent() && (!m_answerStarted || m_firstEventSeen);
    if (repeatable && mayRepeat() && m_context.repeats.trySpend(m_pool, now)) {
        m_context.metrics.count("repeats", m_firstEventSeen ? "resumed" : "failed");
        return send();
    }
    m_answerStarted ? breakOff(how) : failAfterSend(how);
}

bool request_session::mayRepeat()
{
    return m_attempts < m_route->maxAttempts && m_context.repeats.remaining(m_pool, bootNow()) >= 1
        && remaining() > duration::zero();
}

void request_session::armSilence(duration limit)
{
    m_context.loop.cancel(m_silenceTimer);
    m_silenceTimer = m_context.loop.after(limit, [self = shared_from_this()] { self->callSilent(); });
}

void request_session::callSilent()
{
    m_silenceTimer = 0;
    if (m_done || !m_exchange || !m_route->idempotent() || !mayRepeat())
        return;
    // An answer that has begun and is not a stream cannot be repeated.
    if (m_answerStarted && !m_firstEventSeen)
        return;
    m_context.quarantine.dropped(m_attempt);
    callFailed(call_failure::Silent, "silent");
}

void request_session::beginAnswer()
{
    m_answerStarted = true;
    m_writer->begin(m_answerHead);
}

void request_session::endCall()
{
    if (!m_server)
        return;
    m_context.quarantine.succeeded(m_attempt, bootNow());
    m_context.balancer.succeeded(m_server->id, (m_firstEventSeen ? m_firstEventAt : bootNow()) - m_sentAt);
    m_server.reset();
}

void request_session::streamEnded()
{
    if (m_splitter.insideEvent())
        return callFailed(call_failure::Lost, "cut_event");
    endCall();
    if (!m_answerStarted)
        beginAnswer();
    m_writer->end();
    finish("served", "complete");
}

void request_session::deliverAnswer()
{
    // Without a server's own word these would be false promises.
    if (promisesNotRun(m_answer.status)) {
        m_mayHaveRun = true;
        m_context.balancer.failed(m_server->id, call_failure::ErrorAnswer, bootNow());
        m_context.quarantine.dropped(m_attempt);
        m_server.reset();
        return failAfterSend(fmt::format("status_{}", m_answer.status));
    }
    const bool success = m_answer.status < firstServerError;
    if (success) {
        endCall();
    } else {
        m_context.quarantine.dropped(m_attempt);
        m_context.balancer.abandoned(m_server->id);
        m_server.reset();
    }
    if (m_answerStarted)
        m_writer->end();
    else
        m_writer->send(m_answerHead, m_answerBody);
    finish(success ? "served" : "server_error", fmt::format("status_{}", m_answer.status));
}

void request_session::refuse(unsigned status, std::string_view reason)
{
    // A status can no longer be sent; the caller may resume the stream.
    if (m_answerStarted)
        return breakOff(reason);
    const bool promise = promisesNotRun(status);
    const std::optional<duration> after = promise ? std::optional(retryAfter()) : std::nullopt;
    const std::optional<request_id> id = m_request.id.value().empty() ? std::nullopt : std::optional(m_request.id);
    m_context.metrics.count("refusals", reason);
    m_writer->send(m_context.adapter.refusal(status, id, after), {});
    finish(promise ? "refused" : "failed", reason);
}

// Nothing of the request has run, and nothing will.
void request_session::refuseWaiting(std::string_view reason) { refuse(statusUnavailable, reason); }

// The request may have run: no promise is made.
void request_session::failAfterSend(std::string_view reason) { refuse(statusBadGateway, reason); }

void request_session::breakOff(std::string_view reason)
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
    if (m_answerStarted)
        return breakOff("deadline");
    if (m_exchange || m_mayHaveRun)
        return refuse(statusGatewayTimeout, "deadline");
    refuseWaiting("deadline_in_queue");
}

void request_session::rejectIfWaiting(std::string_view reason)
{
    if (!m_done && !m_exchange && !m_mayHaveRun && !m_answerStarted)
        refuseWaiting(reason);
}

void request_session::callerGone()
{
    if (m_done)
        return;
    m_context.metrics.count("callers", "left");
    finish("caller_left", m_answerStarted ? "in_answer" : "waiting");
}

duration request_session::remaining() const { return m_deadline - bootNow(); }

// Spreads returns over the time in which a burst usually ebbs away.
duration request_session::retryAfter()
{
    const double range = toSeconds(m_options.maxRetryAfter - m_options.minRetryAfter);
    return m_options.minRetryAfter + fromSeconds(range * uniform(m_context.random));
}

void request_session::finish(std::string_view outcome, std::string_view reason)
{
    if (m_done)
        return;
    m_done = true;
    const auto self = shared_from_this();
    m_context.loop.cancel(m_deadlineTimer);
    m_context.loop.cancel(m_silenceTimer);
    if (m_exchange) {
        m_exchange->cancel();
        m_context.quarantine.dropped(m_attempt);
    }
    m_exchange = nullptr;
    if (m_server)
        m_context.balancer.abandoned(m_server->id);
    for (stage_progress& stage : m_stages) {
        if (stage.ticket)
            m_context.pieces.cancel(stage.ticket);
    }
    if (m_route)
        releaseFinalResults();
    const duration total = bootNow() - m_incoming.firstByte;
    const std::string route = m_route ? m_route->name : "none";
    m_context.metrics.count("requests", outcome);
    m_context.metrics.observe("request", outcome, total);
    const auto proofAge = m_context.config.proofAge(bootNow());
    const log_level level = outcome == "served" ? log_level::Info : log_level::Warn;
    logLine(level, "request_done",
        { { "id", m_request.id.value() }, { "route", route }, { "outcome", std::string(outcome) },
            { "reason", std::string(reason) }, { "total_ms", milliseconds(total) },
            { "first_ms", m_firstEventSeen ? milliseconds(m_firstEventAt - m_incoming.firstByte) : "-" },
            { "sent_ms", m_sentAt == mono_time() ? "-" : milliseconds(m_sentAt - m_incoming.firstByte) },
            { "attempts", std::to_string(m_attempts) }, { "server", m_tried.empty() ? "-" : m_tried.begin()->value() },
            { "config", m_config ? std::to_string(m_config->version().value()) : "-" },
            { "proof_age_ms", proofAge ? milliseconds(*proofAge) : "-" } });
    m_onDone(*self);
}

} // namespace balsamspring

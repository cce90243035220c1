#include "balsamspring/gateway/request_session.h"

#include "balsamspring/base/hash.h"

#include <algorithm>

#include <fmt/core.h>

namespace balsamspring {

namespace {

constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr unsigned firstServerError = 500;

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

bool request_session::accept()
{
    m_config = m_context.config.current();
    if (!m_config) {
        refuseWaiting("no_configuration");
        return false;
    }
    if (!findRoute() || !findTeam())
        return false;
    m_content = fingerprint(combineHash(
        hash64(m_request.target, hash64(m_team ? m_team->value() : std::string())), hash64(m_incoming.body)));
    if (m_context.quarantine.standing(m_content, m_incoming.received) == content_standing::Quarantined) {
        refuseWaiting("crashes_servers");
        return false;
    }
    return true;
}

bool request_session::findRoute()
{
    m_route = m_config->match(m_request.host, m_request.target);
    if (!m_route || m_route->pools.empty()) {
        // The route may be one that was added while this VM could not reach the store.
        if (!m_context.config.keysTrusted(bootNow()))
            refuseWaiting("configuration_unconfirmed");
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

bool request_session::findTeam()
{
    if (m_route->anonymous)
        return true;
    if (!m_context.config.keysTrusted(bootNow())) {
        refuseWaiting("keys_unconfirmed");
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

// A key may be taken away while the request waits, and this VM may lose the store: asked at the moment of sending.
bool request_session::keyStillHeld()
{
    if (m_route->anonymous)
        return true;
    const auto present = m_context.config.current();
    const team_spec* team = present->teamOfKey(*m_request.key);
    if (!team || team->id != *m_team) {
        refuse(statusUnauthorized, "key_revoked");
        return false;
    }
    if (!m_context.config.keysTrusted(bootNow())) {
        refuseWaiting("keys_unconfirmed");
        return false;
    }
    return true;
}

void request_session::startTimers()
{
    const mono_time start = m_incoming.firstByte;
    const duration patience = std::min(m_request.patience.value_or(m_route->timeout), m_route->timeout);
    m_deadline = start + patience;
    m_wanted = start + m_route->latencyTarget;
    const duration left = m_deadline - m_options.stopMargin - bootNow();
    m_deadlineTimer = m_context.loop.after(
        std::max(left, duration::zero()), [self = shared_from_this()] { self->deadlinePassed(); });
}

void request_session::prepareStages()
{
    m_stages.resize(m_route->stages.size());
    m_request.pieceCounts.resize(m_route->stages.size(), 0);
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        if (m_request.pieceCounts[i] == 0) {
            m_stages[i].submitted = m_stages[i].done = true;
            continue;
        }
        for (const std::size_t input : m_route->stages[i].after) {
            if (input < m_stages.size())
                m_stages[input].readers += 1;
        }
    }
    // The configuration lists a stage behind those that it needs.
    for (std::size_t i = m_stages.size(); i > 0; --i) {
        if (m_request.pieceCounts[i - 1] == 0)
            continue;
        for (const std::size_t input : m_route->stages[i - 1].after) {
            if (input < i - 1)
                m_stages[input].level = std::max(m_stages[input].level, m_stages[i - 1].level + 1);
        }
    }
}

void request_session::submitReadyStages()
{
    bool allDone = true;
    for (std::size_t i = 0; i < m_stages.size() && !m_done; ++i) {
        allDone = allDone && m_stages[i].done;
        if (m_stages[i].submitted)
            continue;
        const auto& after = m_route->stages[i].after;
        const bool ready = std::all_of(after.begin(), after.end(),
            [&](std::size_t input) { return input < m_stages.size() && m_stages[input].done; });
        if (ready)
            submitStage(i);
    }
    if (allDone && !m_done)
        send();
}

void request_session::submitStage(std::size_t index)
{
    const stage_spec& spec = m_route->stages[index];
    const pool_spec* pool = m_config->pool(spec.pool);
    if (!pool || !pool->pieces)
        return refuseWaiting("stage_unknown");
    if (!keyStillHeld())
        return;
    m_stages[index].submitted = true;
    piece_work work;
    work.pool = spec.pool;
    work.request = m_request.id;
    work.stage = index;
    work.count = m_request.pieceCounts[index];
    work.resultBytes = spec.resultBytes;
    for (const std::size_t input : spec.after) {
        for (const piece_result& item : m_stages[input].results)
            work.inputs.push_back(item.handle);
    }
    work.inputZone = zoneOfResults(spec.after);
    if (work.inputs.empty())
        work.key = m_request.pieceKey;
    work.wanted = m_wanted - timeAfterStage(index);
    work.deadline = m_deadline - timeAfterStage(index);
    work.priority = m_priority;
    m_stages[index].ticket = m_context.pieces.submit(
        *pool->pieces, std::move(work), [self = shared_from_this(), index](result<std::vector<piece_result>> outcome) {
            self->stageDone(index, std::move(outcome));
        });
}

void request_session::stageDone(std::size_t index, result<std::vector<piece_result>> outcome)
{
    stage_progress& stage = m_stages[index];
    stage.ticket = 0;
    if (m_done) {
        if (outcome)
            m_context.pieces.release(m_route->stages[index].pool, *outcome);
        return;
    }
    if (!outcome)
        return refuseWaiting(fmt::format("stage_{}", toString(outcome.error().code)));
    stage.done = true;
    stage.results = std::move(*outcome);
    // The inputs of this stage are not needed once all their readers are done.
    for (const std::size_t input : m_route->stages[index].after) {
        m_stages[input].readers -= 1;
        if (m_stages[input].readers == 0)
            releaseStage(input);
    }
    submitReadyStages();
}

bool request_session::isFinalStage(std::size_t index) const
{
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        const auto& after = m_route->stages[i].after;
        if (m_request.pieceCounts[i] > 0 && std::find(after.begin(), after.end(), index) != after.end())
            return false;
    }
    return true;
}

// Expected time of all that follows a stage, for its place in the queue.
duration request_session::timeAfterStage(std::size_t index) const
{
    duration longest {};
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        const auto& after = m_route->stages[i].after;
        if (m_request.pieceCounts[i] == 0 || std::find(after.begin(), after.end(), index) == after.end())
            continue;
        const pool_spec* pool = m_config->pool(m_route->stages[i].pool);
        duration own {};
        if (pool && pool->pieces)
            own = pool->pieces->callTime + pool->pieces->pieceTime * pool->pieces->batch;
        longest = std::max(longest, own + timeAfterStage(i) - engineTime());
    }
    return longest + engineTime();
}

duration request_session::engineTime() const
{
    return m_options.engineBase
        + fromSeconds(static_cast<double>(m_request.promptTokens) / m_options.prefillTokensPerMs / 1000);
}

void request_session::releaseStage(std::size_t index)
{
    stage_progress& stage = m_stages[index];
    if (stage.released || stage.results.empty())
        return;
    stage.released = true;
    m_context.pieces.release(m_route->stages[index].pool, stage.results);
}

void request_session::releaseFinalResults()
{
    for (std::size_t i = 0; i < m_stages.size(); ++i)
        releaseStage(i);
}

std::vector<std::size_t> request_session::finalStages() const
{
    std::vector<std::size_t> stages;
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        if (m_request.pieceCounts[i] > 0 && isFinalStage(i))
            stages.push_back(i);
    }
    return stages;
}

std::vector<std::string> request_session::finalInputs() const
{
    std::vector<std::string> handles;
    for (const std::size_t stage : finalStages()) {
        for (const piece_result& item : m_stages[stage].results)
            handles.push_back(item.handle);
    }
    return handles;
}

zone_id request_session::zoneOfResults(const std::vector<std::size_t>& stages) const
{
    std::map<zone_id, std::uint64_t> bytes;
    for (const std::size_t stage : stages) {
        for (const piece_result& item : m_stages[stage].results)
            bytes[item.zone] += item.bytes;
    }
    const auto most = std::max_element(
        bytes.begin(), bytes.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == bytes.end() ? zone_id() : most->first;
}

std::uint64_t request_session::prefixHash() const
{
    // The last part belongs to this request or its session alone.
    const auto& parts = m_request.prompt;
    if (parts.empty())
        return hash64(m_request.id.value());
    const std::size_t shared = parts.size() > 1 ? parts.size() - 1 : 1;
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < shared; ++i)
        hash = combineHash(hash, hash64(parts[i].id));
    return hash;
}

const server_entry* request_session::chooseServer()
{
    const mono_time now = bootNow();
    const auto& servers = m_context.servers.usable(m_pool);
    const pool_spec* pool = m_config->pool(m_pool);
    const bool engine = m_route->cacheAffinity || (pool && pool->engine);
    std::vector<const server_entry*> allowed;
    for (const server_entry* server : servers) {
        if (m_context.quarantine.mayStart(m_content, server->id, now))
            allowed.push_back(server);
    }
    if (engine)
        return m_context.balancer.chooseForPrefix(allowed, m_tried, prefixHash(), zoneOfResults(finalStages()), now);
    return m_context.balancer.choose(allowed, m_tried, now);
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

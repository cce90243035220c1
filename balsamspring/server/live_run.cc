#include "balsamspring/server/live_run.h"

#include "balsamspring/base/log.h"
#include "balsamspring/execution/resume_token.h"
#include "balsamspring/server/timer_service.h"

namespace balsamspring {

namespace {

constexpr std::size_t progressBatch = 8; // tokens
constexpr duration keepAliveInterval = std::chrono::seconds(1);
// How often a connection with much unread text is looked at. Its buffer tells nobody when it drains.
constexpr duration drainPoll = std::chrono::milliseconds(20);

template <class... Functions> struct overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions> overloaded(Functions...) -> overloaded<Functions...>;

run_hooks countRetries(run_hooks hooks, const std::shared_ptr<metrics>& counters)
{
    hooks.retry = [inner = hooks.retry, counters](const retry_request& request) {
        const auto delay = inner(request);
        if (delay)
            counters->retried(request.reason);
        return delay;
    };
    return hooks;
}

} // namespace

live_run::live_run(std::shared_ptr<const run_environment> environment, run_request request,
    std::shared_ptr<const pipeline_plan> plan, ended_callback ended)
    : m_environment(std::move(environment))
    , m_request(std::move(request))
    , m_plan(std::move(plan))
    , m_endedCallback(std::move(ended))
    , m_run(m_request, m_plan, countRetries(m_environment->hooks.run, m_environment->metrics), m_environment->options)
{
}

void live_run::start(std::shared_ptr<caller_sink> sink)
{
    post([this, sink = std::move(sink)](mono_time now) {
        m_started = now;
        replaceSink(sink);
        m_run.start(now);
    });
}

void live_run::resumeAt(
    const caller_position& position, const chosen_server& holder, stream_id stream, std::shared_ptr<caller_sink> sink)
{
    post([this, position, holder, stream, sink = std::move(sink)](mono_time now) {
        m_started = now;
        replaceSink(sink);
        m_run.resumeAt(position, holder, stream, now);
    });
}

void live_run::attach(const caller_position& position, std::shared_ptr<caller_sink> sink)
{
    post([this, position, sink = std::move(sink)](mono_time now) {
        replaceSink(sink);
        m_run.onCallerReconnected(position, now);
    });
}

void live_run::onCallerDisconnected(const caller_sink* sink)
{
    post([this, sink](mono_time now) {
        if (m_sink.get() != sink || m_run.ended())
            return;
        m_environment->metrics->onCallerDisconnected();
        m_sink.reset();
        m_run.onCallerDisconnected(now);
    });
}

void live_run::cancel()
{
    post([this](mono_time now) { m_run.cancel(now); });
}

run_status live_run::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

// --- events ---

void live_run::post(event_function event)
{
    // The run must outlive its events; a handler may drop the last other reference.
    const auto self = shared_from_this();
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        if (m_busy)
            return;
        m_busy = true;
    }
    for (;;) {
        event_function next;
        {
            const std::lock_guard lock(m_mutex);
            if (m_events.empty()) {
                m_busy = false;
                return;
            }
            next = std::move(m_events.front());
            m_events.pop_front();
        }
        handle(next);
    }
}

void live_run::handle(const event_function& event)
{
    const mono_time now = monotonicNow();
    event(now);
    for (auto actions = m_run.takeActions(); !actions.empty(); actions = m_run.takeActions()) {
        for (run_action& action : actions)
            perform(action, now);
        observeSink(now);
    }
    if (m_run.ended() && m_sink) {
        m_sink->close();
        m_sink.reset();
    }
    armTimer(now);
    const std::lock_guard lock(m_mutex);
    m_status = { m_run.work(), m_run.ended(), m_run.callerState() == caller_presence::state_type::Reading };
}

void live_run::replaceSink(std::shared_ptr<caller_sink> sink)
{
    if (m_sink)
        m_sink->close();
    m_sink = std::move(sink);
    scheduleKeepAlive();
}

void live_run::observeSink(mono_time now)
{
    if (m_sink && !m_run.ended())
        m_run.setCallerBufferedBytes(m_sink->pending(), now);
}

void live_run::armTimer(mono_time now)
{
    auto next = m_run.nextTick();
    if (!next)
        return;
    if (m_run.callerState() == caller_presence::state_type::Blocked)
        next = std::min(*next, now + drainPoll);
    if (m_timerAt && *m_timerAt <= *next)
        return;
    m_timerAt = next;
    const auto task = [self = shared_from_this(), at = *next] {
        self->post([run = self.get(), at](mono_time now) {
            if (run->m_timerAt == at)
                run->m_timerAt.reset();
            run->observeSink(now);
            run->m_run.tick(now);
        });
    };
    runAfter(std::max(duration {}, *next - now), task);
}

void live_run::scheduleKeepAlive()
{
    if (m_keepAliveScheduled || !m_sink || m_run.ended())
        return;
    m_keepAliveScheduled = true;
    runAfter(keepAliveInterval, [self = shared_from_this()] {
        self->post([run = self.get()](mono_time now) {
            run->m_keepAliveScheduled = false;
            if (run->m_sink && now - run->m_lastWrite >= keepAliveInterval) {
                run->m_sink->keepAlive();
                run->m_lastWrite = now;
            }
            run->scheduleKeepAlive();
        });
    });
}

// --- actions ---

void live_run::perform(run_action& action, mono_time now)
{
    const serving_hooks& hooks = m_environment->hooks;
    const auto stream = [this](attempt_id id) {
        const auto found = m_streams.find(id);
        return found == m_streams.end() ? nullptr : found->second;
    };
    std::visit(overloaded {
                   [&](const choose_server_action& a) { performChoose(a); },
                   [&](const cancel_choice_action& a) { hooks.abandonChoice(a.attempt); },
                   [&](const attempt_ended_action& a) {
                       m_streams.erase(a.attempt);
                       hooks.attemptEnded(a);
                   },
                   [&](const open_stream_action& a) { performOpen(a); },
                   [&](const pause_stream_action& a) {
                       if (const auto open = stream(a.attempt))
                           open->pause();
                   },
                   [&](const resume_stream_action& a) {
                       if (const auto open = stream(a.attempt))
                           open->resume();
                   },
                   [&](const disconnect_stream_action& a) {
                       if (const auto open = stream(a.attempt))
                           open->disconnect();
                   },
                   [&](const cancel_stream_action& a) {
                       m_environment->client->cancelStream(a.server.address, a.stream, [](const result<void>&) {});
                   },
                   [&](const start_call_action& a) { performCall(a); },
                   [&](const run_non_idempotent_action& a) { performNonIdempotent(a); },
                   [&](const emit_action& a) { performEmit(a.event, now); },
                   [&](const run_ended_action& a) { performEnd(a, now); },
               },
        action);
}

void live_run::performChoose(const choose_server_action& action)
{
    const auto& pool = m_plan->stages[action.stage].pool;
    m_environment->hooks.chooseServer(
        action, pool, [self = shared_from_this(), id = action.attempt](const server_choice& choice) {
            self->post([run = self.get(), id, choice](mono_time now) {
                if (choice)
                    run->m_run.serverChosen(id, *choice, now);
                else
                    run->m_run.serverRefused(id, choice.error(), now);
            });
        });
}

void live_run::performOpen(const open_stream_action& action)
{
    const attempt_id id = action.attempt;
    stream_handlers handlers;
    handlers.opened
        = [self = shared_from_this(), id, server = action.server.id](attempt_id frame, const server_info& serverInfo) {
              self->m_environment->hooks.serverSeen(id, server, serverInfo);
              self->post([run = self.get(), id, frame](mono_time now) { run->m_run.streamOpened(id, frame, now); });
          };
    // The first token is reported at once, later ones a few at a time, to take the lock of the decisions less often.
    handlers.token = [self = shared_from_this(), id, count = std::size_t {}](const stream_token& token) mutable {
        ++count;
        if (count == 1)
            self->m_environment->hooks.streamProgress(id, 1);
        else if ((count - 1) % progressBatch == 0)
            self->m_environment->hooks.streamProgress(id, progressBatch);
        self->post([run = self.get(), id, frame = token_frame { token.attempt, token.sequence, token.text }](
                       mono_time now) { run->m_run.tokenArrived(id, frame, now); });
    };
    handlers.ended = [self = shared_from_this(), id](const result<stream_end>& end) {
        self->post([run = self.get(), id, end](mono_time now) {
            run->m_streams.erase(id);
            if (end)
                run->m_run.streamEnded(id, end->attempt, end->sequence, now);
            else
                run->m_run.streamFailed(id, end.error(), now);
        });
    };
    const stream_request request { action.stream, id, action.model, action.prompt, action.maxTokens, action.priority,
        action.resumeFrom, action.joinOnly };
    m_streams[id] = m_environment->client->openStream(action.server.address, request, std::move(handlers));
}

void live_run::performCall(const start_call_action& action)
{
    const attempt_id id = action.attempt;
    const call_request request { id, action.operation, action.input, action.priority, action.timeout, false };
    m_environment->client->call(action.server.address, request,
        [self = shared_from_this(), id, server = action.server.id](const result<call_reply>& answer) {
            if (answer)
                self->m_environment->hooks.serverSeen(id, server, answer->serverInfo);
            self->post([run = self.get(), id, answer](mono_time now) {
                if (answer)
                    run->m_run.callEnded(id, answer->output, answer->attempt, now);
                else
                    run->m_run.callEnded(id, tl::make_unexpected(answer.error()), id, now);
            });
        });
}

void live_run::performNonIdempotent(const run_non_idempotent_action& action)
{
    non_idempotent_call call;
    call.key = m_request.idempotencyKey;
    call.request = m_request.id;
    call.team = m_request.team;
    call.pipeline = m_plan->id;
    call.stage = action.stage;
    call.priority = m_request.priority;
    call.bodyDigest = m_request.bodyDigest;
    call.pool = m_plan->stages[action.stage].pool;
    call.operation = action.operation;
    call.input = action.input;
    call.attempt = action.attempt;
    call.timeout = action.timeout;
    m_environment->hooks.runNonIdempotent(
        call, [self = shared_from_this(), id = action.attempt](const non_idempotent_outcome& outcome) {
            self->post(
                [run = self.get(), id, outcome](mono_time now) { run->m_run.nonIdempotentEnded(id, outcome, now); });
        });
}

void live_run::performEmit(const caller_event& event, mono_time now)
{
    if (event.kind == caller_event_kind::Restart)
        m_environment->metrics->restarted();
    if (event.kind == caller_event_kind::Token && !std::exchange(m_sawToken, true))
        m_environment->metrics->firstToken(now - m_started);
    if (!m_sink)
        return;
    if (event.kind == caller_event_kind::Token)
        m_environment->metrics->tokenRelayed();
    std::string id;
    if (event.kind != caller_event_kind::Error) {
        id = encodeResumeToken({ m_request.id, m_request.team, m_plan->id, m_request.version, event.stage, event.run,
                                   event.backend, event.stream, event.next },
            m_environment->resumeKey);
    }
    m_sink->send(event, id, m_request);
    m_lastWrite = now;
}

void live_run::performEnd(const run_ended_action& action, mono_time now)
{
    const duration elapsed = now - m_started;
    m_environment->metrics->runEnded(action.reason, elapsed);
    m_environment->metrics->framesDropped(m_run.droppedFrames());
    logLine(log_level::Info, "run_ended",
        { { "request", m_request.id.value() }, { "team", m_request.team.value() }, { "pipeline", m_plan->id.value() },
            { "result", action.answered ? "answered" : action.reason },
            { "elapsed_ms", std::to_string(elapsed.count() / 1000) } });
    m_endedCallback(*this);
}

} // namespace balsamspring

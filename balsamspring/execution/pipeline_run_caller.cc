// Caller side of pipeline_run: events, flow control, reconnection, cancellation, timers and the end of the run.
#include "balsamspring/execution/pipeline_run.h"
#include "balsamspring/execution/stage_input.h"

#include <algorithm>

namespace balsamspring {

void pipeline_run::emit(caller_event_kind kind, std::size_t stage, std::uint64_t next, std::string text)
{
    const stage_state& state = m_stages[stage];
    caller_event event;
    event.kind = kind;
    event.stage = static_cast<std::uint32_t>(stage);
    event.run = state.run;
    event.next = next;
    event.stream = state.stream;
    if (state.holder)
        event.backend = state.holder->id;
    event.text = std::move(text);
    m_actions.emplace_back(emit_action { std::move(event) });
}

void pipeline_run::emitDone()
{
    stage_outputs outputs;
    std::vector<std::string> skipped;
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        if (m_stages[i].status == stage_status::Skipped)
            skipped.push_back(m_plan->stages[i].name);
        else if (!m_stages[i].output.empty())
            outputs.emplace_back(m_plan->stages[i].name, m_stages[i].output);
    }
    const std::string output = outputs.empty() ? "null" : outputs.back().second;
    const std::size_t last = m_stages.size() - 1;
    emit(caller_event_kind::Done, last, m_stages[last].tokens.size(), runResult(output, outputs, skipped));
}

void pipeline_run::finish(mono_time now, const run_failure* failure)
{
    if (m_ended)
        return;
    // Copied first, because `failure` may point into the state of a stage that the loop below modifies.
    if (failure)
        m_failure = *failure;
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        if (m_stages[i].status == stage_status::Running)
            cancelAttempts(i, now);
    }
    m_ended = true;
    if (!m_failure) {
        emitDone();
    } else {
        caller_event event;
        event.kind = caller_event_kind::Error;
        event.failure = *m_failure;
        m_actions.emplace_back(emit_action { std::move(event) });
    }
    m_actions.emplace_back(run_ended_action { !m_failure, m_failure ? m_failure->reason : std::string() });
}

void pipeline_run::setCallerBufferedBytes(std::size_t bytes, mono_time now)
{
    m_presence.setBufferedBytes(bytes, now);
    updateFlowControl(now);
}

void pipeline_run::onCallerDisconnected(mono_time now)
{
    m_presence.onDisconnect(now);
    updateFlowControl(now);
    if (m_presence.isAbandoned())
        cancel(now, "caller_left");
}

void pipeline_run::onCallerReconnected(const caller_position& position, mono_time now)
{
    m_presence.onReconnect();
    emit(caller_event_kind::Accepted, position.stage, position.next, {});
    for (std::size_t i = position.stage; i < m_stages.size(); ++i) {
        stage_state& state = m_stages[i];
        std::uint64_t from = i == position.stage ? position.next : 0;
        if (i == position.stage && position.run != state.run && from) {
            emit(caller_event_kind::Restart, i, 0, {});
            from = 0;
        }
        for (std::uint64_t sequence = from; sequence < state.tokens.size(); ++sequence)
            emit(caller_event_kind::Token, i, sequence + 1, state.tokens[sequence]);
        state.firstTokenToEmit = std::min(state.firstTokenToEmit, from);
        state.tokensEmitted = state.tokensEmitted || !state.tokens.empty();
    }
    if (m_ended && !m_failure) {
        emitDone();
    } else if (m_ended) {
        caller_event event;
        event.kind = caller_event_kind::Error;
        event.failure = *m_failure;
        m_actions.emplace_back(emit_action { std::move(event) });
    }
    updateFlowControl(now);
}

// Whether a non-idempotent call is in progress.
bool pipeline_run::hasNonIdempotentCall() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
        [this](const auto& entry) { return m_plan->stages[entry.second.stage].nonIdempotent; });
}

void pipeline_run::cancel(mono_time now, const std::string& reason)
{
    if (m_ended)
        return;
    if (hasNonIdempotentCall()) {
        m_cancelAfterNonIdempotentCall = true;
        return;
    }
    run_failure failure;
    failure.reason = reason;
    failure.message = "the request was cancelled";
    setWorkState(failure);
    finish(now, &failure);
}

// --- timers ---

// Clears an expired timer. Returns whether it had expired.
bool pipeline_run::clearIfExpired(std::optional<mono_time>& timer, mono_time now) const
{
    if (!timer || now < *timer)
        return false;
    timer.reset();
    return true;
}

void pipeline_run::checkStageTimers(mono_time now)
{
    for (std::size_t i = 0; i < m_stages.size() && !m_ended; ++i) {
        stage_state& state = m_stages[i];
        if (state.status != stage_status::Running)
            continue;
        if (clearIfExpired(state.retryAt, now))
            requestServer(i, false, now);
        if (clearIfExpired(state.hedgeAt, now) && hasAttempt(i))
            requestServer(i, true, now);
        if (now >= state.limit && !m_plan->stages[i].nonIdempotent)
            stageFailed(i, { "deadline_exceeded", "stage \"" + m_plan->stages[i].name + "\" ran out of time" }, now);
    }
}

void pipeline_run::tick(mono_time now)
{
    if (m_ended || !m_started)
        return;
    if (now >= m_deadline) {
        run_failure failure { "deadline_exceeded", "the deadline of the request has passed" };
        setWorkState(failure);
        if (hasNonIdempotentCall())
            failure.work = work_state::Running;
        finish(now, &failure);
        return;
    }
    m_presence.tick(now);
    updateFlowControl(now);
    if (m_presence.isAbandoned()) {
        // A caller that reconnected to another VM reads the same engine stream there, and cancelling it here would
        // truncate that response. The engine drops a stream that has no reader.
        m_keepStreams = m_plan->resumable;
        cancel(now, "caller_left");
        if (m_ended)
            return;
    }
    checkStageTimers(now);
    if (!m_ended)
        checkIdleStreams(now);
}

std::optional<mono_time> pipeline_run::nextTick() const
{
    if (m_ended)
        return std::nullopt;
    mono_time next = m_deadline;
    const auto consider = [&next](const std::optional<mono_time>& time) {
        if (time)
            next = std::min(next, *time);
    };
    consider(m_presence.nextTick());
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        const stage_state& state = m_stages[i];
        if (state.status != stage_status::Running)
            continue;
        consider(state.retryAt);
        consider(state.hedgeAt);
        if (!m_plan->stages[i].nonIdempotent)
            consider(state.limit);
    }
    for (const auto& [id, attempt] : m_attempts) {
        if (m_plan->stages[attempt.stage].kind == stage_kind::Generate && attempt.server && !attempt.paused)
            next = std::min(next, idleDeadline(attempt));
    }
    return next;
}

} // namespace balsamspring

// Token streams of pipeline_run: sequence checks, idle timeouts, resumption, new runs and flow control.
#include "balsamspring/execution/pipeline_run.h"
#include "balsamspring/execution/resume_token.h"
#include "balsamspring/execution/stage_input.h"

#include <algorithm>

#include <fmt/core.h>

namespace balsamspring {

namespace {

// The newest gap between two tokens enters the moving average with the weight 1 / gapSmoothing.
constexpr int gapSmoothing = 8;

} // namespace

void pipeline_run::sendStream(attempt_id id, attempt_state& attempt, mono_time now)
{
    stage_state& state = m_stages[attempt.stage];
    const stage_plan& plan = m_plan->stages[attempt.stage];
    if (!attempt.continuation) {
        const std::string& key = m_request.idempotencyKey.empty() ? m_request.id.value() : m_request.idempotencyKey;
        state.stream = computeStreamId({ m_request.team, m_plan->id, key, m_request.bodyDigest,
            static_cast<std::uint32_t>(attempt.stage), state.run });
    }
    state.filter.setAttempt(id);
    state.holder = *attempt.server;
    attempt.lastFrameAt = now;
    open_stream_action action;
    action.attempt = id;
    action.server = *attempt.server;
    action.stream = state.stream;
    action.model = plan.model;
    action.prompt = state.input;
    action.maxTokens = plan.maxTokens;
    action.priority = m_request.priority;
    action.resumeFrom = state.filter.next();
    action.joinOnly = attempt.continuation;
    m_actions.emplace_back(std::move(action));
    if (!m_presence.isReading()) {
        attempt.paused = true;
        m_actions.emplace_back(pause_stream_action { id });
    }
}

void pipeline_run::streamOpened(attempt_id connection, attempt_id frame, mono_time now)
{
    attempt_state* attempt = findAttempt(connection);
    if (!attempt || m_ended || frame != connection) {
        ++m_dropped.otherAttempt;
        return;
    }
    attempt->opened = true;
    attempt->lastFrameAt = now;
}

void pipeline_run::tokenArrived(attempt_id connection, const token_frame& frame, mono_time now)
{
    attempt_state* attempt = findAttempt(connection);
    if (!attempt || m_ended) {
        ++m_dropped.otherAttempt;
        return;
    }
    const std::size_t stage = attempt->stage;
    stage_state& state = m_stages[stage];
    const frame_counts before = state.filter.dropped();
    const frame_verdict verdict = state.filter.token(frame.attempt, frame.sequence);
    m_dropped.otherAttempt += state.filter.dropped().otherAttempt - before.otherAttempt;
    m_dropped.duplicate += state.filter.dropped().duplicate - before.duplicate;
    m_dropped.gap += state.filter.dropped().gap - before.gap;
    if (verdict == frame_verdict::Gap) {
        m_actions.emplace_back(disconnect_stream_action { connection });
        streamFailed(connection, { error_code::Unavailable, "a token is missing in the stream" }, now);
        return;
    }
    if (verdict != frame_verdict::Accepted)
        return;
    if (!state.tokens.empty())
        attempt->averageGap += (now - attempt->lastFrameAt - attempt->averageGap) / gapSmoothing;
    attempt->lastFrameAt = now;
    attempt->opened = true;
    ++attempt->tokens;
    state.resumesSinceProgress = 0;
    state.tokens.push_back(frame.text);
    if (frame.sequence < state.firstTokenToEmit)
        return;
    state.tokensEmitted = true;
    emit(caller_event_kind::Token, stage, frame.sequence + 1, frame.text);
}

void pipeline_run::streamEnded(attempt_id connection, attempt_id frame, std::uint64_t tokenCount, mono_time now)
{
    const attempt_state* attempt = findAttempt(connection);
    if (!attempt || m_ended) {
        ++m_dropped.otherAttempt;
        return;
    }
    const std::size_t stage = attempt->stage;
    stage_state& state = m_stages[stage];
    if (state.filter.end(frame, tokenCount) != frame_verdict::Accepted) {
        ++(frame == connection ? m_dropped.gap : m_dropped.otherAttempt);
        streamFailed(connection, { error_code::Unavailable, "the stream ended before its last token" }, now);
        return;
    }
    endAttempt(connection, attempt_outcome::Success, now);
    state.holder.reset();
    completeStage(stage, joinTokens(state.tokens), now);
}

void pipeline_run::streamFailed(attempt_id connection, const error& cause, mono_time now)
{
    const attempt_state* attempt = findAttempt(connection);
    if (!attempt || m_ended)
        return;
    const std::size_t stage = attempt->stage;
    const bool resumable = attempt->opened || attempt->continuation;
    const bool refused = cause.code == error_code::Refused;
    const bool streamLost = refused || cause.code == error_code::NotFound;
    if (resumable && !streamLost) {
        endAttempt(connection, attempt_outcome::Failed, now);
        if (resumeStream(stage, cause, now))
            return;
        ++m_stages[stage].failures;
    }
    stage_state& state = m_stages[stage];
    if (refused && !resumable) {
        // A refused attempt left no stream on the engine, so the run number is kept.
        state.holder.reset();
    } else if (!beginNewRun(stage, now)) {
        return;
    }
    if (findAttempt(connection))
        attemptFailed(connection, cause, attempt_outcome::Failed, now);
    else
        retryStage(stage, cause, now);
}

// Resumes the stream on its server after the last token received. Returns false when the stream has no server, or when
// the permitted number of resumes has brought no further token.
bool pipeline_run::resumeStream(std::size_t stage, const error&, mono_time now)
{
    stage_state& state = m_stages[stage];
    if (!state.holder || state.resumesSinceProgress >= m_options.maxResumesWithoutProgress)
        return false;
    ++state.resumesSinceProgress;
    requestServer(stage, false, now);
    return true;
}

// Abandons the current run of a stage and discards its tokens. A Restart event makes the caller discard them too.
// Without the caller's input a new run is impossible: ends the pipeline run and returns false.
bool pipeline_run::beginNewRun(std::size_t stage, mono_time now)
{
    if (m_request.input.empty()) {
        const run_failure failure { "stream_gone", "the stream is gone; send the request again with its body" };
        finish(now, &failure);
        return false;
    }
    stage_state& state = m_stages[stage];
    if (state.holder) {
        m_actions.emplace_back(cancel_stream_action { *state.holder, state.stream });
        if (state.excludedServers.size() < 8)
            state.excludedServers.push_back(state.holder->id);
    }
    const bool tokensEmitted = state.tokensEmitted;
    state.holder.reset();
    state.tokens.clear();
    state.filter.beginRun();
    state.resumesSinceProgress = 0;
    state.tokensEmitted = false;
    state.firstTokenToEmit = 0;
    ++state.run;
    if (tokensEmitted)
        emit(caller_event_kind::Restart, stage, 0, {});
    return true;
}

mono_time pipeline_run::idleDeadline(const attempt_state& attempt) const
{
    if (!attempt.opened)
        return attempt.lastFrameAt + m_options.firstFrameTimeout;
    const double gap = toSeconds(attempt.averageGap) * m_options.idleTimeoutFactor;
    return attempt.lastFrameAt + std::max(m_options.minIdleTimeout, fromSeconds(gap));
}

void pipeline_run::checkIdleStreams(mono_time now)
{
    std::vector<attempt_id> idle;
    for (const auto& [id, attempt] : m_attempts) {
        const bool stream = m_plan->stages[attempt.stage].kind == stage_kind::Generate;
        if (stream && attempt.server && !attempt.paused && now >= idleDeadline(attempt))
            idle.push_back(id);
    }
    for (const attempt_id id : idle) {
        m_actions.emplace_back(disconnect_stream_action { id });
        streamFailed(id, { error_code::Timeout, "the connection went silent" }, now);
    }
}

// Propagates backpressure from the caller to the engines, so that no tokens are generated while the caller does not
// read.
void pipeline_run::updateFlowControl(mono_time now)
{
    const bool reading = m_presence.isReading();
    for (auto& [id, attempt] : m_attempts) {
        const bool stream = m_plan->stages[attempt.stage].kind == stage_kind::Generate;
        if (!stream || !attempt.server || attempt.paused != reading)
            continue;
        attempt.paused = !reading;
        attempt.lastFrameAt = now;
        if (reading)
            m_actions.emplace_back(resume_stream_action { id });
        else
            m_actions.emplace_back(pause_stream_action { id });
    }
}

} // namespace balsamspring

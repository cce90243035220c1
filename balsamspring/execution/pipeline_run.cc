#include "balsamspring/execution/pipeline_run.h"

#include "balsamspring/execution/resume_token.h"
#include "balsamspring/execution/stage_input.h"

#include <algorithm>

#include <fmt/core.h>

namespace balsamspring {

namespace {

presence_options presenceOptions(const pipeline_plan& plan, const run_options& options)
{
    return { options.bufferLimit, options.stallTimeout, plan.resumable, plan.linger };
}

} // namespace

pipeline_run::pipeline_run(
    run_request request, std::shared_ptr<const pipeline_plan> plan, run_hooks hooks, const run_options& options)
    : m_request(std::move(request))
    , m_plan(std::move(plan))
    , m_hooks(std::move(hooks))
    , m_options(options)
    , m_presence(presenceOptions(*m_plan, options))
    , m_stages(m_plan->stages.size())
{
}

void pipeline_run::start(mono_time now)
{
    m_started = true;
    m_deadline = now + m_request.deadline;
    emit(caller_event_kind::Accepted, 0, 0, {});
    startReadyStages(now);
}

void pipeline_run::resumeAt(
    const caller_position& position, const chosen_server& holder, stream_id stream, mono_time now)
{
    m_started = true;
    m_attemptsSent = 1;
    m_deadline = now + m_request.deadline;
    emit(caller_event_kind::Accepted, position.stage, position.next, {});
    // Without the caller's input only the stream can be resumed, which needs no output of earlier stages.
    if (m_request.input.empty()) {
        for (std::size_t i = 0; i < position.stage; ++i)
            m_stages[i].status = stage_status::Completed;
    }
    stage_state& stage = m_stages[position.stage];
    stage.run = position.run;
    stage.tokensEmitted = position.next > 0;
    stage.firstTokenToEmit = position.next;
    stage.holder = holder;
    stage.stream = stream;
    startReadyStages(now);
}

std::vector<run_action> pipeline_run::takeActions() { return std::exchange(m_actions, {}); }

duration pipeline_run::remaining(mono_time now) const { return std::max(duration {}, m_deadline - now); }

work_state pipeline_run::work() const
{
    if (!m_ended)
        return work_state::Running;
    if (!m_failure)
        return work_state::Completed;
    return m_failure->work;
}

// --- stages ---

stage_outputs pipeline_run::predecessorOutputs(std::size_t stage) const
{
    stage_outputs outputs;
    for (const std::size_t predecessor : m_plan->stages[stage].after) {
        if (m_stages[predecessor].status == stage_status::Completed && !m_stages[predecessor].output.empty())
            outputs.emplace_back(m_plan->stages[predecessor].name, m_stages[predecessor].output);
    }
    return outputs;
}

void pipeline_run::startReadyStages(mono_time now)
{
    for (std::size_t i = 0; i < m_stages.size() && !m_ended; ++i) {
        const auto& after = m_plan->stages[i].after;
        const bool ready = std::all_of(after.begin(), after.end(), [this](std::size_t predecessor) {
            return m_stages[predecessor].status == stage_status::Completed
                || m_stages[predecessor].status == stage_status::Skipped;
        });
        if (m_stages[i].status == stage_status::Waiting && ready)
            startStage(i, now);
    }
    const auto isFinished = [](const stage_state& stage) {
        return stage.status == stage_status::Completed || stage.status == stage_status::Skipped;
    };
    if (!m_ended && std::all_of(m_stages.begin(), m_stages.end(), isFinished))
        finish(now, nullptr);
}

void pipeline_run::startStage(std::size_t stage, mono_time now)
{
    const stage_plan& plan = m_plan->stages[stage];
    stage_state& state = m_stages[stage];
    const stage_budget budget = m_hooks.budget(*m_plan, stage, remaining(now));
    if (budget.exceedsDeadline && plan.skippable) {
        skipStage(stage, now);
        return;
    }
    if (budget.exceedsDeadline) {
        stageFailed(stage, { "deadline_exceeded", fmt::format("no time is left for stage \"{}\"", plan.name) }, now);
        return;
    }
    const stage_outputs outputs = predecessorOutputs(stage);
    const bool generates = plan.kind == stage_kind::Generate;
    state.status = stage_status::Running;
    state.limit = now + budget.limit;
    state.input = generates ? promptText(m_request.input, outputs) : callInput(m_request.input, outputs);
    state.content = contentFingerprint(m_plan->id, plan.name, state.input);
    if (plan.nonIdempotent) {
        sendNonIdempotent(stage, now);
        return;
    }
    requestServer(stage, false, now);
}

void pipeline_run::skipStage(std::size_t stage, mono_time now)
{
    cancelAttempts(stage, now);
    m_stages[stage].status = stage_status::Skipped;
    m_stages[stage].retryAt.reset();
}

void pipeline_run::completeStage(std::size_t stage, std::string output, mono_time now)
{
    cancelAttempts(stage, now);
    stage_state& state = m_stages[stage];
    state.status = stage_status::Completed;
    state.output = std::move(output);
    state.retryAt.reset();
    state.hedgeAt.reset();
    if (m_cancelAfterNonIdempotentCall) {
        cancel(now);
        return;
    }
    startReadyStages(now);
}

void pipeline_run::stageFailed(std::size_t stage, run_failure failure, mono_time now)
{
    if (m_plan->stages[stage].skippable) {
        skipStage(stage, now);
        startReadyStages(now);
        return;
    }
    // The refusal of the last attempt does not show whether earlier attempts ran.
    setWorkState(failure);
    finish(now, &failure);
}

void pipeline_run::setWorkState(run_failure& failure) const
{
    failure.work = mayHaveRun() ? work_state::Unknown : work_state::NotRun;
    // Only the claim log shows whether work ran under a key: another VM may have claimed it for an earlier attempt.
    if (failure.work == work_state::NotRun && m_plan->hasNonIdempotentStage()) {
        failure.work = work_state::Unknown;
        failure.thisAttempt = work_state::NotRun;
    }
}

// --- attempts ---

pipeline_run::attempt_state* pipeline_run::findAttempt(attempt_id id)
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : &found->second;
}

bool pipeline_run::hasAttempt(std::size_t stage) const
{
    return std::any_of(
        m_attempts.begin(), m_attempts.end(), [stage](const auto& entry) { return entry.second.stage == stage; });
}

void pipeline_run::requestServer(std::size_t stage, bool hedge, mono_time now)
{
    stage_state& state = m_stages[stage];
    const attempt_id id = m_hooks.nextAttempt();
    attempt_state attempt;
    attempt.stage = stage;
    attempt.hedge = hedge;
    attempt.continuation = state.holder.has_value() && m_plan->stages[stage].kind == stage_kind::Generate;
    attempt.startedAt = now;
    state.retryAt.reset();
    choose_server_action action;
    action.attempt = id;
    action.request = m_request.id;
    action.team = m_request.team;
    action.pipeline = m_plan->id;
    action.priority = m_request.priority;
    action.stage = stage;
    action.model = m_plan->stages[stage].model;
    action.excludedServers = state.excludedServers;
    action.affinityKey = m_request.session.empty() ? state.input.substr(0, 256) : m_request.session;
    action.content = state.content;
    action.remaining = std::max(duration {}, state.limit - now);
    action.hedge = hedge;
    if (attempt.continuation)
        action.holder = state.holder->id;
    m_attempts.emplace(id, attempt);
    m_actions.emplace_back(std::move(action));
}

void pipeline_run::serverChosen(attempt_id id, const chosen_server& server, mono_time now)
{
    attempt_state* attempt = findAttempt(id);
    if (!attempt || m_ended) {
        m_actions.emplace_back(attempt_ended_action { id, 0, server, {}, attempt_outcome::Cancelled, {}, 0 });
        return;
    }
    attempt->server = server;
    attempt->startedAt = now;
    attempt->lastFrameAt = now;
    if (m_plan->stages[attempt->stage].kind == stage_kind::Generate)
        sendStream(id, *attempt, now);
    else
        sendCall(id, *attempt, now);
    ++m_attemptsSent;
}

void pipeline_run::serverRefused(attempt_id id, const run_failure& cause, mono_time now)
{
    const attempt_state* attempt = findAttempt(id);
    if (!attempt || m_ended)
        return;
    const std::size_t stage = attempt->stage;
    const bool continuation = attempt->continuation;
    m_attempts.erase(id);
    if (hasAttempt(stage))
        return;
    if (continuation) {
        if (beginNewRun(stage, now))
            requestServer(stage, false, now);
        return;
    }
    stageFailed(stage, cause, now);
}

void pipeline_run::sendCall(attempt_id id, attempt_state& attempt, mono_time now)
{
    stage_state& state = m_stages[attempt.stage];
    const stage_plan& plan = m_plan->stages[attempt.stage];
    const duration limit = std::max(duration {}, state.limit - now);
    m_actions.emplace_back(
        start_call_action { id, *attempt.server, plan.operation, state.input, m_request.priority, limit });
    if (attempt.hedge)
        return;
    if (const auto delay = m_hooks.hedgeAfter(id))
        state.hedgeAt = now + *delay;
}

void pipeline_run::sendNonIdempotent(std::size_t stage, mono_time now)
{
    const stage_state& state = m_stages[stage];
    const attempt_id id = m_hooks.nextAttempt();
    attempt_state attempt;
    attempt.stage = stage;
    attempt.startedAt = now;
    m_attempts.emplace(id, attempt);
    ++m_attemptsSent;
    m_actions.emplace_back(
        run_non_idempotent_action { id, stage, m_plan->stages[stage].operation, state.input, state.limit - now });
}

void pipeline_run::endAttempt(attempt_id id, attempt_outcome outcome, mono_time now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    const attempt_state& attempt = found->second;
    if (!attempt.server && !m_plan->stages[attempt.stage].nonIdempotent)
        m_actions.emplace_back(cancel_choice_action { id });
    if (attempt.server) {
        m_actions.emplace_back(attempt_ended_action { id, attempt.stage, *attempt.server,
            m_stages[attempt.stage].content, outcome, now - attempt.startedAt, attempt.tokens });
    }
    m_attempts.erase(found);
}

// Cancels the active attempts of a stage. Frames that arrive for them later are dropped.
void pipeline_run::cancelAttempts(std::size_t stage, mono_time now)
{
    std::vector<attempt_id> list;
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt.stage == stage)
            list.push_back(id);
    }
    const stage_state& state = m_stages[stage];
    const bool generates = m_plan->stages[stage].kind == stage_kind::Generate;
    for (const attempt_id id : list) {
        const auto& server = m_attempts.at(id).server;
        if (generates && server) {
            m_actions.emplace_back(disconnect_stream_action { id });
            if (!m_keepStreams)
                m_actions.emplace_back(cancel_stream_action { *server, state.stream });
        }
        endAttempt(id, attempt_outcome::Cancelled, now);
    }
    if (generates && list.empty() && state.holder && state.status == stage_status::Running && !m_keepStreams)
        m_actions.emplace_back(cancel_stream_action { *state.holder, state.stream });
}

void pipeline_run::callEnded(attempt_id connection, const result<std::string>& output, attempt_id frame, mono_time now)
{
    const attempt_state* attempt = findAttempt(connection);
    if (!attempt || m_ended) {
        ++m_dropped.otherAttempt;
        return;
    }
    if (output && frame != connection) {
        ++m_dropped.otherAttempt;
        attemptFailed(
            connection, { error_code::Unavailable, "answer of another attempt" }, attempt_outcome::Failed, now);
        return;
    }
    if (!output) {
        const bool timedOut = output.error().code == error_code::Timeout;
        attemptFailed(connection, output.error(), timedOut ? attempt_outcome::TimedOut : attempt_outcome::Failed, now);
        return;
    }
    const std::size_t stage = attempt->stage;
    endAttempt(connection, attempt_outcome::Success, now);
    completeStage(stage, *output, now);
}

void pipeline_run::nonIdempotentEnded(attempt_id connection, const non_idempotent_outcome& outcome, mono_time now)
{
    const attempt_state* attempt = findAttempt(connection);
    if (!attempt || m_ended) {
        ++m_dropped.otherAttempt;
        return;
    }
    const std::size_t stage = attempt->stage;
    m_attempts.erase(connection);
    if (outcome.work == work_state::NotRun)
        ++m_attemptsRefused;
    if (outcome.work == work_state::Completed && outcome.reason.empty()) {
        completeStage(stage, outcome.output, now);
        return;
    }
    const run_failure failure { outcome.reason, outcome.message, outcome.work, outcome.thisAttempt };
    finish(now, &failure);
}

void pipeline_run::attemptFailed(attempt_id id, const error& cause, attempt_outcome outcome, mono_time now)
{
    const std::size_t stage = m_attempts.at(id).stage;
    const auto server = m_attempts.at(id).server;
    const bool refused = cause.code == error_code::Refused;
    if (refused)
        ++m_attemptsRefused;
    endAttempt(id, refused ? attempt_outcome::Refused : outcome, now);
    stage_state& state = m_stages[stage];
    if (server && state.excludedServers.size() < 8)
        state.excludedServers.push_back(server->id);
    if (hasAttempt(stage))
        return;
    ++state.failures;
    retryStage(stage, cause, now);
}

void pipeline_run::retryStage(std::size_t stage, const error& cause, mono_time now)
{
    stage_state& state = m_stages[stage];
    const duration remainingTime = std::max(duration {}, std::min(state.limit, m_deadline) - now);
    const std::string reason(toString(cause.code));
    const auto delay = m_hooks.retry({ m_plan->stages[stage].pool, reason, state.failures, remainingTime });
    if (!delay || *delay >= remainingTime) {
        const std::string name = remainingTime.count() ? "backend_failed" : "deadline_exceeded";
        stageFailed(stage, { name, fmt::format("stage \"{}\": {}", m_plan->stages[stage].name, cause.message) }, now);
        return;
    }
    state.retryAt = now + *delay;
}

} // namespace balsamspring

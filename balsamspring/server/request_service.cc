#include "balsamspring/server/request_service.h"

#include "balsamspring/base/hash.h"
#include "balsamspring/execution/resume_token.h"

#include <algorithm>

#include <fmt/core.h>

namespace balsamspring {

namespace {

constexpr std::size_t maxTokenBytes = 512; // of a bearer token

tl::unexpected<refusal> refuse(std::string reason, std::string message)
{
    return tl::make_unexpected(makeRefusal(std::move(reason), std::move(message)));
}

// Refuses without a statement about the work of an earlier attempt, which may still run.
tl::unexpected<refusal> refuseUnknown(std::string reason, std::string message)
{
    refusal answer = makeRefusal(std::move(reason), std::move(message));
    answer.failure.work = work_state::Unknown;
    answer.failure.thisAttempt = work_state::NotRun;
    return tl::make_unexpected(answer);
}

refusal unknownRequest() { return refuseUnknown("not_found", "this VM does not know the request").value(); }

// Equal for two sends of the same request.
std::string identityOf(const run_call& call, const std::string& bodyDigest)
{
    if (call.idempotencyKey.empty())
        return {};
    return fmt::format("{}\n{}\n{}\n{}", call.team.value(), call.pipeline.value(), call.idempotencyKey, bodyDigest);
}

} // namespace

request_service::request_service(request_service_options options, std::shared_ptr<const run_environment> environment,
    std::shared_ptr<run_registry> registry)
    : m_options(std::move(options))
    , m_environment(std::move(environment))
    , m_registry(std::move(registry))
{
}

request_id request_service::nextRequestId()
{
    return request_id(fmt::format("{}.{:x}.{:x}", m_options.vm.value(), m_options.incarnation, ++m_counter));
}

or_refusal<team_id> request_service::authenticate(const std::string& authorization) const
{
    const auto config = m_options.config();
    if (!config)
        return refuse("config_unknown", "the configuration in force is not known yet");
    const auto token = bearerToken(authorization);
    if (!token || token->size() > maxTokenBytes)
        return refuse("unauthorized", "a bearer token is required");
    const auto team = config->authenticate(*token);
    if (!team)
        return refuse("unauthorized", "the token belongs to no team");
    return *team;
}

// Another VM may have run the call under its key, or may still do so: `not_run` holds for this attempt alone.
refusal request_service::withKey(const run_call& call, const std::shared_ptr<const pipeline_plan>& plan, refusal answer)
{
    if (!plan || !plan->hasNonIdempotentStage() || call.idempotencyKey.empty())
        return answer;
    answer.failure.work = work_state::Unknown;
    answer.failure.thisAttempt = work_state::NotRun;
    return answer;
}

std::optional<refusal> request_service::checkServing() const
{
    if (!m_draining)
        return std::nullopt;
    refusal answer = makeRefusal("draining", "this VM is leaving; send the request to another one");
    answer.failure.retryAfter = std::chrono::milliseconds(100);
    return answer;
}

std::optional<refusal> request_service::checkRun(const run_call& call) const
{
    const auto config = m_options.config();
    const auto plan = config ? config->pipeline(call.pipeline) : nullptr;
    if (auto answer = checkServing())
        return withKey(call, plan, *answer);
    if (!plan)
        return makeRefusal("unknown_pipeline", "the pipeline does not exist");
    if (!config->mayUse(call.team, call.pipeline))
        return makeRefusal("forbidden", "the team may not use this pipeline");
    if (plan->hasNonIdempotentStage() && call.idempotencyKey.empty())
        return makeRefusal("key_required", "the pipeline needs an Idempotency-Key from POST /v1/keys");
    if (!call.idempotencyKey.empty() && !isPlainKey(call.idempotencyKey, m_options.limits.keyBytes))
        return makeRefusal("invalid_key", "the Idempotency-Key must be 1 to 256 printable ASCII characters");
    if (call.deadlineMs && !*call.deadlineMs)
        return makeRefusal("deadline_exceeded", "the deadline has passed");
    if (m_registry->full())
        return withKey(call, plan, makeRefusal("too_many_requests", "too many requests are in flight on this VM"));
    return std::nullopt;
}

or_refusal<std::shared_ptr<live_run>> request_service::run(const run_call& call, std::shared_ptr<caller_sink> sink)
{
    if (auto answer = checkRun(call))
        return tl::make_unexpected(*answer);
    const auto body = parseRunBody(call.body, m_options.limits);
    if (!body)
        return tl::make_unexpected(body.error());
    if (call.lastEventId.empty())
        return begin(call, *body, std::move(sink), std::nullopt);
    const auto token = decodeResumeToken(call.lastEventId, m_environment->resumeKey);
    if (!token)
        return refuseUnknown("wrong_token", token.error().message);
    if (token->team != call.team || token->pipeline != call.pipeline)
        return refuseUnknown("wrong_token", "the resume token belongs to another request");
    if (const auto live = m_registry->find(token->request)) {
        live->attach({ token->stage, token->run, token->next }, std::move(sink));
        m_environment->metrics->resumed();
        return live;
    }
    return begin(call, *body, std::move(sink), *token);
}

or_refusal<std::shared_ptr<live_run>> request_service::begin(const run_call& call, const run_body& body,
    std::shared_ptr<caller_sink> sink, const std::optional<resume_token>& token)
{
    const auto config = m_options.config();
    const auto plan = config->pipeline(call.pipeline);
    const std::string digest = sha256Hex(body.input + "\n" + body.session);
    const std::string identity = identityOf(call, digest);
    auto live = identity.empty() ? nullptr : m_registry->findIdentity(identity);
    // What became of a call under a key is asked again: its earlier answer may have been `unknown` or `running`.
    if (live && plan->hasNonIdempotentStage() && live->status().ended && live->status().work != work_state::Completed) {
        m_registry->forgetIdentity(identity);
        live.reset();
    }
    if (live) {
        const caller_position position
            = token ? caller_position { token->stage, token->run, token->next } : caller_position {};
        live->attach(position, std::move(sink));
        return live;
    }
    run_request request;
    request.id = nextRequestId();
    request.team = call.team;
    request.version = config->version();
    request.idempotencyKey = call.idempotencyKey;
    request.bodyDigest = digest;
    request.input = body.input;
    request.session = body.session;
    request.priority = config->priority(call.team, *plan, call.priority);
    request.deadline = plan->deadline;
    if (call.deadlineMs)
        request.deadline = std::min<duration>(plan->deadline, std::chrono::milliseconds(*call.deadlineMs));
    const auto& admit = m_environment->hooks.admit;
    if (const auto failure = admit({ call.team, plan->id, request.priority, request.deadline }))
        return tl::make_unexpected(withKey(call, plan, { httpStatus(failure->reason), *failure }));

    live = createRun(std::move(request), plan);
    if (!m_registry->add(live, identity))
        return tl::make_unexpected(
            withKey(call, plan, makeRefusal("too_many_requests", "too many requests are in flight on this VM")));
    m_environment->metrics->runStarted();
    const bool joins = token && !token->backend.value().empty() && token->stage < plan->stages.size();
    const auto holder
        = joins ? m_environment->hooks.findServer(plan->stages[token->stage].pool, token->backend) : std::nullopt;
    if (holder) {
        m_environment->metrics->resumed();
        live->resumeAt({ token->stage, token->run, token->next }, *holder, token->stream, std::move(sink));
    } else {
        live->start(std::move(sink));
    }
    return live;
}

or_refusal<std::shared_ptr<live_run>> request_service::resume(
    const team_id& team, const std::string& lastEventId, std::shared_ptr<caller_sink> sink)
{
    const auto token = decodeResumeToken(lastEventId, m_environment->resumeKey);
    if (!token)
        return refuseUnknown("wrong_token", token.error().message);
    if (token->team != team)
        return refuseUnknown("wrong_token", "the resume token belongs to another team");
    if (const auto live = m_registry->find(token->request)) {
        m_environment->metrics->resumed();
        live->attach({ token->stage, token->run, token->next }, std::move(sink));
        return live;
    }
    if (auto answer = checkServing()) {
        answer->failure.thisAttempt = work_state::NotRun;
        answer->failure.work = work_state::Unknown;
        return tl::make_unexpected(*answer);
    }
    return joinStream(*token, {}, {}, {}, std::move(sink));
}

// Continues a stream that another VM has started, without the caller's input.
or_refusal<std::shared_ptr<live_run>> request_service::joinStream(const resume_token& token, std::string input,
    std::string bodyDigest, const std::string& key, std::shared_ptr<caller_sink> sink)
{
    const auto config = m_options.config();
    const auto plan = config->pipeline(token.pipeline);
    if (!plan || token.stage >= plan->stages.size())
        return refuseUnknown("stream_gone", "the pipeline has changed; send the request again");
    const bool last = token.stage + 1 == plan->stages.size();
    if (!last || plan->stages[token.stage].kind != stage_kind::Generate || token.backend.value().empty())
        return refuseUnknown("body_required", "send the request again with its body and this Last-Event-ID");
    const auto holder = m_environment->hooks.findServer(plan->stages[token.stage].pool, token.backend);
    if (!holder)
        return refuseUnknown("stream_gone", "the server of the stream is gone; send the request again with its body");
    run_request request;
    request.id = token.request;
    request.team = token.team;
    request.version = config->version();
    request.idempotencyKey = key;
    request.bodyDigest = std::move(bodyDigest);
    request.input = std::move(input);
    request.priority = plan->priority;
    request.deadline = plan->deadline;
    const auto live = createRun(std::move(request), plan);
    if (!m_registry->add(live, {}))
        return refuse("too_many_requests", "too many requests are in flight on this VM");
    m_environment->metrics->runStarted();
    m_environment->metrics->resumed();
    live->resumeAt({ token.stage, token.run, token.next }, *holder, token.stream, std::move(sink));
    return live;
}

std::shared_ptr<live_run> request_service::createRun(run_request request, std::shared_ptr<const pipeline_plan> plan)
{
    return std::make_shared<live_run>(m_environment, std::move(request), std::move(plan),
        [registry = m_registry](const live_run& run) { registry->ended(run.request().id, monotonicNow()); });
}

std::optional<refusal> request_service::cancel(const team_id& team, const request_id& id)
{
    const auto live = m_registry->find(id);
    // Another team's request looks like an unknown one.
    if (!live || live->request().team != team)
        return unknownRequest();
    live->cancel();
    return std::nullopt;
}

or_refusal<run_status> request_service::status(const team_id& team, const request_id& id) const
{
    const auto live = m_registry->find(id);
    if (!live || live->request().team != team)
        return tl::make_unexpected(unknownRequest());
    return live->status();
}

} // namespace balsamspring

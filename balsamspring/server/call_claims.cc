#include "balsamspring/server/call_claims.h"

#include "balsamspring/base/log.h"

#include <algorithm>
#include <optional>
#include <random>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using nlohmann::json;

// Limit of a question about a key. Each needs one read of the tail.
constexpr duration queryLimit = std::chrono::seconds(3);
constexpr duration idleWake = std::chrono::seconds(1);

refusal claimRefusal(const std::string& reason, const std::string& message)
{
    refusal answer = makeRefusal(reason, message);
    if (reason == "invalid_key")
        return answer;
    answer.failure.work = work_state::Unknown;
    answer.failure.thisAttempt = work_state::NotRun;
    return answer;
}

refusal logUnavailable() { return claimRefusal("log_unavailable", "this VM cannot read or record claims now"); }

refusal queueFull() { return claimRefusal("overloaded", "the control thread of this VM takes no more events"); }

std::string messageFor(const claim_answer& answer)
{
    if (answer.reason == "log_unavailable")
        return logUnavailable().failure.message;
    if (answer.reason == "key_reused")
        return "the key was used with another request";
    if (answer.reason == "invalid_key")
        return "the key was not issued to this team by POST /v1/keys";
    if (answer.reason == "key_expired")
        return "the log no longer keeps all records of the key";
    return fmt::format("the call is {}", toString(answer.work));
}

non_idempotent_outcome outcomeOf(const claim_answer& answer)
{
    non_idempotent_outcome outcome { answer.work, answer.thisAttempt, answer.reason, messageFor(answer), answer.body };
    const bool completed = answer.work == work_state::Completed && answer.reason != "key_reused";
    if (completed)
        outcome.reason.clear();
    else if (outcome.reason.empty())
        outcome.reason = "outcome_unknown";
    // An operator's settlement and a result that was too long to record have no output.
    if (outcome.output.empty())
        outcome.output = "null";
    return outcome;
}

non_idempotent_outcome outcomeOf(const refusal& answer)
{
    const run_failure& failure = answer.failure;
    return { failure.work, failure.thisAttempt, failure.reason, failure.message, {} };
}

or_refusal<std::string> stateText(const std::string& key, const claim_answer& answer)
{
    const bool isRefusal = answer.reason == "invalid_key" || answer.reason == "key_expired"
        || answer.reason == "log_unavailable" || answer.reason == "no_claim" || answer.reason == "settled_too_early";
    if (isRefusal) {
        refusal refused = makeRefusal(answer.reason, messageFor(answer));
        refused.failure.work = answer.work;
        refused.failure.thisAttempt = answer.thisAttempt;
        return tl::make_unexpected(refused);
    }
    json body { { "key", key }, { "work", toString(answer.work) }, { "reason", answer.reason },
        { "conflict", answer.conflict } };
    if (answer.work == work_state::Completed && answer.status) {
        body["status"] = answer.status;
        body["output_omitted"] = answer.bodyOmitted;
        const json output = json::parse(answer.body, nullptr, false);
        body["output"] = output.is_discarded() ? json(answer.body) : output;
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<settlement_entry> parseSettlement(const std::string& body)
{
    const json value = json::parse(body, nullptr, false);
    const auto text = [&](const char* name) {
        return value.is_object() && value.contains(name) && value[name].is_string() ? value[name].get<std::string>()
                                                                                    : std::string();
    };
    const std::string verdict = text("verdict");
    settlement_entry entry { text("operator"), verdict == "ran", text("note") };
    if ((verdict != "ran" && verdict != "not_run") || entry.operatorName.empty() || entry.note.empty())
        return std::nullopt;
    return entry;
}

attempt_outcome outcomeKind(const result<call_reply>& answer)
{
    if (answer)
        return attempt_outcome::Success;
    if (answer.error().code == error_code::Refused)
        return attempt_outcome::Refused;
    return answer.error().code == error_code::Timeout ? attempt_outcome::TimedOut : attempt_outcome::Failed;
}

} // namespace

call_claims::call_claims(call_claims_options options)
    : m_options(std::move(options))
    , m_signer(m_options.secret)
{
}

void call_claims::run(const non_idempotent_call& call, outcome_callback done)
{
    const auto shared = std::make_shared<outcome_callback>(std::move(done));
    if (!m_options.post([this, call, shared](mono_time now) { runHere(call, *shared, now); }))
        (*shared)(outcomeOf(queueFull()));
}

void call_claims::runHere(const non_idempotent_call& call, const outcome_callback& done, mono_time now)
{
    if (!m_claims)
        return done(outcomeOf(logUnavailable()));
    keyed_call request;
    request.key = call.key;
    request.team = call.team;
    request.operation = call.operation;
    // The digest is over what the caller sent: outputs of earlier stages may differ when the request is sent again.
    request.body = fmt::format("{}/{}/{}", call.pipeline.value(), call.stage, call.bodyDigest);
    request.deadline = now + call.timeout;
    request.send = sender(call);
    request.done = [done](const claim_answer& answer) {
        done(outcomeOf(answer));
    };
    m_claims->run(std::move(request));
}

// Calls one server for each permit, on a connection of its own.
send_function call_claims::sender(const non_idempotent_call& call) const
{
    const auto tried = std::make_shared<std::vector<backend_id>>();
    return [options = m_options, call, tried](const send_permit& permit, const send_callback& done) {
        choose_server_action action;
        action.attempt = options.nextAttempt();
        action.request = call.request;
        action.team = call.team;
        action.pipeline = call.pipeline;
        action.priority = call.priority;
        action.stage = call.stage;
        action.excludedServers = *tried;
        action.remaining = std::max(duration {}, permit.sendBefore - monotonicNow());
        const auto chosen
            = [options, call, tried, permit, done, attempt = action.attempt](const server_choice& choice) {
                  if (!choice)
                      return done(makeError(error_code::NotFound, choice.error().message));
                  tried->push_back(choice->id);
                  const mono_time begin = monotonicNow();
                  call_request request { attempt, call.operation, call.input, call.priority,
                      claim_timing {}.outcomeWait, true };
                  request.sendBefore = permit.sendBefore;
                  const auto answered = [options, call, done, attempt, server = *choice, begin](
                                            const result<call_reply>& answer) {
                      const mono_time now = monotonicNow();
                      options.serving->run([&](serving_core& core) {
                          if (answer)
                              core.seen(attempt, server.id, answer->serverInfo, now);
                          core.ended({ attempt, call.stage, server, {}, outcomeKind(answer), now - begin, 0 }, now);
                      });
                      if (!answer)
                          done(tl::make_unexpected(answer.error()));
                      else if (answer->attempt != attempt)
                          done(makeError(error_code::Unavailable, "the server answered another attempt"));
                      else
                          done(call_outcome { 200, answer->output });
                  };
                  options.client->call(choice->address, request, answered);
              };
        options.serving->choose(action, call.pool, chosen, monotonicNow());
    };
}

void call_claims::issueKey(const team_id& team, text_reply done)
{
    const auto shared = std::make_shared<text_reply>(std::move(done));
    const auto event = [this, team, shared](mono_time) {
        const result<std::string> none = makeError(error_code::Unavailable, "no claims");
        const auto key = m_claims && !m_draining ? m_claims->issueKey(team) : none;
        if (key)
            (*shared)(json { { "key", *key } }.dump());
        else
            (*shared)(tl::make_unexpected(makeRefusal("log_unavailable", "this VM cannot issue keys now")));
    };
    if (!m_options.post(event))
        (*shared)(tl::make_unexpected(queueFull()));
}

void call_claims::callState(const team_id& team, const std::string& key, text_reply done)
{
    const auto shared = std::make_shared<text_reply>(std::move(done));
    if (!m_options.post([this, team, key, shared](mono_time now) { askState(team, key, *shared, now); }))
        (*shared)(tl::make_unexpected(queueFull()));
}

void call_claims::askState(const team_id& team, const std::string& key, const text_reply& done, mono_time now)
{
    if (!m_claims)
        return done(tl::make_unexpected(logUnavailable()));
    m_claims->state(
        key, team, now + queryLimit, [key, done](const claim_answer& answer) { done(stateText(key, answer)); });
}

std::optional<team_id> call_claims::teamOf(const std::string& key) const
{
    const auto found = std::find_if(
        m_teams.begin(), m_teams.end(), [&](const team_id& team) { return m_signer.verify(team, key).has_value(); });
    return found == m_teams.end() ? std::nullopt : std::optional(*found);
}

void call_claims::operatorState(const std::string& key, text_reply done)
{
    const auto shared = std::make_shared<text_reply>(std::move(done));
    const auto event = [this, key, shared](mono_time now) {
        const auto team = teamOf(key);
        if (team)
            return askState(*team, key, *shared, now);
        (*shared)(tl::make_unexpected(makeRefusal("invalid_key", "the key belongs to no team of the configuration")));
    };
    if (!m_options.post(event))
        (*shared)(tl::make_unexpected(queueFull()));
}

void call_claims::settle(const std::string& key, const std::string& body, text_reply done)
{
    const auto verdict = parseSettlement(body);
    if (!verdict) {
        return done(tl::make_unexpected(
            makeRefusal("bad_request", "\"operator\", \"verdict\" (ran or not_run) and \"note\" are required")));
    }
    const auto shared = std::make_shared<text_reply>(std::move(done));
    const auto event = [this, key, verdict, shared](mono_time now) {
        const auto team = teamOf(key);
        if (!team) {
            return (*shared)(
                tl::make_unexpected(makeRefusal("invalid_key", "the key belongs to no team of the configuration")));
        }
        if (!m_claims)
            return (*shared)(tl::make_unexpected(logUnavailable()));
        m_claims->settle(key, *team, *verdict, now + queryLimit,
            [key, shared](const claim_answer& answer) { (*shared)(stateText(key, answer)); });
    };
    if (!m_options.post(event))
        (*shared)(tl::make_unexpected(queueFull()));
}

void call_claims::configure(const schema::configuration& config)
{
    m_teams.clear();
    for (const auto& entry : config.teams())
        m_teams.emplace_back(entry.first);
    if (!m_options.log)
        return;
    const std::string text = config.claims().SerializeAsString();
    if (!m_claims) {
        create(config.claims());
        m_sourceText = text;
    } else if (text != m_sourceText) {
        logLine(log_level::Warn, "claims_options_kept", { { "message", "changed options hold after a restart" } });
    }
}

void call_claims::create(const schema::claims_options& source)
{
    claim_options options;
    const auto set = [](duration& target, std::int64_t milliseconds) {
        if (milliseconds)
            target = std::chrono::milliseconds(milliseconds);
    };
    if (source.partitions())
        options.partitions = source.partitions();
    set(options.timing.sendWindow, source.send_window_ms());
    set(options.timing.outcomeWait, source.outcome_wait_ms());
    set(options.timing.settleWait, source.settle_wait_ms());
    options.platformTimeout = m_options.platformTimeout;
    options.staleAfter = std::max(options.staleAfter, options.idleInterval + options.platformTimeout);
    if (const auto checked = check(options); !checked) {
        logLine(log_level::Error, "claims_options_refused", { { "message", checked.error().message } });
        return;
    }
    std::random_device device;
    m_claims = std::make_unique<claim_runtime>(*m_options.log, options, m_options.secret, m_options.self,
        claim_runtime_hooks { m_options.postAnswer, monotonicNow },
        random_engine(static_cast<std::uint64_t>(device()) << 32 | device()));
    if (m_draining)
        m_claims->drain();
}

void call_claims::drain()
{
    m_draining = true;
    if (m_claims)
        m_claims->drain();
}

mono_time call_claims::wake(mono_time now)
{
    if (!m_claims) {
        m_drained = m_draining;
        return now + idleWake;
    }
    m_claims->tick();
    m_ready = m_claims->ready();
    m_drained = m_claims->drained();
    return m_claims->nextWake();
}

} // namespace balsamspring

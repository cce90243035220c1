#include "balsamspring/server/serving_core.h"

#include "balsamspring/base/hash.h"
#include "balsamspring/schema/config.pb.h"

#include <algorithm>

namespace balsamspring {

namespace {

constexpr duration defaultRetryAfter = std::chrono::seconds(1);

route_outcome toRouteOutcome(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::Success:
        return route_outcome::Succeeded;
    case attempt_outcome::Refused:
        return route_outcome::Unreachable;
    case attempt_outcome::Failed:
        return route_outcome::ServerError;
    case attempt_outcome::TimedOut:
    case attempt_outcome::Silent:
        return route_outcome::TimedOut;
    case attempt_outcome::Cancelled:
        return route_outcome::Cancelled;
    }
    return route_outcome::Cancelled;
}

// Reasons that do not pass by waiting for a place.
bool isPermanent(pick_refusal refusal)
{
    return refusal != pick_refusal::ConcurrencyLimit && refusal != pick_refusal::ExclusiveBusy;
}

} // namespace

serving_core::serving_core(serving_core_options options, random_engine& random)
    : m_options(std::move(options))
    , m_estimator(m_options.estimates)
    , m_quotas(m_options.quotas)
    , m_quarantine(m_options.quarantine)
    , m_costs(m_options.costs)
    , m_router(m_options.routing, random)
{
}

void serving_core::configure(std::shared_ptr<const config_snapshot> config, mono_time now)
{
    if (m_config) {
        for (const auto& [name, team] : m_config->source().teams())
            m_quotas.setLimit(team_id(name), 0);
    }
    m_config = std::move(config);
    for (const auto& [name, team] : m_config->source().teams())
        m_quotas.setLimit(team_id(name), team.requests_per_second());
    m_addresses.clear();
    for (const auto& [name, pool] : m_config->source().pools()) {
        auto& addresses = m_addresses[pool_id(name)];
        for (const auto& [id, server] : pool.servers())
            addresses.emplace(backend_id(id), server.address());
    }
    setServers(now);
}

void serving_core::setVms(const std::vector<placed_vm>& vms, mono_time now)
{
    m_vms = vms;
    m_quotas.setLiveVms(static_cast<std::uint32_t>(vms.size()), now);
    if (m_config)
        setServers(now);
}

void serving_core::setServers(mono_time now)
{
    const placed_vm self { m_options.vm, m_options.routing.zone };
    for (const auto& [name, pool] : m_config->source().pools()) {
        std::vector<placed_server> placed;
        std::vector<routed_server> routed;
        for (const auto& [id, server] : pool.servers()) {
            placed.push_back({ backend_id(id), zone_id(server.zone()) });
            routed_server entry { .id = backend_id(id), .zone = zone_id(server.zone()), .models = {} };
            for (const std::string& model : server.models())
                entry.models.emplace_back(model);
            routed.push_back(std::move(entry));
        }
        std::vector<routed_server> chosen;
        for (const std::size_t index : chooseSubset(self, m_vms, placed, m_options.subset))
            chosen.push_back(routed[index]);
        m_router.setServers(pool_id(name), chosen, now);
    }
}

void serving_core::markLeaving(const backend_id& server, std::uint64_t generation, mono_time now)
{
    m_router.markLeaving(server, generation, now);
}

std::optional<run_failure> serving_core::admit(const admission_request& request, mono_time now)
{
    const auto plan = m_config ? m_config->pipeline(request.pipeline) : nullptr;
    if (!plan)
        return std::nullopt;
    const stage_ref first { request.pipeline, 0 };
    const std::vector<stage_forecast> stages = forecasts(*plan, 0);
    const std::uint32_t weight = weightOf(request.team);
    pool_request wanted;
    wanted.team = request.team;
    wanted.weight = weight;
    wanted.priority = request.priority;
    wanted.lengthClass = classOf(first);
    wanted.deadline = now + request.deadline;
    wanted.stages = stages;
    wanted.laterWaits = laterWaits(*plan, request.team, weight, now);
    const queue_key key { plan->stages.front().pool, plan->stages.front().model };
    const admission_decision answer
        = m_schedulers.try_emplace(key, m_options.scheduling).first->second.admit(wanted, now);
    if (!answer.admitted) {
        run_failure failure { "overloaded", "the request cannot end before its deadline", work_state::NotRun };
        failure.retryAfter = answer.retryAfter;
        return failure;
    }
    duration retryAfter {};
    if (!m_quotas.tryAdmit(request.team, now, retryAfter)) {
        run_failure failure { "quota_exceeded", "the team is over its request rate", work_state::NotRun };
        failure.retryAfter = retryAfter;
        return failure;
    }
    return std::nullopt;
}

void serving_core::request(const choose_server_action& action, const pool_id& pool, mono_time now)
{
    attempt_entry& entry = m_attempts[action.attempt];
    entry.action = action;
    entry.stage = { action.pipeline, static_cast<std::uint32_t>(action.stage) };
    entry.lengthClass = classOf(entry.stage);
    entry.limit = now + action.remaining;
    entry.query.pool = pool;
    entry.query.model = action.model;
    entry.query.affinityKey = action.affinityKey.empty() ? 0 : hash64(action.affinityKey);
    entry.query.length = entry.lengthClass;
    entry.query.exclude = action.excludedServers;

    if (!action.holder.value().empty()) {
        // Continuing a stream adds no work to its holder, so limits and the leaving state do not apply.
        if (find(pool, action.holder))
            start(entry, action.holder, attempt_kind::First, now);
        else
            refuse(action.attempt, "no_backend", "the holder of the stream is gone");
        return;
    }
    const quarantine_status quarantineStatus = m_quarantine.quarantineStatus(action.content, now);
    if (quarantineStatus == quarantine_status::Quarantined) {
        refuse(action.attempt, "crashes_backend", "this request crashed the backend servers that ran it");
        return;
    }
    entry.query.exclusive = quarantineStatus == quarantine_status::Suspect;
    if (entry.query.exclusive) {
        m_suspects.push_back(action.attempt);
        startSuspects(now);
    } else if (action.hedge) {
        startHedge(entry, now);
    } else {
        enqueue(entry, now);
        dispatch(schedulerOf(entry.query), now);
    }
}

void serving_core::enqueue(const attempt_entry& entry, mono_time now)
{
    const stage_forecast forecast = m_estimator.forecast(entry.stage, entry.lengthClass);
    queued_work work;
    work.id = entry.action.attempt.value();
    work.team = entry.action.team;
    work.weight = weightOf(entry.action.team);
    work.priority = entry.action.priority;
    work.lengthClass = entry.lengthClass;
    work.started = entry.action.stage > 0 || !entry.action.excludedServers.empty();
    work.predicted = forecast.median;
    work.enqueued = now;
    // Started work is worth a start that will probably be in time; new work needs a good chance.
    const duration needed = work.started ? forecast.median : forecast.p90;
    work.latestStart = now + std::max(entry.action.remaining - needed, duration::zero());
    schedulerOf(entry.query).enqueue(std::move(work));
}

void serving_core::startHedge(attempt_entry& entry, mono_time now)
{
    const attempt_id id = entry.action.attempt;
    const auto rival = rivalOf(entry);
    if (!rival || !m_router.mayHedge(*rival, true))
        return refuse(id, "hedge_budget", "no hedge is allowed now");
    const auto server = m_router.pick(entry.query, now);
    if (!server)
        return refusePick(id, server.error());
    start(entry, *server, attempt_kind::Hedge, now);
}

std::optional<attempt_id> serving_core::rivalOf(const attempt_entry& hedge) const
{
    for (const auto& [id, entry] : m_attempts) {
        const choose_server_action& other = entry.action;
        if (entry.started && other.request == hedge.action.request && other.stage == hedge.action.stage)
            return id;
    }
    return std::nullopt;
}

void serving_core::startSuspects(mono_time now)
{
    std::vector<attempt_id> waiting;
    for (const attempt_id id : std::exchange(m_suspects, {})) {
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end())
            continue;
        attempt_entry& entry = found->second;
        // The same content may have been judged on another server or VM while this attempt waited.
        if (m_quarantine.quarantineStatus(entry.action.content, now) == quarantine_status::Quarantined) {
            refuse(id, "crashes_backend", "this request crashed the backend servers that ran it");
            continue;
        }
        const auto server = pick(entry, now);
        if (server && m_quarantine.mayStart(entry.action.content, *server, now))
            start(entry, *server, attempt_kind::First, now);
        else if (!server && isPermanent(server.error()))
            refusePick(id, server.error());
        else if (now >= entry.limit)
            refuse(id, "overloaded", "no backend server was free in time");
        else
            waiting.push_back(id);
    }
    m_suspects.insert(m_suspects.end(), waiting.begin(), waiting.end());
}

void serving_core::dispatch(pool_scheduler& scheduler, mono_time now)
{
    for (const queued_work& expired : scheduler.takeExpired(now))
        refuse(attempt_id(expired.id), "overloaded", "no backend server was free in time");
    std::vector<length_class> dropped;
    scheduler.dispatch(now, [&](const queued_work& work) {
        const start_result answer = tryStart(work, now);
        if (answer == start_result::Started && !m_attempts.contains(attempt_id(work.id)))
            dropped.push_back(work.lengthClass);
        return answer;
    });
    for (const length_class lengthClass : dropped)
        scheduler.finished(lengthClass);
}

start_result serving_core::tryStart(const queued_work& work, mono_time now)
{
    const attempt_id id(work.id);
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return start_result::Started;
    attempt_entry& entry = found->second;
    const auto server = pick(entry, now);
    if (server) {
        entry.scheduled = true;
        start(entry, *server, entry.action.excludedServers.empty() ? attempt_kind::First : attempt_kind::Retry, now);
        return start_result::Started;
    }
    if (isPermanent(server.error())) {
        refusePick(id, server.error());
        return start_result::Started;
    }
    // Short work may use every place, so nothing else can start when it cannot.
    return work.lengthClass == length_class::Short ? start_result::PoolFull : start_result::ClassFull;
}

tl::expected<backend_id, pick_refusal> serving_core::pick(attempt_entry& entry, mono_time now)
{
    auto server = m_router.pick(entry.query, now);
    if (server || server.error() != pick_refusal::AllExcluded)
        return server;
    // A server that failed before is better than none.
    entry.query.exclude.clear();
    return m_router.pick(entry.query, now);
}

void serving_core::start(attempt_entry& entry, const backend_id& server, attempt_kind kind, mono_time now)
{
    const attempt_id id = entry.action.attempt;
    entry.started = true;
    entry.startedAt = now;
    const auto rival = kind == attempt_kind::Hedge ? rivalOf(entry) : std::nullopt;
    m_router.started(id, server, entry.query, now, kind, rival.value_or(attempt_id {}));
    m_quarantine.started(id, entry.action.content, server, now);
    m_choices.push_back({ id, chosen_server { server, m_addresses[entry.query.pool][server] } });
}

void serving_core::refuse(attempt_id attempt, std::string reason, std::string message, duration retryAfter)
{
    m_attempts.erase(attempt);
    run_failure failure { std::move(reason), std::move(message), work_state::NotRun };
    failure.retryAfter = retryAfter > duration::zero() ? retryAfter : defaultRetryAfter;
    m_choices.push_back({ attempt, tl::make_unexpected(std::move(failure)) });
}

void serving_core::refusePick(attempt_id attempt, pick_refusal refusal)
{
    refuse(attempt, std::string(toString(refusal)), "no backend server can take the work");
}

void serving_core::abandon(attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.started)
        return;
    schedulerOf(found->second.query).remove(attempt.value());
    m_attempts.erase(found);
}

void serving_core::ended(const attempt_ended_action& action, mono_time now)
{
    const auto found = m_attempts.find(action.attempt);
    if (found == m_attempts.end())
        return;
    const attempt_entry entry = std::move(found->second);
    m_attempts.erase(found);
    m_router.finished(
        action.attempt, toRouteOutcome(action.outcome), entry.sawToken ? std::nullopt : entry.serverInfo, now);
    judgeContent(action, now);

    const bool success = action.outcome == attempt_outcome::Success;
    // A continued stream shows only the end of the work.
    if (success && entry.action.holder.value().empty())
        m_estimator.record(entry.stage, entry.query.length, action.elapsed, now);
    cost_entry cost { .calls = 1, .tokens = action.tokens, .service = action.elapsed };
    if (!success) {
        cost.wastedTokens = action.tokens;
        cost.wastedService = action.elapsed;
    }
    m_costs.record(entry.action.team, entry.stage, cost);

    pool_scheduler& scheduler = schedulerOf(entry.query);
    if (entry.scheduled)
        scheduler.finished(entry.lengthClass);
    startSuspects(now);
    dispatch(scheduler, now);
}

void serving_core::judgeContent(const attempt_ended_action& action, mono_time now)
{
    switch (action.outcome) {
    case attempt_outcome::Success:
        m_quarantine.succeeded(action.attempt, now);
        break;
    case attempt_outcome::Failed:
        m_quarantine.connectionLost(action.attempt, now);
        break;
    case attempt_outcome::Refused:
        m_quarantine.dropped(action.attempt);
        m_quarantine.connectRefused(action.server.id, now);
        break;
    case attempt_outcome::TimedOut:
    case attempt_outcome::Silent:
    case attempt_outcome::Cancelled:
        m_quarantine.dropped(action.attempt);
        break;
    }
}

void serving_core::seen(attempt_id attempt, const backend_id& server, const server_info& serverInfo, mono_time now)
{
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end())
        found->second.serverInfo = serverInfo;
    if (serverInfo.leaving)
        m_router.markLeaving(server, serverInfo.generation, now);
    std::uint64_t& generation = m_generations[server];
    if (generation != serverInfo.generation || serverInfo.leaving)
        m_signs.push_back({ server, serverInfo.generation, serverInfo.leaving });
    if (generation != serverInfo.generation)
        m_quarantine.generationSeen(server, serverInfo.generation, now);
    generation = serverInfo.generation;
}

void serving_core::progress(attempt_id attempt, std::size_t tokens, mono_time now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    attempt_entry& entry = found->second;
    if (!entry.sawToken) {
        // The opening frame of a stream comes before its prompt is processed, so that it tells nothing of the speed.
        entry.sawToken = true;
        m_router.firstToken(attempt, entry.serverInfo.value_or(server_info {}), now);
        --tokens;
    }
    m_router.progress(attempt, tokens, now);
}

void serving_core::tick(mono_time now)
{
    moveStragglers(now);
    startSuspects(now);
    for (auto& [key, scheduler] : m_schedulers)
        dispatch(scheduler, now);
}

void serving_core::moveStragglers(mono_time now)
{
    for (auto& [id, entry] : m_attempts) {
        if (!entry.scheduled || entry.lengthClass == length_class::Long)
            continue;
        const auto limit = m_estimator.stragglerLimit(entry.stage, entry.lengthClass);
        if (!limit || now - entry.startedAt <= *limit)
            continue;
        // It keeps running, in the room of long work.
        schedulerOf(entry.query).reclassify(entry.lengthClass, length_class::Long);
        m_router.reclassify(id, length_class::Long);
        entry.lengthClass = length_class::Long;
    }
}

std::optional<duration> serving_core::retryDelay(const retry_request& request, mono_time now)
{
    const auto delay = m_router.mayRetry(request.pool, request.failures, now + request.remaining, now);
    if (!delay)
        return std::nullopt;
    return *delay;
}

std::optional<duration> serving_core::hedgeDelay(attempt_id attempt) const { return m_router.hedgeDelay(attempt); }

} // namespace balsamspring

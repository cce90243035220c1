// Runs the stages of a request and chooses the server that reads their results.
#include "balsamspring/base/hash.h"
#include "balsamspring/gateway/request_session.h"

#include <algorithm>
#include <map>

#include <fmt/core.h>

namespace balsamspring {

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
                m_stages[input].pendingConsumers += 1;
        }
    }
}

void request_session::submitReadyStages()
{
    // A timer that outlived the stage it waits for would send the request a second time.
    m_context.loop.cancel(m_stageTimer);
    m_stageTimer = 0;
    bool allDone = true;
    std::optional<duration> nextStart;
    for (std::size_t i = 0; i < m_stages.size() && !m_done; ++i) {
        allDone = allDone && m_stages[i].done;
        if (m_stages[i].submitted)
            continue;
        const auto& after = m_route->stages[i].after;
        const bool ready = std::all_of(after.begin(), after.end(),
            [&](std::size_t input) { return input < m_stages.size() && m_stages[input].done; });
        if (!ready)
            continue;
        const duration delay = stageStartDelay(i);
        if (delay <= duration::zero())
            submitStage(i);
        else
            nextStart = std::min(nextStart.value_or(delay), delay);
    }
    if (m_done)
        return;
    if (allDone)
        return send();
    if (!nextStart)
        return;
    m_stageTimer = m_context.loop.after(*nextStart, [self = shared_from_this()] {
        self->m_stageTimer = 0;
        if (!self->m_done)
            self->submitReadyStages();
    });
}

duration request_session::remainingStageTime(std::size_t index) const
{
    const mono_time now = bootNow();
    const stage_progress& stage = m_stages[index];
    duration own {};
    if (!stage.done) {
        own = m_context.stageTimes.expected(m_route->stages[index].pool);
        if (stage.submitted)
            own = std::max(duration::zero(), own - (now - stage.submittedAt));
    }
    duration longest {};
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        const auto& after = m_route->stages[i].after;
        if (m_request.pieceCounts[i] > 0 && std::find(after.begin(), after.end(), index) != after.end())
            longest = std::max(longest, remainingStageTime(i));
    }
    return own + longest;
}

duration request_session::stageStartDelay(std::size_t index) const
{
    const duration own = remainingStageTime(index);
    duration longest {};
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        if (m_request.pieceCounts[i] > 0 && !m_stages[i].done)
            longest = std::max(longest, remainingStageTime(i));
    }
    return longest - own - m_options.branchMargin;
}

std::vector<stage_ahead> request_session::longestChainFrom(std::size_t index) const
{
    const auto timeOf = [](const std::vector<stage_ahead>& chain) {
        duration time {};
        for (const stage_ahead& stage : chain)
            time += stage.call;
        return time;
    };
    std::vector<stage_ahead> chain;
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        const auto& after = m_route->stages[i].after;
        if (m_request.pieceCounts[i] == 0 || std::find(after.begin(), after.end(), index) == after.end())
            continue;
        auto later = longestChainFrom(i);
        if (timeOf(later) > timeOf(chain))
            chain = std::move(later);
    }
    const pool_id& id = m_route->stages[index].pool;
    if (const pool_spec* pool = m_config->pool(id); pool && pool->pieces && m_request.pieceCounts[index] > 0) {
        const piece_spec& spec = *pool->pieces;
        chain.insert(chain.begin(),
            { id, spec.callTime + spec.pieceTime * std::min(m_request.pieceCounts[index], spec.batch),
                spec.callTime + spec.pieceTime * spec.batch });
    }
    return chain;
}

std::vector<stage_ahead> request_session::longestChain() const
{
    std::vector<stage_ahead> longest;
    duration longestTime {};
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        auto chain = longestChainFrom(i);
        duration time {};
        for (const stage_ahead& stage : chain)
            time += stage.call;
        if (time <= longestTime)
            continue;
        longest = std::move(chain);
        longestTime = time;
    }
    return longest;
}

request_ahead request_session::aheadOf(const std::vector<stage_ahead>& stages) const
{
    return { request_kind(m_route->name), stages, expectedEngineTime(), m_targetTime, m_deadline, m_priority };
}

bool request_session::refusedBeforeFirstStage()
{
    if (!m_options.refuseEarly || m_probing)
        return false;
    const auto stages = longestChain();
    if (stages.empty())
        return false;
    const early_verdict verdict = m_context.earlyRefusal->beforeFirstStage(aheadOf(stages), bootNow());
    m_context.metrics.set("absurd_waits", static_cast<double>(m_context.earlyRefusal->absurdWaits()));
    if (verdict == early_verdict::Proceed)
        return false;
    giveUp(verdict == early_verdict::Shortage ? "pool_short" : "no_time_for_stages");
    return true;
}

bool request_session::refusedBeforeStage(std::size_t index)
{
    // Stages that run again complete a response whose first part the caller may have.
    // A probe of a blocked part has been claimed for this request alone.
    if (!m_options.refuseEarly || m_probing || m_stagesRepeated || m_route->stages[index].after.empty())
        return false;
    const auto stages = longestChainFrom(index);
    if (m_context.earlyRefusal->beforeNextStage(aheadOf(stages), bootNow()) == early_verdict::Proceed)
        return false;
    giveUp("no_time_for_next_stage");
    return true;
}

void request_session::recordStageEnd(std::size_t index, const result<std::vector<piece_result>>& outcome)
{
    const pool_id& id = m_route->stages[index].pool;
    const pool_spec* pool = m_config->pool(id);
    if (!pool || !pool->pieces)
        return;
    const mono_time now = bootNow();
    const request_kind kind(m_route->name);
    if (outcome) {
        const duration call = pool->pieces->callTime
            + pool->pieces->pieceTime * std::min(m_request.pieceCounts[index], pool->pieces->batch);
        m_context.earlyRefusal->stageEnded(id, kind, now - m_stages[index].submittedAt - call, now);
        return;
    }
    const error_code code = outcome.error().code;
    // QuotaExceeded concerns one team; the others of the route are served.
    if (code == error_code::Refused || code == error_code::Expired)
        m_context.earlyRefusal->stageRefused(id, kind, now);
}

void request_session::submitStage(std::size_t index)
{
    const stage_spec& spec = m_route->stages[index];
    const pool_spec* pool = m_config->pool(spec.pool);
    if (!pool || !pool->pieces)
        return giveUp("stage_unknown");
    if (!keyStillValid() || refuseEvacuated(spec.pool) || refusedBeforeStage(index))
        return;
    m_stages[index].submitted = true;
    m_stages[index].submittedAt = bootNow();
    piece_work work;
    work.pool = spec.pool;
    work.request = m_request.id;
    work.stage = index;
    work.count = m_request.pieceCounts[index];
    work.resultBytes = spec.resultBytes;
    for (const std::size_t input : spec.after) {
        for (const piece_result& item : m_stages[input].results) {
            work.inputs.push_back(item.handle);
            work.inputBytes += item.bytes;
        }
    }
    work.inputZone = zoneOfResults(spec.after);
    if (work.inputs.empty()) {
        work.key = m_request.pieceKey;
        work.inputZone = preferredStageZone();
    }
    const duration after = expectedTimeAfterStage(index, 0);
    work.targetTime = m_targetTime - after;
    work.requiredSlack = expectedTimeAfterStage(index, m_options.stageSlackFactor) + m_options.engineSlack - after;
    work.deadline = m_deadline - after;
    // Inputs that have expired cannot be read.
    for (const std::size_t input : spec.after) {
        const pool_spec* source = m_config->pool(m_route->stages[input].pool);
        if (m_request.pieceCounts[input] > 0 && source && source->pieces
            && source->pieces->resultLifetime > duration::zero())
            work.deadline = std::min(work.deadline, m_stages[input].doneAt + source->pieces->resultLifetime);
    }
    work.priority = m_priority;
    work.team = m_team.value_or(team_id());
    work.repeated = m_stagesRepeated;
    m_stages[index].ticket = m_context.pieces.submit(
        *pool->pieces, std::move(work), [self = shared_from_this(), index](result<std::vector<piece_result>> outcome) {
            self->stageDone(index, std::move(outcome));
        });
}

void request_session::stageDone(std::size_t index, result<std::vector<piece_result>> outcome)
{
    stage_progress& stage = m_stages[index];
    stage.ticket = 0;
    recordStageEnd(index, outcome);
    if (m_done) {
        if (outcome)
            m_context.pieces.release(m_route->stages[index].pool, *outcome);
        return;
    }
    if (!outcome) {
        logLine(log_level::Warn, "stage_failed",
            { { "id", m_request.id.value() }, { "pool", m_route->stages[index].pool.value() },
                { "stage", std::to_string(index) }, { "why", outcome.error().message } });
        m_overShare = outcome.error().code == error_code::QuotaExceeded;
        if (refusePaused(m_route->stages[index].pool))
            return;
        return giveUp(fmt::format("stage_{}", toString(outcome.error().code)));
    }
    stage.done = true;
    stage.doneAt = bootNow();
    m_context.stageTimes.record(m_route->stages[index].pool, stage.doneAt - stage.submittedAt, stage.doneAt);
    stage.results = std::move(*outcome);
    // The results of an input stage are released once all stages that read them are done.
    for (const std::size_t input : m_route->stages[index].after) {
        m_stages[input].pendingConsumers -= 1;
        if (m_stages[input].pendingConsumers == 0)
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

// Expected time from the end of a stage to the response. Determines the stage's target time and deadline in the queue.
// Each call is assumed to take `margin` times its expected duration longer.
duration request_session::expectedTimeAfterStage(std::size_t index, double margin) const
{
    duration longest {};
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        const auto& after = m_route->stages[i].after;
        if (m_request.pieceCounts[i] == 0 || std::find(after.begin(), after.end(), index) == after.end())
            continue;
        const pool_spec* pool = m_config->pool(m_route->stages[i].pool);
        duration stageTime {};
        if (pool && pool->pieces) {
            const duration call = pool->pieces->callTime + pool->pieces->pieceTime * pool->pieces->batch;
            stageTime = call + fromSeconds(toSeconds(call) * margin);
        }
        longest = std::max(longest, stageTime + expectedTimeAfterStage(i, margin) - expectedEngineTime());
    }
    return longest + expectedEngineTime();
}

duration request_session::expectedEngineTime() const
{
    return m_options.engineBaseTime
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

bool request_session::inputsKept() const
{
    return std::none_of(m_stages.begin(), m_stages.end(), [this](const stage_progress& stage) {
        return stage.released && isFinalStage(static_cast<std::size_t>(&stage - m_stages.data()));
    });
}

void request_session::remakeInputs()
{
    releaseFinalResults();
    m_stages.clear();
    m_stagesRepeated = true;
    // The caller waits for the rest of a response, so the stages are as urgent as those of a new request.
    m_targetTime = std::min(bootNow() + m_route->latencyTarget, m_deadline);
    logLine(log_level::Info, "inputs_remade",
        { { "id", m_request.id.value() }, { "attempts", std::to_string(m_attempts) },
            { "delivered", std::to_string(m_deliveredEvents) } });
    prepareStages();
    submitReadyStages();
}

duration request_session::expectedRemakeTime() const
{
    duration longest = expectedEngineTime();
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        const pool_spec* pool = m_config->pool(m_route->stages[i].pool);
        if (m_request.pieceCounts[i] == 0 || !pool || !pool->pieces)
            continue;
        const duration call = pool->pieces->callTime
            + pool->pieces->pieceTime * std::min(m_request.pieceCounts[i], pool->pieces->batch);
        longest = std::max(longest, call + expectedTimeAfterStage(i, 0));
    }
    return longest;
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

std::vector<std::string> request_session::finalStageHandles() const
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
    const auto largest = std::max_element(
        bytes.begin(), bytes.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return largest == bytes.end() ? zone_id() : largest->first;
}

std::uint64_t request_session::prefixHash() const
{
    // The last part is specific to this request or its conversation, so other requests cannot share it.
    const auto& parts = m_request.prompt;
    if (parts.empty())
        return hash64(m_request.id.value());
    const std::size_t shared = parts.size() > 1 ? parts.size() - 1 : 1;
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < shared; ++i)
        hash = combineHash(hash, hash64(parts[i].id));
    return hash;
}

bool request_session::usesEngine() const
{
    const pool_spec* pool = m_config->pool(m_pool);
    return m_route->cacheAffinity || (pool && pool->engine);
}

std::vector<engine_candidate> request_session::engineCandidates(
    const std::vector<const server_entry*>& servers, mono_time now) const
{
    std::vector<engine_candidate> candidates;
    candidates.reserve(servers.size());
    for (const server_entry* server : servers)
        candidates.push_back({ &server->id, m_context.balancer.inFlight(server->id),
            !m_tried.contains(server->id) && !m_context.balancer.blocked(server->id, now)
                && !m_context.cold.isCold(server->id, now) });
    return candidates;
}

void request_session::placeCall()
{
    if (!usesEngine())
        return runStages();
    const mono_time now = bootNow();
    std::vector<const server_entry*> servers = m_context.servers.usable(m_pool);
    const server_entry* chosen = chooseAdmitting(servers, now, [&](const auto& candidates) {
        const auto index = m_context.placement.choose(engineCandidates(candidates, now), prefixHash());
        return index ? candidates[*index] : nullptr;
    });
    if (waitsForPermit([this] { placeCall(); }))
        return;
    if (!chosen && !m_unadmitted.empty() && servers.empty())
        return refuseLimited();
    if (chosen) {
        m_placedCall = placed_call(m_context.placement, chosen->id);
        const server_process process = processOf(*chosen);
        if (m_context.limits.limited(process)) {
            if (const auto permit = m_context.limits.reserve(process, now))
                m_permit = { process, *permit };
        }
    }
    runStages();
}

bool request_session::admits(const server_entry& server, mono_time now) const
{
    const server_process process = processOf(server);
    const bool kept
        = m_permit && m_permit->server == process && m_context.limits.stillValid(process, m_permit->permit, now);
    return kept || m_context.limits.admits(process, now);
}

const server_entry* request_session::chooseAdmitting(std::vector<const server_entry*>& servers, mono_time now,
    const std::function<const server_entry*(const std::vector<const server_entry*>&)>& choose)
{
    std::vector<server_process> unadmitted;
    const server_entry* chosen = choose(servers);
    while (chosen && !m_context.limits.empty() && !admits(*chosen, now)) {
        unadmitted.push_back(processOf(*chosen));
        std::erase(servers, chosen);
        chosen = choose(servers);
    }
    // While there is another server, only the best one is missed.
    if (chosen && unadmitted.size() > 1)
        unadmitted.resize(1);
    for (const server_process server : unadmitted)
        m_context.limits.want(server, now);
    if (!unadmitted.empty())
        m_context.metrics.count("limited_server_withheld", "choice");
    m_unadmitted = std::move(unadmitted);
    return chosen;
}

bool request_session::waitsForPermit(const std::function<void()>& next)
{
    if (m_unadmitted.empty() || m_askedForPermit)
        return false;
    m_askedForPermit = true;
    return m_context.askForPermit(m_unadmitted, [self = shared_from_this(), next] {
        if (!self->m_done)
            next();
    });
}

zone_id request_session::preferredStageZone() const
{
    if (!m_placedCall)
        return {};
    const server_entry* engine = m_context.servers.find(m_placedCall.engine());
    return engine ? engine->zone : zone_id();
}

const server_entry* request_session::chooseEngine(const std::vector<const server_entry*>& servers, mono_time now)
{
    const auto candidates = engineCandidates(servers, now);
    const placed_call placed = std::move(m_placedCall);
    if (placed && m_context.placement.stillFits(candidates, placed.engine())) {
        m_context.metrics.count("engine_choices", "placed");
        return m_context.servers.find(placed.engine());
    }
    m_context.metrics.count("engine_choices", placed ? "placed_anew" : "not_placed");
    const auto chosen = m_context.placement.choose(candidates, prefixHash());
    if (chosen)
        return servers[*chosen];
    // All are blocked: the one that returns first.
    return m_context.balancer.choose(servers, m_tried, now);
}

// Cold servers are used only while no warm one is left, and then at the pace that they bear.
void request_session::excludeCold(std::vector<const server_entry*>& servers, const pool_spec& pool, mono_time now)
{
    const bool anyWarm = std::any_of(servers.begin(), servers.end(), [&](const server_entry* server) {
        return !m_context.cold.isCold(server->id, now) && !m_tried.contains(server->id)
            && !m_context.balancer.blocked(server->id, now) && admits(*server, now);
    });
    const unsigned vms = m_context.fleetSize();
    std::optional<duration> firstWarm;
    std::erase_if(servers, [&](const server_entry* server) {
        const duration remaining = m_context.cold.remaining(server->id, now);
        if (remaining == duration::zero() || (!anyWarm && m_context.cold.mayUse(server->id, pool.coldRate, vms, now)))
            return false;
        firstWarm = std::min(firstWarm.value_or(remaining), remaining);
        return true;
    });
    if (servers.empty() && firstWarm)
        m_retryAfter = firstWarm;
}

const server_entry* request_session::chooseServer()
{
    const mono_time now = bootNow();
    const auto& servers = m_context.servers.usable(m_pool);
    const pool_spec* pool = m_config->pool(m_pool);
    std::vector<const server_entry*> allowed;
    for (const server_entry* server : servers) {
        if (m_context.quarantine.mayStart(m_content, server->id, now))
            allowed.push_back(server);
    }
    if (pool && pool->coldStart > duration::zero())
        excludeCold(allowed, *pool, now);
    return chooseAdmitting(allowed, now, [&](const auto& candidates) { return chooseAmong(candidates, now); });
}

const server_entry* request_session::chooseAmong(const std::vector<const server_entry*>& servers, mono_time now)
{
    return usesEngine() ? chooseEngine(servers, now) : m_context.balancer.choose(servers, m_tried, now);
}

} // namespace balsamspring

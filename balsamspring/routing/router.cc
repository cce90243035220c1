#include "balsamspring/routing/router.h"

#include "balsamspring/routing/pool_state.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace balsamspring {

using internal::latency_kind;
using internal::pool_state;
using internal::server_state;

namespace {

// Calls on a returning server are hedged earlier, because the server was slow or down recently.
constexpr double returningHedgeQuantile = 0.75;

// Overdue calls in flight count against a server only when they reach this share of its calls in flight, because slow
// calls are always over-represented among the calls in flight.
constexpr double minOverdueShare = 0.2;

constexpr std::size_t minGapTokens = 8; // shorter streams do not give a reliable token gap
constexpr std::size_t gapWindowTokens = 16;

} // namespace

struct router::attempt_state {
    std::shared_ptr<pool_state> pool;
    std::shared_ptr<server_state> server;
    length_class length = length_class::Short;
    attempt_kind kind = attempt_kind::First;
    bool exclusive = false;
    bool superseded = false; // a competing attempt delivered its answer first
    std::optional<attempt_id> competitor; // the other attempt of a hedged pair
    mono_time startedAt {};
    mono_time lastFrameAt {};
    std::optional<mono_time> firstTokenAt;
    mono_time windowStart {};
    std::size_t tokens = 0; // tokens after the first one, since `windowStart`
};

router::router(router_options options, random_engine& random, router_hooks hooks)
    : m_options(std::move(options))
    , m_random(random)
    , m_hooks(std::move(hooks))
{
    const auto problems = m_options.check();
    if (!problems.empty())
        throw std::invalid_argument(problems.toText());
}

router::~router() = default;

void router::setServers(const pool_id& pool, const std::vector<routed_server>& servers, mono_time now)
{
    auto& state = m_pools[pool];
    if (!state)
        state = std::make_shared<pool_state>(m_options, m_random);
    state->setServers(servers, now);
}

void router::markLeaving(const backend_id& server, std::uint64_t generation, mono_time now)
{
    for (const auto& [id, pool] : m_pools) {
        if (const auto state = pool->find(server))
            state->recordLeaving(generation, m_options.leavingHold, now);
    }
}

tl::expected<backend_id, pick_refusal> router::pick(const route_query& query, mono_time now)
{
    const auto pool = findPool(query.pool);
    if (pool)
        evaluate(*pool, now);
    const auto chosen = pool ? pool->pick(query, now) : tl::make_unexpected(pick_refusal::UnknownPool);
    if (chosen)
        return (*chosen)->entry.id;
    ++m_stats.refusals[static_cast<std::size_t>(chosen.error())];
    return tl::make_unexpected(chosen.error());
}

void router::started(attempt_id attempt, const backend_id& server, const route_query& query, mono_time now,
    attempt_kind kind, attempt_id hedged)
{
    const auto pool = findPool(query.pool);
    const auto state = pool ? pool->find(server) : nullptr;
    if (!state)
        return;
    const auto [it, added] = m_attempts.try_emplace(attempt);
    if (!added)
        return;
    auto& entry = it->second;
    entry.pool = pool;
    entry.server = state;
    entry.length = query.length;
    entry.kind = kind;
    entry.exclusive = query.exclusive;
    entry.startedAt = now;
    entry.lastFrameAt = now;
    state->load.started(now);
    state->limit.started(query.length);
    if (query.exclusive) {
        state->exclusive = true;
        state->drainUntil = {};
    }
    ++m_stats.started;
    if (state->entry.zone != m_options.zone)
        ++m_stats.otherZone;
    if (kind == attempt_kind::First)
        pool->hedges.earn();
    if (kind == attempt_kind::Retry)
        ++m_stats.retries;
    if (kind != attempt_kind::Hedge)
        return;
    ++m_stats.hedges;
    pool->hedges.spend();
    const auto competitor = m_attempts.find(hedged);
    if (competitor == m_attempts.end())
        return;
    competitor->second.competitor = attempt;
    entry.competitor = hedged;
}

attempt_verdict router::firstToken(attempt_id attempt, const server_facts& facts, mono_time now)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return { .accepted = false, .cancel = std::nullopt };
    auto& entry = it->second;
    applyFacts(*entry.server, facts, now);
    if (!entry.firstTokenAt) {
        entry.firstTokenAt = now;
        entry.windowStart = now;
        entry.lastFrameAt = now;
        entry.pool->record(*entry.server, latency_kind::FirstToken, entry.length, now - entry.startedAt, now);
    }
    return resolveHedge(attempt, entry);
}

void router::reclassify(attempt_id attempt, length_class length)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.length == length)
        return;
    attempt_state& entry = found->second;
    entry.server->limit.finished(entry.length);
    entry.server->limit.started(length);
    entry.length = length;
}

void router::progress(attempt_id attempt, std::size_t tokens, mono_time now)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end() || tokens == 0)
        return;
    attempt_state& entry = it->second;
    entry.lastFrameAt = now;
    entry.tokens += tokens;
    // Samples are taken while the stream runs. Otherwise a slow engine would be detected only at the end of its
    // streams, which take ten times as long there.
    if (entry.firstTokenAt && entry.tokens >= gapWindowTokens)
        recordTokenGap(entry, now);
}

void router::recordTokenGap(attempt_state& attempt, mono_time now)
{
    const duration gap = (attempt.lastFrameAt - attempt.windowStart) / static_cast<std::int64_t>(attempt.tokens);
    attempt.pool->record(*attempt.server, latency_kind::TokenGap, attempt.length, gap, now);
    attempt.windowStart = attempt.lastFrameAt;
    attempt.tokens = 0;
}

attempt_verdict router::finished(
    attempt_id attempt, route_outcome outcome, const std::optional<server_facts>& facts, mono_time now)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return { .accepted = false, .cancel = std::nullopt };
    auto entry = std::move(it->second);
    m_attempts.erase(it);
    auto& server = *entry.server;
    server.load.finished(now);
    server.limit.finished(entry.length);
    if (entry.exclusive)
        server.exclusive = false;
    if (facts)
        applyFacts(server, *facts, now);
    applyOutcome(entry, outcome, now);
    if (outcome == route_outcome::Succeeded || outcome == route_outcome::RequestError)
        return resolveHedge(attempt, entry);
    const bool competitorRunning = entry.competitor && m_attempts.count(*entry.competitor) != 0;
    return { .accepted = !entry.superseded && !competitorRunning, .cancel = std::nullopt };
}

attempt_verdict router::resolveHedge(attempt_id id, attempt_state& attempt)
{
    attempt_verdict verdict { .accepted = !attempt.superseded, .cancel = std::nullopt };
    if (attempt.superseded || !attempt.competitor)
        return verdict;
    const auto competitor = m_attempts.find(*attempt.competitor);
    if (competitor == m_attempts.end() || competitor->second.superseded || competitor->second.competitor != id)
        return verdict;
    competitor->second.superseded = true;
    verdict.cancel = competitor->first;
    return verdict;
}

void router::applyFacts(server_state& server, const server_facts& facts, mono_time now)
{
    const auto changes = server.record(facts, m_options.leavingHold, now);
    if (changes.restarted && m_hooks.restarted)
        m_hooks.restarted(server.entry.id, facts.generation);
    if (changes.leaving && m_hooks.leaving)
        m_hooks.leaving(server.entry.id, server.generation);
}

void router::applyOutcome(attempt_state& attempt, route_outcome outcome, mono_time now)
{
    auto& pool = *attempt.pool;
    auto& server = *attempt.server;
    const auto age = now - attempt.startedAt;
    switch (outcome) {
    case route_outcome::Succeeded:
        pool.retries.earn();
        if (!attempt.firstTokenAt)
            pool.record(server, latency_kind::Call, attempt.length, age, now);
        else if (attempt.tokens >= minGapTokens)
            recordTokenGap(attempt, now);
        return;
    case route_outcome::ServerError:
    case route_outcome::Unreachable:
        pool.detector.failed(server.health, now);
        return;
    case route_outcome::TimedOut:
        pool.detector.failed(server.health, now);
        server.limit.overloaded(now);
        return;
    case route_outcome::Overloaded:
        server.limit.overloaded(now);
        return;
    case route_outcome::Draining:
        if (!server.isLeaving(now) && m_hooks.leaving)
            m_hooks.leaving(server.entry.id, server.generation);
        server.recordLeaving(server.generation, m_options.leavingHold, now);
        return;
    case route_outcome::Cancelled:
        if (!attempt.firstTokenAt)
            pool.detector.cancelled(
                server.health, pool.relative(pool.replyKind(attempt.length), attempt.length, age), now);
        return;
    case route_outcome::RequestError:
        return;
    }
}

void router::evaluate(pool_state& pool, mono_time now)
{
    if (now < pool.nextEvaluation)
        return;
    pool.nextEvaluation = now + m_options.evaluationInterval;
    std::array<double, lengthClassCount> medians {};
    for (std::size_t i = 0; i < lengthClassCount; ++i) {
        const auto length = static_cast<length_class>(i);
        medians[i] = toSeconds(pool.window(pool.replyKind(length), length).quantile(0.5));
    }
    std::unordered_map<const server_state*, std::vector<double>> overdue;
    std::unordered_map<const server_state*, std::size_t> pendingCounts;
    for (const auto& [id, attempt] : m_attempts) {
        const double median = medians[indexOf(attempt.length)];
        if (attempt.pool.get() != &pool || attempt.firstTokenAt || median == 0)
            continue;
        ++pendingCounts[attempt.server.get()];
        const double ratio = toSeconds(now - attempt.startedAt) / median;
        if (ratio > m_options.outlier.ratio)
            overdue[attempt.server.get()].push_back(ratio);
    }
    std::vector<evaluated_server> servers;
    for (const auto& server : pool.servers()) {
        auto& overdueRatios = overdue[server.get()];
        if (static_cast<double>(overdueRatios.size())
            < minOverdueShare * static_cast<double>(pendingCounts[server.get()]))
            overdueRatios.clear();
        servers.push_back({ &server->health, std::move(overdueRatios) });
    }
    m_stats.ejections += pool.detector.evaluate(servers, pool.medians(), now);
}

std::optional<duration> router::hedgeDelay(attempt_id attempt) const
{
    const auto* entry = find(attempt);
    if (!entry)
        return std::nullopt;
    const auto& samples = entry->pool->window(entry->pool->replyKind(entry->length), entry->length);
    if (samples.size() < m_options.minHedgeSamples)
        return std::nullopt;
    if (entry->server->health.state() != health_state::Live)
        return samples.quantile(returningHedgeQuantile);
    return samples.quantile(
        entry->pool->hedges.belowCapacity() ? m_options.conservativeHedgeQuantile : m_options.hedgeQuantile);
}

bool router::mayHedge(attempt_id attempt, bool idempotent) const
{
    const auto* entry = find(attempt);
    if (!entry || !idempotent || entry->competitor || entry->superseded || entry->firstTokenAt || entry->exclusive)
        return false;
    return entry->pool->hedges.available();
}

tl::expected<duration, retry_refusal> router::mayRetry(
    const pool_id& pool, std::uint32_t attempts, mono_time deadline, mono_time now)
{
    const auto refuse = [&](retry_refusal reason) {
        ++m_stats.retryRefusals[static_cast<std::size_t>(reason)];
        return tl::make_unexpected(reason);
    };
    const auto state = findPool(pool);
    if (!state)
        return refuse(retry_refusal::UnknownPool);
    if (attempts >= m_options.maxAttempts)
        return refuse(retry_refusal::AttemptLimit);
    const double uncappedDelay = toSeconds(m_options.retryBase) * std::exp2(attempts);
    const auto backoff = fromSeconds(uniform(m_random) * std::min(toSeconds(m_options.retryCap), uncappedDelay));
    if (now + backoff >= deadline)
        return refuse(retry_refusal::PastDeadline);
    if (!state->retries.available())
        return refuse(retry_refusal::BudgetEmpty);
    state->retries.spend();
    return backoff;
}

duration router::stallTimeout(attempt_id attempt) const
{
    const auto* entry = find(attempt);
    if (!entry)
        return m_options.minStallTimeout;
    const auto& pool = *entry->pool;
    const auto kind = entry->firstTokenAt ? latency_kind::TokenGap : pool.replyKind(entry->length);
    const double medianInterval = toSeconds(pool.window(kind, entry->length).quantile(0.5));
    return std::max(m_options.minStallTimeout, fromSeconds(m_options.stallTimeoutFactor * medianInterval));
}

std::vector<attempt_id> router::stalledAttempts(mono_time now) const
{
    std::vector<attempt_id> silent;
    for (const auto& [id, attempt] : m_attempts) {
        if (now - attempt.lastFrameAt > m_options.minStallTimeout && now - attempt.lastFrameAt > stallTimeout(id))
            silent.push_back(id);
    }
    std::sort(silent.begin(), silent.end(), [](attempt_id a, attempt_id b) { return a.value() < b.value(); });
    return silent;
}

std::vector<server_status> router::status(const pool_id& pool, mono_time now) const
{
    std::vector<server_status> list;
    const auto state = findPool(pool);
    if (!state)
        return list;
    for (const auto& server : state->servers())
        list.push_back({ server->entry.id, server->health.state(), server->health.share(), server->isLeaving(now),
            server->generation, server->load.inFlight(), server->load.value(now), server->limit.limit() });
    return list;
}

std::shared_ptr<pool_state> router::findPool(const pool_id& pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? nullptr : it->second;
}

const router::attempt_state* router::find(attempt_id attempt) const
{
    const auto it = m_attempts.find(attempt);
    return it == m_attempts.end() ? nullptr : &it->second;
}

} // namespace balsamspring

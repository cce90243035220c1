#include "balsamspring/early_refusal/early_refusal.h"

#include <algorithm>
#include <utility>

namespace balsamspring {

early_refusal::early_refusal(early_refusal_options options, random_engine& random, wait_hook waits)
    : m_options(options)
    , m_random(random)
    , m_waits(std::move(waits))
{
}

void early_refusal::record(const pool_id& pool, const request_kind& kind, stage_end end, mono_time now)
{
    auto& ended = m_ended[{ pool, kind }];
    ended.emplace_back(now, end);
    while (now - ended.front().first > m_options.refusalWindow)
        ended.pop_front();
}

void early_refusal::stageEnded(const pool_id& pool, const request_kind& kind, duration wait, mono_time now)
{
    record(pool, kind, stage_end::Passed, now);
    pool_knowledge& known = m_pools[pool];
    wait = std::max(wait, duration::zero());
    const bool fresh = known.ownWaitAt != mono_time() && now - known.ownWaitAt <= m_options.lifetime;
    known.ownWait
        = fresh ? known.ownWait + fromSeconds(m_options.sampleWeight * toSeconds(wait - known.ownWait)) : wait;
    known.ownWaitAt = now;
}

void early_refusal::stageRefused(const pool_id& pool, const request_kind& kind, mono_time now)
{
    record(pool, kind, stage_end::Refused, now);
}

std::optional<duration> early_refusal::wait(const pool_id& pool, mono_time now)
{
    if (const auto told = m_waits ? m_waits(pool) : std::nullopt) {
        if (*told >= duration::zero() && *told <= m_options.maxWait)
            return told;
        m_absurdWaits += 1;
    }
    const auto found = m_pools.find(pool);
    if (found == m_pools.end() || found->second.ownWaitAt == mono_time()
        || now - found->second.ownWaitAt > m_options.lifetime)
        return std::nullopt;
    return found->second.ownWait;
}

bool early_refusal::passes(const pool_id& pool, const request_kind& kind, mono_time now) const
{
    const auto found = m_ended.find({ pool, kind });
    if (found == m_ended.end())
        return false;
    bool passed = false;
    for (const auto& [at, end] : found->second) {
        if (now - at > m_options.refusalWindow)
            continue;
        if (end == stage_end::Refused)
            return false;
        passed = passed || end == stage_end::Passed;
    }
    return passed;
}

double early_refusal::refusedShare(const pool_id& pool, const request_kind& kind, mono_time now)
{
    const auto found = m_ended.find({ pool, kind });
    if (found == m_ended.end())
        return 0;
    unsigned refused = 0;
    unsigned refusedEarly = 0;
    unsigned all = 0;
    for (const auto& [at, end] : found->second) {
        if (now - at > m_options.refusalWindow)
            continue;
        all += 1;
        refused += end == stage_end::Refused ? 1 : 0;
        refusedEarly += end == stage_end::RefusedEarly ? 1 : 0;
    }
    // Early refusals alone would keep themselves up after the pool has recovered.
    if (refused == 0 || all < m_options.minStages)
        return 0;
    return static_cast<double>(refused + refusedEarly) / all;
}

void early_refusal::sampleTrend(const pool_id& pool, duration wait, mono_time now)
{
    pool_knowledge& known = m_pools[pool];
    const duration since = now - known.sampledAt;
    if (known.sampledAt != mono_time() && since < m_options.trendInterval)
        return;
    const bool fresh = known.sampledAt != mono_time() && since <= m_options.lifetime;
    known.trend = fresh ? toSeconds(wait - known.sampledWait) / toSeconds(since) : 0;
    known.sampledWait = wait;
    known.sampledAt = now;
}

early_refusal::outlook early_refusal::lookAhead(const request_ahead& request, mono_time now)
{
    outlook ahead;
    ahead.bare = request.engine;
    for (const stage_ahead& stage : request.stages) {
        ahead.bare += stage.call;
        const auto known = wait(stage.pool, now);
        if (!known)
            continue;
        sampleTrend(stage.pool, *known, now);
        ahead.waits += *known;
        const bool isShort = toSeconds(*known) > m_options.shortageCalls * toSeconds(stage.fullCall);
        if (isShort && *known > ahead.bottleneckWait) {
            ahead.bottleneck = &stage;
            ahead.bottleneckWait = *known;
        }
    }
    return ahead;
}

std::pair<const stage_ahead*, double> early_refusal::likeliestRefusal(const request_ahead& request, mono_time now)
{
    std::pair<const stage_ahead*, double> likeliest { nullptr, 0 };
    for (const stage_ahead& stage : request.stages) {
        const auto known = wait(stage.pool, now);
        const bool recovered = known && toSeconds(*known) <= m_options.shortageCalls * toSeconds(stage.fullCall);
        const double share = recovered ? 0 : refusedShare(stage.pool, request.kind, now);
        if (share > likeliest.second)
            likeliest = { &stage, share };
    }
    return likeliest;
}

bool early_refusal::missesDeadline(const request_ahead& request, const outlook& ahead, mono_time now) const
{
    if (!ahead.bottleneck || now + ahead.bare + ahead.waits <= request.deadline)
        return false;
    // A wait counts late work, which requests with slack overtake. What this kind has met there lately is nearer.
    return !passes(ahead.bottleneck->pool, request.kind, now);
}

early_verdict early_refusal::beforeFirstStage(const request_ahead& request, mono_time now)
{
    const outlook ahead = lookAhead(request, now);
    if (missesDeadline(request, ahead, now)) {
        // A wait that is wrong would otherwise keep all requests away from the pool that could disprove it.
        if (m_refusalsInRow >= m_options.refusalsPerArrival) {
            m_refusalsInRow = 0;
            return early_verdict::Proceed;
        }
        m_refusalsInRow += 1;
        return early_verdict::MissesDeadline;
    }
    const auto [stage, share] = likeliestRefusal(request, now);
    if (!stage)
        return early_verdict::Proceed;
    if (m_preferredAdmissions + 1 >= m_options.admissionsPerArrival
        || m_refusalsInRow >= m_options.refusalsPerArrival) {
        m_preferredAdmissions = 0;
        m_refusalsInRow = 0;
        return early_verdict::Proceed;
    }
    const bool late = now + ahead.bare + ahead.waits > request.targetTime;
    const double moved = m_options.movedShare + m_options.priorityStep * (static_cast<double>(request.priority) - 1)
        + (late ? m_options.lateStep : 0);
    // Refusals tell of work that was queued seconds ago. A long wait tells of those to come.
    double ramp = 0;
    if (ahead.bottleneck) {
        const double used = toSeconds(ahead.waits) / toSeconds(request.deadline - now - ahead.bare);
        ramp = (used - m_options.rampStart) / (m_options.rampEnd - m_options.rampStart);
    }
    if (uniform(m_random) < std::clamp(std::max(share * moved, ramp), 0.0, 1.0)) {
        record(stage->pool, request.kind, stage_end::RefusedEarly, now);
        m_refusalsInRow += 1;
        return early_verdict::Shortage;
    }
    m_refusalsInRow = 0;
    m_preferredAdmissions += 1;
    return early_verdict::Proceed;
}

early_verdict early_refusal::beforeNextStage(const request_ahead& request, mono_time now)
{
    const outlook ahead = lookAhead(request, now);
    // The work that was spent is not given up for a reported wait alone.
    const bool late
        = missesDeadline(request, ahead, now) && refusedShare(ahead.bottleneck->pool, request.kind, now) > 0;
    return late ? early_verdict::MissesDeadline : early_verdict::Proceed;
}

std::optional<duration> early_refusal::retryAfter(const request_ahead& request, mono_time now)
{
    const outlook ahead = lookAhead(request, now);
    if (!ahead.bottleneck)
        return std::nullopt;
    // A queue that gets no new work falls by one second per second. Returning callers and others slow this down.
    const double fall = std::clamp(-m_pools[ahead.bottleneck->pool].trend, m_options.slowestFall, 1.0);
    const double room = m_options.shortageCalls * toSeconds(ahead.bottleneck->fullCall);
    const duration untilRoom
        = std::min(m_options.maxUntilRoom, fromSeconds((toSeconds(ahead.bottleneckWait) - room) / fall));
    const duration minimum = m_options.minRetryAfter;
    const duration earliest = std::max(minimum, untilRoom);
    const duration unlimited = earliest + std::max(m_options.maxRetryAfter - minimum, untilRoom / 2);
    duration latest = unlimited;
    const duration left = request.deadline - now;
    // A caller without time for a second attempt gets the true value.
    if (left - minimum > ahead.bare) {
        latest = std::min(latest, std::max(minimum, fromSeconds(toSeconds(left) * m_options.maxRetryShare)));
        // A caller that returns within its target may still be served in time.
        const duration beforeTarget
            = fromSeconds(toSeconds(request.targetTime - now - ahead.bare) * m_options.maxTargetShare);
        if (beforeTarget > minimum)
            latest = std::min(latest, beforeTarget);
    }
    // Where a limit leaves no spread, the callers return over its later half.
    const duration first = latest == unlimited ? earliest : std::max(minimum, std::min(earliest, latest / 2));
    return first + fromSeconds(toSeconds(std::max(latest - first, duration::zero())) * uniform(m_random));
}

} // namespace balsamspring

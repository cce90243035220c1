#include "balsamspring/admission/pool_scheduler.h"

#include <algorithm>
#include <cmath>

namespace balsamspring {

namespace {

constexpr duration rateUpdateInterval = std::chrono::milliseconds(50);

} // namespace

pool_scheduler::pool_scheduler(pool_scheduler_options options)
    : m_options(options)
    , m_queue(options.queue)
{
}

admission_decision pool_scheduler::admit(const pool_request& request, mono_time now)
{
    const std::uint32_t level = fair_queue::levelOf(request.priority, request.started);
    const duration wait = predictedWait(request.team, request.weight, request.lengthClass, level, now);
    std::vector<stage_forecast> requiredStages;
    for (const stage_forecast& stage : request.stages) {
        if (!stage.skippable)
            requiredStages.push_back(stage);
    }
    const duration completion
        = fromSeconds(toSeconds(wait) * m_options.waitSafetyFactor) + request.laterWaits + combinedP99(requiredStages);
    const duration remaining = request.deadline - now;
    if (completion <= remaining)
        return { .admitted = true, .predictedWait = wait };
    if (!request.stages.empty())
        addDemand(request.lengthClass, request.stages.front().median, now);
    // The predicted wait has to drop by the excess. It drops by one second per second while the queue drains.
    const duration excess = completion - remaining;
    const duration retryAfter = std::clamp(excess, m_options.minimumRetryAfter, m_options.maximumRetryAfter);
    return { .admitted = false, .predictedWait = wait, .retryAfter = retryAfter };
}

void pool_scheduler::enqueue(queued_work work)
{
    addDemand(work.lengthClass, work.predicted, work.enqueued);
    m_queue.push(std::move(work));
}

std::size_t pool_scheduler::dispatch(mono_time now, const fair_queue::start_function& start)
{
    for (drain_state& drain : m_drains)
        drain.blocked = false;
    const auto startAndCount = [&](const queued_work& work) {
        drain_state& drain = m_drains[indexOf(work.lengthClass)];
        const start_result result = hasCapacity(work.lengthClass) ? start(work) : start_result::ClassFull;
        if (result == start_result::Started) {
            ++drain.running;
            drain.startedService += toSeconds(work.predicted);
        } else if (result == start_result::ClassFull) {
            drain.blocked = true;
        } else {
            updateParallelism(true);
            for (drain_state& state : m_drains)
                state.blocked = true;
        }
        return result;
    };
    const std::size_t count = m_queue.dispatch(now, startAndCount);
    updateParallelism(false);
    for (drain_state& drain : m_drains)
        updateRate(drain, now);
    return count;
}

void pool_scheduler::finished(length_class lengthClass)
{
    drain_state& drain = m_drains[indexOf(lengthClass)];
    drain.running -= std::min(drain.running, 1U);
}

void pool_scheduler::reclassify(length_class from, length_class to)
{
    finished(from);
    ++m_drains[indexOf(to)].running;
}

std::size_t pool_scheduler::running() const
{
    std::size_t sum = 0;
    for (const drain_state& drain : m_drains)
        sum += drain.running;
    return sum;
}

double pool_scheduler::reservedCapacity(std::size_t classIndex) const
{
    double reserved = 0;
    for (std::size_t shorter = 0; shorter < classIndex; ++shorter)
        reserved += std::min(m_drains[shorter].demand, m_parallelism / lengthClassCount);
    return reserved;
}

bool pool_scheduler::hasCapacity(length_class lengthClass) const
{
    if (m_parallelism <= 0)
        return true;
    double runningSameOrLonger = 0;
    for (std::size_t index = indexOf(lengthClass); index < lengthClassCount; ++index)
        runningSameOrLonger += m_drains[index].running;
    return runningSameOrLonger + 1 <= std::max(1.0, m_parallelism - reservedCapacity(indexOf(lengthClass)));
}

void pool_scheduler::addDemand(length_class lengthClass, duration predicted, mono_time now)
{
    drain_state& drain = m_drains[indexOf(lengthClass)];
    const double halfLife = toSeconds(m_options.demandHalfLife);
    const double elapsed = std::max(toSeconds(now - drain.demandUpdatedAt), 0.0);
    drain.demandUpdatedAt = std::max(drain.demandUpdatedAt, now);
    // The sum decays exponentially and is scaled so that a constant load yields its seconds of service per second.
    drain.demand = drain.demand * std::exp2(-elapsed / halfLife) + toSeconds(predicted) * std::log(2.0) / halfLife;
}

void pool_scheduler::updateParallelism(bool poolFull)
{
    const auto runningNow = static_cast<double>(running());
    if (!poolFull) {
        // Only a full pool reveals its capacity. More running work than the estimate shows that the pool has grown.
        m_parallelism = m_parallelism > 0 ? std::max(m_parallelism, runningNow) : 0;
        return;
    }
    constexpr double gain = 0.1;
    m_parallelism = m_parallelism > 0 ? m_parallelism + gain * (runningNow - m_parallelism) : runningNow;
}

void pool_scheduler::updateRate(drain_state& state, mono_time now) const
{
    const duration elapsed = now - state.rateUpdatedAt;
    if (elapsed < rateUpdateInterval)
        return;
    const double seconds = toSeconds(elapsed);
    const double decayFactor = std::exp2(-seconds / toSeconds(m_options.rateHalfLife));
    state.rate = state.rate * decayFactor + state.startedService / seconds * (1 - decayFactor);
    state.startedService = 0;
    state.rateUpdatedAt = now;
}

double pool_scheduler::drainRate(const drain_state& state) const
{
    // Each running item frees a slot after its service time, so `running` seconds of service drain per second even
    // before any item has finished. The measured rate is higher when several classes share the slots.
    return std::max({ state.rate, static_cast<double>(state.running), 1.0 });
}

duration pool_scheduler::predictedWait(
    const team_id& team, std::uint32_t weight, length_class lengthClass, std::uint32_t level, mono_time now) const
{
    const drain_state& drain = m_drains[indexOf(lengthClass)];
    const duration backlogAhead = m_queue.workAhead(lengthClass, level);
    if (!drain.blocked || backlogAhead <= duration::zero())
        return duration::zero();
    const double rate = drainRate(drain);
    const double waitByBacklog = toSeconds(backlogAhead) / rate;
    // Fair queueing isolates a team from the backlog of other teams: it waits for more urgent levels and its own lag.
    const duration moreUrgentBacklog = level ? m_queue.workAhead(lengthClass, level - 1) : duration::zero();
    const double totalWeight = std::max(m_queue.waitingWeight(lengthClass, level), weight);
    const double waitByShare
        = (toSeconds(moreUrgentBacklog) + m_queue.virtualLag(team, lengthClass, level) * totalWeight) / rate;
    const duration predicted = fromSeconds(std::min(waitByBacklog, waitByShare));
    // Teams that use their share without queueing do not appear in the queue. Their load shows only in the rate at
    // which this team has actually been served.
    return std::max(predicted, m_queue.observedWait(team, lengthClass, level, now).value_or(duration::zero()));
}

} // namespace balsamspring

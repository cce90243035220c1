#include "balsamspring/admission/fair_queue.h"

#include <algorithm>

namespace balsamspring {

namespace {

// Work without a forecast has a minimum cost, because a team could otherwise send an unlimited amount of it at no cost.
constexpr double minimumCostSeconds = 0.001;

// Limits how long past service counts in the share of starved work: both sums are halved when the total exceeds this.
constexpr double shareWindowSeconds = 200;

// The rate at which a waiting team is served is measured over about this window. No rate is reported before
// `minimumObservation` has passed.
constexpr duration observationWindow = std::chrono::seconds(4);
constexpr duration minimumObservation = std::chrono::milliseconds(500);

double costOf(const queued_work& work) { return std::max(toSeconds(work.predicted), minimumCostSeconds); }

} // namespace

fair_queue::fair_queue(fair_queue_options options)
    : m_options(options)
{
}

std::uint32_t fair_queue::levelOf(std::uint32_t priority, bool started)
{
    // New work of priority p has level 2p + 2. Started work has level 2p, the same as new work of priority p - 1.
    return started ? 2 * priority : 2 * priority + 2;
}

void fair_queue::push(queued_work work)
{
    level_state& level = m_levels[levelOf(work.priority, work.started)];
    class_state& state = level.classes[indexOf(work.lengthClass)];
    const double startTag = nextStartTag(state, work.team);
    state.finishTags[work.team] = startTag + costOf(work) / std::max(work.weight, 1U);

    const queue_position position { startTag, work.id };
    state.waiting.insert(position);
    level.byAge.emplace(work.enqueued, work.id);
    m_byLatestStart.emplace(work.latestStart, work.id);
    addBacklog(state, work);
    const std::uint64_t id = work.id;
    m_entries.emplace(id, entry { std::move(work), position });
}

std::optional<queued_work> fair_queue::remove(std::uint64_t id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return std::nullopt;
    queued_work work = found->second.work;
    erase(id);
    return work;
}

std::vector<queued_work> fair_queue::takeExpired(mono_time now)
{
    std::vector<queued_work> expired;
    while (!m_byLatestStart.empty() && m_byLatestStart.begin()->first < now)
        expired.push_back(*remove(m_byLatestStart.begin()->second));
    return expired;
}

std::size_t fair_queue::dispatch(mono_time now, const start_function& start)
{
    std::size_t count = 0;
    blocked_classes blocked {};
    while (!m_entries.empty()) {
        const entry* next = nextStarved(now, blocked);
        const bool starved = next;
        if (!next)
            next = nextInOrder(blocked);
        if (!next)
            break;
        const start_result result = start(next->work);
        if (result == start_result::PoolFull)
            break;
        if (result == start_result::ClassFull) {
            blocked[indexOf(next->work.lengthClass)] = true;
            continue;
        }
        recordStart(*next, starved, now);
        erase(next->work.id);
        ++count;
    }
    return count;
}

duration fair_queue::workAhead(length_class lengthClass, std::uint32_t level) const
{
    duration sum {};
    for (const auto& [number, state] : m_levels) {
        if (number > level)
            break;
        sum += state.classes[indexOf(lengthClass)].backlog;
    }
    return sum;
}

double fair_queue::virtualLag(const team_id& team, length_class lengthClass, std::uint32_t level) const
{
    const class_state* state = findClass(lengthClass, level);
    return state ? std::max(0.0, nextStartTag(*state, team) - state->virtualTime) : 0;
}

double fair_queue::nextStartTag(const class_state& state, const team_id& team) const
{
    // A team that used less than its share may start up to `credit` behind the virtual time, so that its bursts are
    // served first.
    const double earliest = state.virtualTime - toSeconds(m_options.credit);
    const auto found = state.finishTags.find(team);
    return found == state.finishTags.end() ? earliest : std::max(earliest, found->second);
}

std::optional<duration> fair_queue::observedWait(
    const team_id& team, length_class lengthClass, std::uint32_t level, mono_time now) const
{
    const class_state* state = findClass(lengthClass, level);
    if (!state)
        return std::nullopt;
    const auto found = state->teams.find(team);
    if (found == state->teams.end() || now - found->second.windowStart < minimumObservation)
        return std::nullopt;
    const team_backlog& backlog = found->second;
    const double rate = toSeconds(backlog.started) / toSeconds(now - backlog.windowStart);
    if (rate <= 0)
        return std::nullopt;
    return fromSeconds(toSeconds(backlog.waiting) / rate);
}

std::uint32_t fair_queue::waitingWeight(length_class lengthClass, std::uint32_t level) const
{
    const class_state* state = findClass(lengthClass, level);
    return state ? state->waitingWeight : 0;
}

const fair_queue::class_state* fair_queue::findClass(length_class lengthClass, std::uint32_t level) const
{
    const auto found = m_levels.find(level);
    return found == m_levels.end() ? nullptr : &found->second.classes[indexOf(lengthClass)];
}

void fair_queue::erase(std::uint64_t id)
{
    const auto found = m_entries.find(id);
    const queued_work& work = found->second.work;
    const auto levelPosition = m_levels.find(levelOf(work.priority, work.started));
    level_state& level = levelPosition->second;
    class_state& state = level.classes[indexOf(work.lengthClass)];
    state.waiting.erase(found->second.position);
    removeBacklog(state, work);
    level.byAge.erase({ work.enqueued, id });
    m_byLatestStart.erase({ work.latestStart, id });
    m_entries.erase(found);
    // Discards the tags of an idle level, so that the state does not grow with the number of teams ever seen.
    if (level.byAge.empty())
        m_levels.erase(levelPosition);
}

void fair_queue::addBacklog(class_state& state, const queued_work& work)
{
    state.backlog += work.predicted;
    const auto [position, added] = state.teams.try_emplace(work.team);
    team_backlog& team = position->second;
    if (added) {
        team.weight = std::max(work.weight, 1U);
        team.windowStart = work.enqueued;
        state.waitingWeight += team.weight;
    }
    ++team.count;
    team.waiting += work.predicted;
}

void fair_queue::removeBacklog(class_state& state, const queued_work& work)
{
    state.backlog -= work.predicted;
    const auto position = state.teams.find(work.team);
    team_backlog& team = position->second;
    team.waiting -= work.predicted;
    if (--team.count)
        return;
    state.waitingWeight -= team.weight;
    state.teams.erase(position);
}

const fair_queue::entry* fair_queue::nextStarved(mono_time now, const blocked_classes& blocked) const
{
    if (m_starvedService > m_options.starvedShare * m_totalService)
        return nullptr;
    // Selects the oldest work of all levels, so that a backlog of urgent work does not consume the share reserved for
    // starved work.
    const entry* oldest = nullptr;
    for (const auto& [number, level] : m_levels) {
        const entry& candidate = m_entries.at(level.byAge.begin()->second);
        if (blocked[indexOf(candidate.work.lengthClass)] || now - candidate.work.enqueued <= m_options.starvationBound)
            continue;
        if (!oldest || candidate.work.enqueued < oldest->work.enqueued)
            oldest = &candidate;
    }
    return oldest;
}

const fair_queue::entry* fair_queue::nextInOrder(const blocked_classes& blocked) const
{
    for (const auto& [number, level] : m_levels) {
        const class_state* best = nullptr;
        for (const length_class lengthClass : allLengthClasses) {
            const class_state& state = level.classes[indexOf(lengthClass)];
            if (blocked[indexOf(lengthClass)] || state.waiting.empty())
                continue;
            if (!best || state.startTag < best->startTag)
                best = &state;
        }
        if (best)
            return &m_entries.at(best->waiting.begin()->id);
    }
    return nullptr;
}

void fair_queue::recordStart(const entry& started, bool starved, mono_time now)
{
    level_state& level = m_levels[levelOf(started.work.priority, started.work.started)];
    class_state& state = level.classes[indexOf(started.work.lengthClass)];
    const double cost = costOf(started.work);
    state.virtualTime = std::max(state.virtualTime, started.position.startTag);
    team_backlog& team = state.teams.at(started.work.team);
    team.started += started.work.predicted;
    if (now - team.windowStart > observationWindow) {
        team.windowStart += (now - team.windowStart) / 2;
        team.started /= 2;
    }
    state.startTag = std::max(state.startTag, level.virtualTime);
    level.virtualTime = state.startTag;
    state.startTag += cost;
    m_totalService += cost;
    if (starved)
        m_starvedService += cost;
    if (m_totalService > shareWindowSeconds) {
        m_totalService /= 2;
        m_starvedService /= 2;
    }
}

} // namespace balsamspring

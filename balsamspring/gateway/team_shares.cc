#include "balsamspring/gateway/team_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace balsamspring {

team_shares::team_shares(team_shares_options options)
    : m_options(options)
{
}

double team_shares::decayedDemand(const team_state& team, mono_time now) const
{
    return team.demand * std::exp(-toSeconds(now - team.updatedAt) / toSeconds(m_options.demandWindow));
}

double team_shares::decayedUsual(const team_state& team) const
{
    return team.usual * std::exp(-toSeconds(m_usualClock - team.usualClock) / toSeconds(m_options.usualWindow));
}

double team_shares::burstOf(const team_state& team) const
{
    return std::max(m_options.minBurst, team.allowance * toSeconds(m_options.burst));
}

bool team_shares::admit(const team_id& team, double amount, double capacity, mono_time now)
{
    const auto [found, added] = m_teams.try_emplace(team);
    team_state& state = found->second;
    if (added)
        state.usualClock = m_usualClock;
    state.demand = decayedDemand(state, now) + amount / toSeconds(m_options.demandWindow);
    state.updatedAt = now;
    if (!m_congested) {
        state.usual = decayedUsual(state) + amount / toSeconds(m_options.usualWindow);
        state.usualClock = m_usualClock;
    }
    if (now - m_refreshedAt >= m_options.refreshInterval)
        refresh(capacity, now);
    if (std::isinf(state.allowance))
        return true;
    const double refill = state.allowance * toSeconds(now - state.refilledAt);
    state.tokens = std::min(burstOf(state), state.tokens + refill);
    state.refilledAt = now;
    if (state.tokens < amount)
        return false;
    state.tokens -= amount;
    return true;
}

void team_shares::refresh(double capacity, mono_time now)
{
    struct active_team {
        const team_id* id;
        team_state* state;
        double demand;
        double weight;
        double ratio() const { return demand / weight; }
    };
    std::erase_if(m_teams, [&](const auto& entry) { return now - entry.second.updatedAt > m_options.lifetime; });
    if (!m_congested && m_refreshedAt != mono_time())
        m_usualClock += std::min<duration>(now - m_refreshedAt, m_options.demandWindow);
    m_refreshedAt = now;
    std::vector<active_team> active;
    double totalDemand = 0;
    double totalUsual = 0;
    for (auto& [id, state] : m_teams) {
        active.push_back({ &id, &state, decayedDemand(state, now), decayedUsual(state) });
        totalDemand += active.back().demand;
        totalUsual += active.back().weight;
    }
    m_congested = totalDemand > capacity;
    const double minWeight = m_options.minWeightShare * totalUsual / static_cast<double>(active.size());
    for (active_team& team : active)
        team.weight = std::max({ team.weight, minWeight, std::numeric_limits<double>::min() });
    std::sort(
        active.begin(), active.end(), [](const active_team& a, const active_team& b) { return a.ratio() < b.ratio(); });
    const double surgeRatio = m_options.surgeFactor * active[active.size() / 2].ratio();
    // Water-filling: each team gets its demand, or a level in proportion to its weight that exhausts the capacity.
    double remaining = m_options.usableCapacity * capacity;
    double remainingWeight = 0;
    for (const active_team& team : active)
        remainingWeight += team.weight;
    for (const active_team& team : active) {
        const double level = remaining / remainingWeight;
        const double excess = team.demand - std::max(level, surgeRatio) * team.weight;
        const bool limited = m_congested && excess > m_options.minExcessShare * (totalDemand - capacity);
        remaining = std::max(0.0, remaining - std::min(team.demand, std::max(level, 0.0) * team.weight));
        remainingWeight -= team.weight;
        if (!limited) {
            team.state->allowance = std::numeric_limits<double>::infinity();
            continue;
        }
        const bool newlyLimited = std::isinf(team.state->allowance);
        team.state->allowance = level * team.weight;
        if (!newlyLimited)
            continue;
        team.state->refilledAt = now;
        team.state->tokens = 0;
        m_newlyLimited[*team.id] = burstOf(*team.state);
    }
}

double team_shares::allowance(const team_id& team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? std::numeric_limits<double>::infinity() : found->second.allowance;
}

double team_shares::demand(const team_id& team, mono_time now) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : decayedDemand(found->second, now);
}

} // namespace balsamspring

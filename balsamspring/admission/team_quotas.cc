#include "balsamspring/admission/team_quotas.h"

#include <algorithm>

namespace balsamspring {

team_quotas::team_quotas(team_quota_options options)
    : m_options(options)
{
}

void team_quotas::setLimit(const team_id& team, double requestsPerSecond)
{
    if (requestsPerSecond <= 0)
        m_buckets.erase(team);
    else
        m_buckets[team].limit = requestsPerSecond;
}

void team_quotas::setLiveVms(std::uint32_t count, mono_time now)
{
    count = std::max(count, 1U);
    const std::uint32_t effective = effectiveVms(now);
    if (count == m_liveVms)
        return;
    if (count < effective) {
        m_previousVms = effective;
        m_decreasedAt = now;
    } else {
        m_previousVms = count;
    }
    m_liveVms = count;
}

std::uint32_t team_quotas::effectiveVms(mono_time now) const
{
    const bool recentDecrease = m_liveVms < m_previousVms && now - m_decreasedAt < m_options.shrinkDelay;
    return recentDecrease ? m_previousVms : m_liveVms;
}

bool team_quotas::tryAdmit(const team_id& team, mono_time now, duration& retryAfter)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return true;
    bucket& state = found->second;
    refill(state, now);
    if (state.tokens >= 1) {
        state.tokens -= 1;
        return true;
    }
    retryAfter = fromSeconds((1 - state.tokens) / sharePerVm(state, now));
    return false;
}

double team_quotas::sharePerVm(const bucket& state, mono_time now) const { return state.limit / effectiveVms(now); }

void team_quotas::refill(bucket& state, mono_time now) const
{
    if (!state.initialized) {
        state.initialized = true;
        state.refilledAt = now;
        return;
    }
    const double share = sharePerVm(state, now);
    const double capacity = std::max(1.0, share * toSeconds(m_options.burst));
    const double added = share * toSeconds(std::max(now - state.refilledAt, duration::zero()));
    state.tokens = std::min(capacity, state.tokens + added);
    state.refilledAt = now;
}

} // namespace balsamspring

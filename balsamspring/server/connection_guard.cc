#include "balsamspring/server/connection_guard.h"

#include <algorithm>

namespace balsamspring {

connection_guard::connection_guard(const guard_options& options)
    : m_options(options)
{
}

std::string connection_guard::judge(const connection_sample& sample, connection_state& state, mono_time now) const
{
    if (sample.sent != state.sent) {
        state.sent = sample.sent;
        state.receivedAtAnswer = sample.received;
        state.quietSince = now;
        state.inRequest = false;
        return {};
    }
    const std::uint64_t unanswered = sample.received - state.receivedAtAnswer;
    if (unanswered && !state.inRequest) {
        state.inRequest = true;
        state.requestSince = now;
    }
    if (unanswered > m_options.requestBytes)
        return "too_large";
    if (state.inRequest && now - state.requestSince >= m_options.requestLimit + m_longestDeadline)
        return "too_slow";
    if (!state.inRequest && now - state.quietSince >= m_options.idleLimit)
        return "idle";
    return {};
}

std::vector<guard_verdict> connection_guard::check(const std::vector<connection_sample>& open, mono_time now)
{
    std::vector<guard_verdict> verdicts;
    for (auto& [id, state] : m_connections)
        state.seen = false;
    for (const connection_sample& sample : open) {
        connection_state& state
            = m_connections.try_emplace(sample.id, connection_state { 0, 0, now, now }).first->second;
        state.seen = true;
        std::string reason = judge(sample, state, now);
        if (!reason.empty())
            verdicts.push_back({ sample.id, std::move(reason) });
    }
    std::erase_if(m_connections, [](const auto& entry) { return !entry.second.seen; });
    if (m_connections.size() <= m_options.connections)
        return verdicts;

    // The connections that have been idle for the longest make room.
    std::vector<std::pair<mono_time, std::uint64_t>> idle;
    for (const auto& [id, state] : m_connections) {
        if (!state.inRequest)
            idle.emplace_back(state.quietSince, id);
    }
    std::sort(idle.begin(), idle.end());
    const std::size_t excess = std::min(idle.size(), m_connections.size() - m_options.connections);
    for (std::size_t i = 0; i < excess; ++i)
        verdicts.push_back({ idle[i].second, "too_many" });
    return verdicts;
}

} // namespace balsamspring

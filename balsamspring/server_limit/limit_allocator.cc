#include "balsamspring/server_limit/limit_allocator.h"

#include <algorithm>
#include <cmath>

namespace balsamspring {

limit_allocator::limit_allocator(limit_allocator_options options)
    : m_options(options)
{
}

bool limit_allocator::reported(const limit_report& report, mono_time now)
{
    auto found = m_servers.find(report.server);
    const bool added = found == m_servers.end();
    if (added) {
        if (m_servers.size() >= m_options.maxServers)
            return false;
        found = m_servers.try_emplace(report.server).first;
        found->second.refilledAt = now;
    }
    known_server& known = found->second;
    known.reportedAt = now;
    // What a VM has learned from a collector is used only where nobody has heard the server itself.
    if (!report.heard && (known.heard || !report.rate))
        return true;
    const mono_time statedAt = now - report.age - (report.rate ? duration::zero() : m_options.reportDelay);
    if (added || (report.heard && !known.heard) || statedAt > known.statedAt) {
        known.rate = report.rate;
        known.statedAt = statedAt;
        known.heard = report.heard;
    }
    return true;
}

unsigned limit_allocator::grant(server_process server, unsigned wanted, double share, mono_time now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.rate)
        return 0;
    known_server& known = found->second;
    const double perSecond = known.rate->perSecond * m_options.usedShare * std::clamp(share, 0.0, 1.0);
    const double mostSaved = 1 + perSecond * toSeconds(m_options.savedFor);
    known.permits = std::min(mostSaved, known.permits + perSecond * toSeconds(now - known.refilledAt));
    known.refilledAt = now;
    const auto granted = static_cast<unsigned>(std::min<double>(wanted, std::floor(known.permits)));
    known.permits -= granted;
    return granted;
}

void limit_allocator::forEach(mono_time now,
    const std::function<void(server_process, const std::optional<request_rate>&, duration age)>& action) const
{
    for (const auto& [process, known] : m_servers)
        action(process, known.rate, std::max(duration::zero(), now - known.statedAt));
}

void limit_allocator::expire(mono_time now)
{
    std::erase_if(m_servers, [&](const auto& item) { return now - item.second.reportedAt >= m_options.memory; });
}

} // namespace balsamspring

#include "balsamspring/admission/cost_accounts.h"

#include <algorithm>

namespace balsamspring {

cost_entry& cost_entry::operator+=(const cost_entry& other)
{
    calls += other.calls;
    tokens += other.tokens;
    wastedTokens += other.wastedTokens;
    service += other.service;
    wastedService += other.wastedService;
    return *this;
}

cost_accounts::cost_accounts(cost_account_options options)
    : m_options(options)
{
}

void cost_accounts::record(const team_id& team, const stage_ref& stage, const cost_entry& cost)
{
    m_byStage[stage] += cost;
    m_byTeam[team] += cost;
    if (m_byTeam.size() > m_options.maximumTeams)
        mergeSmallestAccounts();
}

void cost_accounts::mergeSmallestAccounts()
{
    // Merges a tenth of the accounts at once, so that the scan over all accounts is rare.
    const std::size_t count = std::max<std::size_t>(1, m_options.maximumTeams / 10);
    std::vector<std::pair<duration, team_id>> byServiceTime;
    byServiceTime.reserve(m_byTeam.size());
    for (const auto& [team, entry] : m_byTeam)
        byServiceTime.emplace_back(entry.service, team);
    std::partial_sort(
        byServiceTime.begin(), byServiceTime.begin() + static_cast<std::ptrdiff_t>(count), byServiceTime.end());
    for (std::size_t i = 0; i < count; ++i) {
        const auto found = m_byTeam.find(byServiceTime[i].second);
        m_otherTeams += found->second;
        m_byTeam.erase(found);
    }
}

} // namespace balsamspring

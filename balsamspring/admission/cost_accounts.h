// Accounts for service time and tokens by pipeline stage and by team.
#pragma once

#include "balsamspring/admission/stage_estimator.h"
#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace balsamspring {

struct cost_entry {
    std::uint64_t calls = 0;
    std::uint64_t tokens = 0;
    // Tokens whose output was not delivered: the caller had disconnected, another hedged attempt had won, or the run
    // was abandoned.
    std::uint64_t wastedTokens = 0;
    duration service {};
    duration wastedService {};

    cost_entry& operator+=(const cost_entry& other);
};

struct cost_account_options {
    // Teams with an account of their own. The cost of all other teams is summed in one account.
    std::size_t maximumTeams = 200;
};

// The options bound the memory and the number of metric labels, regardless of the number of teams. Not thread safe.
class cost_accounts {
public:
    explicit cost_accounts(cost_account_options options = {});

    void record(const team_id& team, const stage_ref& stage, const cost_entry& cost);

    const std::unordered_map<stage_ref, cost_entry, stage_ref_hash>& byStage() const { return m_byStage; }
    const std::unordered_map<team_id, cost_entry>& byTeam() const { return m_byTeam; }
    const cost_entry& otherTeams() const { return m_otherTeams; }

private:
    void mergeSmallestAccounts();

    cost_account_options m_options;
    std::unordered_map<stage_ref, cost_entry, stage_ref_hash> m_byStage;
    std::unordered_map<team_id, cost_entry> m_byTeam;
    cost_entry m_otherTeams;
};

} // namespace balsamspring

// Shares the capacity of a pool between teams.
//
// Load pattern: one team sends many times its usual traffic. Without shares, its requests fill the queue of every pool,
// and the requests of all other teams become late. While the demand for a pool exceeds its capacity, a team that
// surges, compared with its own usual traffic and with how the other teams behave, gets what the others leave, and at
// least its usual share. The excess is served only when nothing else waits. When the traffic of all teams rises alike,
// no team is limited.
//
// All calls of one pool pass through the VM that gathers for it, so that one VM sees the whole demand. The usual
// traffic is relearned after another VM has taken over.
//
// Performs no I/O. Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <limits>
#include <map>
#include <utility>

namespace balsamspring {

struct team_shares_options {
    // Time over which the current demand is averaged.
    duration demandWindow = std::chrono::milliseconds(1500);
    // Time over which the usual demand is averaged. Time in which the demand exceeds the capacity does not count.
    duration usualWindow = std::chrono::seconds(120);
    // A team surges if its demand, relative to its usual demand, exceeds that of the median team by this factor.
    double surgeFactor = 1.5;
    // A team is limited only if it causes at least this share of the demand above the capacity. The traffic of a small
    // team exceeds its usual by chance.
    double minExcessShare = 0.1;
    // Share of the capacity that is given away. The rest keeps the queue short when traffic varies by chance.
    double usableCapacity = 0.95;
    // The usual demand of a team counts as at least this share of the mean of all teams, so that a new team is served.
    double minWeightShare = 0.25;
    // Work that a surging team may submit at once: its share of this time, but at least `minBurst`.
    duration burst = std::chrono::milliseconds(500);
    double minBurst = 64;
    // Time between two computations of the shares.
    duration refreshInterval = std::chrono::milliseconds(100);
    // A team without work for this long is forgotten.
    duration lifetime = std::chrono::minutes(10);
};

class team_shares {
public:
    explicit team_shares(team_shares_options options = {});

    // Records `amount` of new work of the team, and returns whether it is within the team's share. `capacity` is the
    // amount that the pool serves in a second.
    bool admit(const team_id& team, double amount, double capacity, mono_time now);

    // The teams that have become limited since the last call, with the amount of their waiting work that is within
    // their share. A surge is noticed only after its first work has been admitted.
    std::map<team_id, double> takeNewlyLimited() { return std::exchange(m_newlyLimited, {}); }

    // Amount per second that the team may submit. Infinite if it is not limited.
    double allowance(const team_id& team) const;
    // Current demand of the team, amount per second.
    double demand(const team_id& team, mono_time now) const;
    std::size_t teams() const { return m_teams.size(); }

private:
    struct team_state {
        double demand = 0; // as of updatedAt
        double usual = 0; // as of usualClock
        mono_time updatedAt {};
        duration usualClock {};
        double allowance = std::numeric_limits<double>::infinity();
        double tokens = 0;
        mono_time refilledAt {};
    };

    double decayedDemand(const team_state& team, mono_time now) const;
    double decayedUsual(const team_state& team) const;
    void refresh(double capacity, mono_time now);
    double burstOf(const team_state& team) const;

    team_shares_options m_options;
    std::map<team_id, team_state> m_teams;
    mono_time m_refreshedAt {};
    // Time that counts for the usual demand.
    duration m_usualClock {};
    bool m_congested = false;
    std::map<team_id, double> m_newlyLimited;
};

} // namespace balsamspring

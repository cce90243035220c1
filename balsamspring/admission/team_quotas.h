// Enforces teams' request rate limits across all VMs without messages on the request path.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <unordered_map>

namespace balsamspring {

struct team_quota_options {
    // Capacity of a bucket, as time at the VM's share of the limit. A bucket holds at least one request.
    duration burst = std::chrono::seconds(1);
    duration shrinkDelay = std::chrono::seconds(30); // a decrease in the number of VMs takes effect after this time
};

// Token buckets of teams; each VM enforces limit / live VMs. If the VMs count `seen` VMs while `actual` are running, a
// team's long-run rate is at most limit x actual / seen, and a burst exceeds it by at most one request per VM. Not
// thread safe.
class team_quotas {
public:
    explicit team_quotas(team_quota_options options = {});

    // Sets the limit in requests per second across all VMs; 0 means no limit.
    void setLimit(const team_id& team, double requestsPerSecond);

    // Sets the number of live entry VMs, including this one. An increase takes effect immediately, because the new VMs
    // admit requests as well. A decrease takes effect after `shrinkDelay`, because VMs that are merely suspected to
    // have failed still admit requests.
    void setLiveVms(std::uint32_t count, mono_time now);

    // Takes one token from the team's bucket. Returns false if the team is over its limit, and sets `retryAfter` to the
    // time until a request would be admitted.
    bool tryAdmit(const team_id& team, mono_time now, duration& retryAfter);

    // Returns the number of VMs among which limits are divided.
    std::uint32_t effectiveVms(mono_time now) const;

private:
    struct bucket {
        double limit = 0;
        double tokens = 1; // a new bucket holds one token, so that restarts do not add bursts
        mono_time refilledAt;
        bool initialized = false;
    };

    void refill(bucket& state, mono_time now) const;
    double sharePerVm(const bucket& state, mono_time now) const;

    team_quota_options m_options;
    std::uint32_t m_liveVms = 1;
    std::uint32_t m_previousVms = 1;
    mono_time m_decreasedAt;
    std::unordered_map<team_id, bucket> m_buckets;
};

} // namespace balsamspring

// Counters of one daemon in the Prometheus text format. Label values come from small fixed sets.
#pragma once

#include "balsamspring/admission/cost_accounts.h"
#include "balsamspring/base/time.h"
#include "balsamspring/execution/attempt_filter.h"
#include "balsamspring/routing/router_types.h"

#include <memory>
#include <string>
#include <string_view>

namespace balsamspring {

// Thread safe.
class metrics {
public:
    metrics();
    ~metrics();

    void refused(std::string_view reason);
    void retried(std::string_view reason);
    void runStarted();
    // `reason` is empty for a run that gave its answer.
    void runEnded(std::string_view reason, duration elapsed);
    void firstToken(duration elapsed);
    void tokenRelayed();
    void restarted();
    void resumed();
    void onCallerDisconnected();
    void framesDropped(const frame_counts& counts);
    void controlEventDropped();
    void connectionClosed(std::string_view reason);

    // Totals since the start, as the serving decisions count them.
    void observeServing(const cost_accounts& costs, const router_stats& routing);

    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

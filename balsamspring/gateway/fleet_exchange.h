// Exchanges reports and summaries with the other VMs. Sends this VM's reports to the collector, the VM that owns the
// name `fleet`, and is the collector for others while this VM owns it. Decisions: fleet_collector, fleet_view; for the
// limits of servers, limited_servers and limit_allocator.
#pragma once

#include "balsamspring/fleet/fleet_collector.h"
#include "balsamspring/fleet/fleet_view.h"
#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/pool_ownership.h"
#include "balsamspring/gateway/repeat_budget.h"
#include "balsamspring/net/event_loop.h"
#include "balsamspring/net/http_service.h"

#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace balsamspring {

inline constexpr std::string_view fleetPath = "/v1/fleet";

struct fleet_exchange_options {
    // Time between two reports of a VM without requests, and the longest that a collector can ask for.
    duration idleInterval = std::chrono::seconds(1);
    // Time between two reports of a VM with requests, unless the collector asks for a longer one.
    duration busyInterval = std::chrono::milliseconds(300);
    duration connectTimeout = std::chrono::milliseconds(250);
    // An answer that takes longer is not waited for. Longer than a connection takes to a VM that is busy.
    duration answerTimeout = std::chrono::milliseconds(800);
    duration idleReuse = std::chrono::seconds(3); // longest idle time of a connection that is reused
    std::size_t maxSummaryBytes = 64 * 1024; // ten times that of the largest deployment
    fleet_collector_options collector;
    fleet_view_options view;
};

struct fleet_exchange_hooks {
    // Whether this VM has requests in progress.
    std::function<bool()> busy;
    // Calls back with each server that this VM has calls or reservations at.
    std::function<void(const std::function<void(const backend_id&, unsigned)>&)> forEachCall;
    // As fleet_view_hooks::forEachServer.
    std::function<void(const std::function<void(const backend_id&, const pool_id&)>&)> forEachServer;
    // Calls back with each pool that this VM gathers for, and the wait of a new request.
    std::function<void(const std::function<void(const pool_id&, duration)>&)> forEachWait;
    // Calls back with what this VM reports about servers that have named a limit.
    std::function<void(const std::function<void(const limit_report&)>&)> forEachLimit;
    // As fleet_view_hooks::onLimits.
    std::function<void(std::span<const limit_summary>, bool follows, mono_time askedAt, mono_time now)> onLimits;
};

class fleet_exchange {
public:
    // The loop, the budget and the metrics must outlive this object and the loop's callbacks.
    fleet_exchange(fleet_exchange_options options, vm_id vm, zone_id zone, event_loop& loop, retry_budget& retryBudget,
        gateway_metrics& metrics, std::uint64_t seed, fleet_exchange_hooks hooks);
    ~fleet_exchange();

    // Begins to report. The ownership must outlive this object.
    void start(pool_ownership& ownership);
    const fleet_view& view() const;
    // Whether reportNow() may be called: there is a collector that answers, and it was not asked lately.
    bool canReportNow() const;
    // Reports without waiting for the next time, and calls back once: after the answer, or after `wait`.
    void reportNow(duration wait, std::function<void()> onAnswer);
    // Answers a report of another VM.
    void handle(const incoming_request& request, const std::shared_ptr<response_writer>& writer);
    // Sets the gauges.
    void updateMetrics();

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

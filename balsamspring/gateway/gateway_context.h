// Dependencies that the components of one gateway share. All objects are owned by the gateway and used only on the
// thread of its event loop.
#pragma once

#include "balsamspring/availability/cold_servers.h"
#include "balsamspring/base/log.h"
#include "balsamspring/base/random.h"
#include "balsamspring/early_refusal/early_refusal.h"
#include "balsamspring/gateway/backend_client.h"
#include "balsamspring/gateway/config_state.h"
#include "balsamspring/gateway/crash_quarantine.h"
#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/part_quarantine.h"
#include "balsamspring/gateway/repeat_budget.h"
#include "balsamspring/gateway/server_balancer.h"
#include "balsamspring/gateway/server_notices.h"
#include "balsamspring/gateway/server_registry.h"
#include "balsamspring/gateway/server_reports.h"
#include "balsamspring/gateway/stage_times.h"
#include "balsamspring/gateway/wire_adapter.h"
#include "balsamspring/net/event_loop.h"
#include "balsamspring/placement/engine_placement.h"

#include <functional>
#include <memory>
#include <span>

namespace balsamspring {

class piece_router;

struct gateway_context {
    event_loop& loop;
    const wire_adapter& adapter;
    zone_id zone;
    config_state& config;
    server_registry& servers;
    server_notices& notices;
    server_balancer& balancer;
    engine_placement& placement;
    retry_budget& retryBudget;
    stage_times& stageTimes;
    crash_quarantine& quarantine;
    part_quarantine& parts;
    backend_client& backendClient;
    server_reports& reports;
    piece_router& pieces;
    cold_servers& cold;
    limited_servers& limits;
    gateway_metrics& metrics;
    random_engine& random;
    // Probes a server that may have crashed during a request, and reports to the quarantine if it refuses connections.
    std::function<void(const server_entry&)> checkAlive;
    // Number of VMs of the system, 0 if unknown.
    std::function<unsigned()> fleetSize;
    // Claims the next probe of a blocked part for this VM. Calls back once.
    std::function<void(fingerprint part, std::function<void(bool claimed)>)> claimProbe;
    // Asks for permits for one request to any of these limited servers, and calls back once when the answer is there,
    // or was waited for long enough. Returns false, and does not call back, if there is nobody to ask or this VM has
    // asked lately.
    std::function<bool(std::span<const server_process> servers, std::function<void()> onAnswer)> askForPermit;
    // Current wait of new work for a pool, as the VM that gathers for it reports. None if unknown or older than 2 s.
    early_refusal::wait_hook poolWait {};
    std::shared_ptr<early_refusal> earlyRefusal
        = std::make_shared<early_refusal>(early_refusal_options(), random, poolWait);
};

} // namespace balsamspring

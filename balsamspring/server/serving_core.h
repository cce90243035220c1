// The serving decisions of one VM in one object: admission, queues, server selection, retries, hedges, quarantine.
//
// Free of I/O and without a lock: the daemon calls it under one mutex and performs the choices it returns.
#pragma once

#include "balsamspring/admission/cost_accounts.h"
#include "balsamspring/admission/pool_scheduler.h"
#include "balsamspring/admission/stage_estimator.h"
#include "balsamspring/admission/team_quotas.h"
#include "balsamspring/base/random.h"
#include "balsamspring/gateway/crash_quarantine.h"
#include "balsamspring/routing/router.h"
#include "balsamspring/routing/subset.h"
#include "balsamspring/server/config_snapshot.h"
#include "balsamspring/server/serving_hooks.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace balsamspring {

struct serving_core_options {
    vm_id vm;
    router_options routing;
    subset_options subset;
    pool_scheduler_options scheduling;
    stage_estimator_options estimates;
    team_quota_options quotas;
    quarantine_options quarantine;
    cost_account_options costs;
};

class serving_core {
public:
    struct choice {
        attempt_id attempt;
        server_choice answer;
    };

    // A server that showed a first sign of leaving, for the control thread.
    struct server_sign {
        backend_id server;
        std::uint64_t generation = 0;
        bool leaving = false;
    };

    // `random` must outlive this object.
    serving_core(serving_core_options options, random_engine& random);

    // Puts a configuration in force. What was learned about pools and servers that stay is kept.
    void configure(std::shared_ptr<const config_snapshot> config, mono_time now);

    // The entry VMs that admit requests, this one included: for quotas and subsets.
    void setVms(const std::vector<placed_vm>& vms, mono_time now);
    void markLeaving(const backend_id& server, std::uint64_t generation, mono_time now);

    // Refuses a request that is over its team's limit or cannot end in time.
    std::optional<run_failure> admit(const admission_request& request, mono_time now);

    void request(const choose_server_action& action, const pool_id& pool, mono_time now);
    void abandon(attempt_id attempt);
    void ended(const attempt_ended_action& action, mono_time now);
    void seen(attempt_id attempt, const backend_id& server, const server_info& serverInfo, mono_time now);

    void progress(attempt_id attempt, std::size_t tokens, mono_time now);

    // Starts and refuses waiting work. Call at least each 50 ms.
    void tick(mono_time now);

    std::optional<duration> retryDelay(const retry_request& request, mono_time now);
    std::optional<duration> hedgeDelay(attempt_id attempt) const;
    stage_budget budget(const pipeline_plan& plan, std::size_t stage, duration remaining) const;

    // News of other VMs about crashing requests, and this VM's own.
    std::vector<crash_quarantine::update> takeQuarantineUpdates() { return m_quarantine.takeUpdates(); }
    std::vector<server_sign> takeSigns() { return std::exchange(m_signs, {}); }
    std::vector<choice> takeChoices() { return std::exchange(m_choices, {}); }

    std::optional<chosen_server> find(const pool_id& pool, const backend_id& server) const;
    std::size_t waiting() const;
    const cost_accounts& costs() const { return m_costs; }
    const router_stats& routing() const { return m_router.stats(); }
    std::vector<server_status> servers(const pool_id& pool, mono_time now) const { return m_router.status(pool, now); }
    std::vector<pool_id> pools() const;

private:
    // Work for one model waits apart, because the servers of a pool do not all have every model.
    struct queue_key {
        pool_id pool;
        model_id model;

        friend auto operator<=>(const queue_key&, const queue_key&) = default;
    };

    // An attempt from its request to its end.
    struct attempt_entry {
        choose_server_action action;
        stage_ref stage;
        route_query query;
        length_class lengthClass = length_class::Medium; // as the scheduler counts it
        bool scheduled = false; // runs in a place that the scheduler counts
        bool started = false;
        bool sawToken = false;
        std::optional<server_info> serverInfo; // of its reply
        mono_time startedAt;
        mono_time limit; // while it waits
    };

    void setServers(mono_time now);
    pool_scheduler& schedulerOf(const route_query& query);
    length_class classOf(const stage_ref& stage) const;
    std::vector<stage_forecast> forecasts(const pipeline_plan& plan, std::size_t firstStage) const;
    duration laterWaits(const pipeline_plan& plan, const team_id& team, std::uint32_t weight, mono_time now) const;
    std::uint32_t weightOf(const team_id& team) const;

    void enqueue(const attempt_entry& entry, mono_time now);
    void startHedge(attempt_entry& entry, mono_time now);
    void startSuspects(mono_time now);
    void dispatch(pool_scheduler& scheduler, mono_time now);
    start_result tryStart(const queued_work& work, mono_time now);
    tl::expected<backend_id, pick_refusal> pick(attempt_entry& entry, mono_time now);
    void start(attempt_entry& entry, const backend_id& server, attempt_kind kind, mono_time now);
    std::optional<attempt_id> rivalOf(const attempt_entry& hedge) const;
    void refuse(attempt_id attempt, std::string reason, std::string message, duration retryAfter = {});
    void refusePick(attempt_id attempt, pick_refusal refusal);
    void moveStragglers(mono_time now);
    void judgeContent(const attempt_ended_action& action, mono_time now);

    serving_core_options m_options;
    std::shared_ptr<const config_snapshot> m_config;
    std::vector<placed_vm> m_vms;
    stage_estimator m_estimator;
    team_quotas m_quotas;
    crash_quarantine m_quarantine;
    cost_accounts m_costs;
    std::vector<server_sign> m_signs;
    router m_router;
    std::map<queue_key, pool_scheduler> m_schedulers;
    std::map<pool_id, std::map<backend_id, std::string>> m_addresses;
    std::unordered_map<attempt_id, attempt_entry> m_attempts;
    std::vector<attempt_id> m_suspects; // wait for a server of their own
    std::unordered_map<backend_id, std::uint64_t> m_generations;
    std::vector<choice> m_choices;
};

} // namespace balsamspring

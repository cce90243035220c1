// What callers can ask for, free of HTTP types.
#pragma once

#include "balsamspring/execution/resume_token.h"
#include "balsamspring/server/config_snapshot.h"
#include "balsamspring/server/live_run.h"
#include "balsamspring/server/run_body.h"
#include "balsamspring/server/run_registry.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace balsamspring {

// One request to run a pipeline, as its headers say.
struct run_call {
    team_id team;
    pipeline_id pipeline;
    std::string idempotencyKey;
    std::string lastEventId; // continue instead of starting
    std::optional<std::uint64_t> deadlineMs;
    std::optional<std::uint32_t> priority;
    std::string body;
};

struct request_service_options {
    vm_id vm;
    std::uint64_t incarnation = 0; // new at each start of the process
    request_limits limits;
    std::function<std::shared_ptr<const config_snapshot>()> config; // null while the configuration is unknown
};

// Thread safe.
class request_service {
public:
    request_service(request_service_options options, std::shared_ptr<const run_environment> environment,
        std::shared_ptr<run_registry> registry);

    // Checks that need no body, so that a refused caller does not have to be listened to.
    or_refusal<team_id> authenticate(const std::string& authorization) const;
    std::optional<refusal> checkRun(const run_call& call) const;

    // Starts the run, or joins the one that an equal request has started. Events go to the sink.
    or_refusal<std::shared_ptr<live_run>> run(const run_call& call, std::shared_ptr<caller_sink> sink);
    or_refusal<std::shared_ptr<live_run>> resume(
        const team_id& team, const std::string& lastEventId, std::shared_ptr<caller_sink> sink);
    std::optional<refusal> cancel(const team_id& team, const request_id& id);
    or_refusal<run_status> status(const team_id& team, const request_id& id) const;

    // New work is refused from now on.
    void drain() { m_draining = true; }
    bool draining() const { return m_draining; }
    const request_limits& limits() const { return m_options.limits; }
    std::size_t active() const { return m_registry->active(); }

private:
    std::optional<refusal> checkServing() const;
    static refusal withKey(const run_call& call, const std::shared_ptr<const pipeline_plan>& plan, refusal answer);
    or_refusal<std::shared_ptr<live_run>> begin(const run_call& call, const run_body& body,
        std::shared_ptr<caller_sink> sink, const std::optional<resume_token>& token);
    or_refusal<std::shared_ptr<live_run>> joinStream(const resume_token& token, std::string input,
        std::string bodyDigest, const std::string& key, std::shared_ptr<caller_sink> sink);
    std::shared_ptr<live_run> createRun(run_request request, std::shared_ptr<const pipeline_plan> plan);
    request_id nextRequestId();

    const request_service_options m_options;
    std::shared_ptr<const run_environment> m_environment;
    std::shared_ptr<run_registry> m_registry;
    std::atomic<std::uint64_t> m_counter { 0 };
    std::atomic<bool> m_draining { false };
};

} // namespace balsamspring

// Queries, results, options and statistics of the router.
#pragma once

#include "balsamspring/backend/backend_client.h"
#include "balsamspring/base/findings.h"
#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"
#include "balsamspring/routing/concurrency_limit.h"
#include "balsamspring/routing/outlier_detector.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace balsamspring {

// A backend server of a pool, as listed in the membership view.
struct routed_server {
    backend_id id;
    zone_id zone;
    std::vector<model_id> models {}; // empty: serves any model
    std::uint64_t generation = 0; // 0: unknown
    bool leaving = false;
};

struct route_query {
    pool_id pool;
    model_id model {}; // empty: any model
    std::uint64_t affinityKey = 0; // hash of the session or, without a session, of the prompt prefix; 0: no affinity
    length_class length = length_class::Short;
    std::vector<backend_id> exclude {}; // servers that already failed or are running this work
    bool exclusive = false; // crash suspect: the server must have no other call of this VM
};

// Reason why no server was picked. The filters apply in this order; the reason names the one that removed the last
// remaining server.
enum class pick_refusal : std::uint8_t {
    UnknownPool,
    NoServer, // the pool is empty
    ModelNotServed,
    AllLeaving,
    AllExcluded,
    AllDown,
    ConcurrencyLimit, // retry after a call ends
    ExclusiveBusy, // a crash suspect has a server to itself or waits for an idle one; retry later
    Count,
};
std::string_view toString(pick_refusal refusal);

enum class attempt_kind : std::uint8_t { First, Retry, Hedge };

enum class route_outcome : std::uint8_t {
    Succeeded,
    RequestError, // the server rejected the request as invalid; not counted as a server failure
    ServerError,
    Unreachable, // refused or reset connection
    TimedOut, // includes streams without progress
    Overloaded, // the server refused the call because of its load
    Draining, // the server refused the call because it is leaving
    Cancelled, // by this VM
};

enum class retry_refusal : std::uint8_t { AttemptLimit, BudgetEmpty, PastDeadline, UnknownPool, Count };
std::string_view toString(retry_refusal refusal);

// What the caller must do after the first token or the end of an attempt.
struct attempt_verdict {
    bool accepted = true; // false: drop this answer, because another attempt of the same work supersedes it
    std::optional<attempt_id> cancel; // the competing attempt, which must be cancelled
};

struct router_options {
    zone_id zone; // own availability zone
    bool preferZone = true;
    // Bound on the moving average of the load of a server chosen by affinity, relative to the mean over the servers;
    // 0 disables it. The average lags and cached calls are faster: with a bound of 1.25, a server served up to 1.252
    // times the mean number of calls.
    double loadBound = 1.2;
    double spillStart = 0.7; // utilization of the own zone above which calls start to spill to other zones
    double spillFactor = 1.5; // a call spills when its server exceeds this multiple of the zone's average load
    duration loadTimeConstant = std::chrono::seconds(2); // for the decay of reported load and the average load
    duration evaluationInterval = std::chrono::milliseconds(50);
    duration leavingHold = std::chrono::seconds(30); // hold time that prevents flapping of the same generation
    duration exclusiveDrainTimeout = std::chrono::seconds(5); // maximum time to wait for a server to become idle

    double hedgeShare = 0.05; // hedges per first attempt
    double hedgeBurst = 40; // hedges that can be saved up for use during a fault
    double hedgeQuantile = 0.95; // latency quantile after which a hedge is due
    double conservativeHedgeQuantile = 0.99; // used while fewer hedges than the burst are saved up
    std::size_t minHedgeSamples = 20;

    double retryShare = 0.1; // retries per successful call
    double retryBurst = 10;
    std::uint32_t maxAttempts = 4;
    duration retryBase = std::chrono::milliseconds(25);
    duration retryCap = std::chrono::seconds(1);

    duration minStallTimeout = std::chrono::seconds(1);
    double stallTimeoutFactor = 8; // multiple of the median time between tokens, or to the first reply

    outlier_options outlier {};
    concurrency_options concurrency {};

    // Returns the values that are out of range; empty when the options are valid.
    findings check() const;
};

// Called while the caller holds its mutex, so hooks must only post an event.
struct router_hooks {
    std::function<void(const backend_id&, std::uint64_t generation)> leaving; // a reply reports this for the first time
    std::function<void(const backend_id&, std::uint64_t generation)> restarted; // a reply has a new generation
};

// Counters since the router was created.
struct router_stats {
    std::uint64_t started = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t ejections = 0;
    std::uint64_t otherZone = 0; // calls to servers in another zone
    std::array<std::uint64_t, static_cast<std::size_t>(pick_refusal::Count)> refusals {};
    std::array<std::uint64_t, static_cast<std::size_t>(retry_refusal::Count)> retryRefusals {};
};

// State of one server, reported to operators.
struct server_status {
    backend_id id;
    health_state health = health_state::Live;
    double share = 1;
    bool leaving = false;
    std::uint64_t generation = 0;
    std::uint32_t inFlight = 0;
    double load = 0;
    double limit = 0;
};

} // namespace balsamspring

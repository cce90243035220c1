// Runs the pieces of a stage on its pool of servers: queues them, batches pieces of several requests into one call,
// retries failed pieces within the retry budget, and frees results.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/gateway/backend_client.h"
#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/piece_queue.h"
#include "balsamspring/gateway/repeat_budget.h"
#include "balsamspring/gateway/server_reports.h"
#include "balsamspring/gateway/wire_adapter.h"
#include "balsamspring/net/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring {

// All pieces of one stage of one request.
struct piece_work {
    pool_id pool;
    request_id request;
    std::size_t stage = 0;
    unsigned count = 0;
    std::uint64_t resultBytes = 0; // of one piece
    std::string key; // stages without inputs
    std::vector<std::string> inputs;
    std::uint64_t inputBytes = 0; // of all inputs; 0: none or unknown
    zone_id inputZone; // holds most bytes of the inputs; empty: no preference
    mono_time targetTime {}; // as in piece_group
    duration requiredSlack {};
    mono_time deadline {};
    unsigned priority = 0;
    team_id team; // empty: none
    bool repeated = false; // the pieces were made before, so that these calls use the retry budget
};

// A result that a server stores.
struct piece_result {
    std::string handle;
    zone_id zone;
    std::uint64_t bytes = 0;
};

// Results in the order of the pieces. Errors: `Refused` (no capacity before the deadline), `QuotaExceeded` (the same,
// and the team is above its share of the pool), `Expired` (the deadline would be missed by a waiting, retried or
// running piece), `NotFound` (an input no longer exists), `Unavailable` (calls failed and no further retry is allowed).
using piece_callback = std::function<void(result<std::vector<piece_result>>)>;

struct piece_service_options {
    unsigned attempts = 3; // maximum calls per piece
    duration releaseDelay = std::chrono::milliseconds(15); // batches the releases of results
    // How often the end of a server's pause is looked for, to release its results.
    duration pausedReleaseDelay = std::chrono::milliseconds(250);
    // Share of the limit that a server names on which calls are planned. The rest is for its releases and reports.
    double callShareOfLimit = 0.8;
    duration idleReuse = std::chrono::seconds(3);
    // Longest valid response to a call: for the call, and for each of its pieces. Bounds the memory that all calls in
    // progress take if every server sends bytes without end.
    std::size_t maxResponseBytes = 4 * 1024;
    std::size_t maxResponseBytesPerPiece = 1024;
    duration releaseTimeout = std::chrono::seconds(1);
    // How long calls wait for the servers' answers about their free result storage.
    duration storageWait = std::chrono::milliseconds(80);
    piece_queue_options queue;
};

struct piece_service_parts {
    event_loop& loop;
    const wire_adapter& adapter;
    server_registry& servers;
    limited_servers& limits;
    retry_budget& retryBudget;
    backend_client& backends;
    server_reports& reports;
    gateway_metrics& metrics;
    // Called with the head of each answer of a server, and the time of its request, if set.
    std::function<void(const server_entry&, const backend_response&, mono_time askedAt)> onResponse {};
    // Asks for the permits that are wanted for calls to limited servers, if set. Calls back after the answer, or never
    // if this VM has asked lately.
    std::function<void(std::function<void()> onAnswer)> askForPermits {};
};

// Not thread-safe: to be used on the thread of its event loop only.
class piece_service {
public:
    piece_service(piece_service_options options, piece_service_parts parts);
    ~piece_service();

    // The callback runs later, never from within submit, and not at all if the work is cancelled first. `spec` is the
    // current specification of the pool.
    piece_ticket submit(const piece_spec& spec, piece_work work, piece_callback callback);
    // Removes waiting pieces and frees results. Results of pieces in progress are freed when they arrive.
    void cancel(piece_ticket ticket);
    // Frees results that are no longer needed.
    void release(const pool_id& pool, const std::vector<piece_result>& results);
    // To be called when a server was added, removed or restarted.
    void onServerChanged(const server_entry& server, server_change change);
    // This VM begins to gather for the pool. Asks its servers for their free result storage, because the results of the
    // VM that gathered before still occupy it.
    void beginGathering(const pool_id& pool);
    // The wait before its call that a new request without urgency would meet at the pool. None if no work has come yet.
    std::optional<duration> predictedWait(const pool_id& pool, mono_time now) const;
    // Limits the concurrent calls of this VM to a pool. 0: limited only by the slots of the servers.
    void limitCalls(const pool_id& pool, unsigned limit);

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

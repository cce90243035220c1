// Runs the pieces of stages: queues them, shares calls among requests, repeats within the budget, frees results.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/piece_queue.h"
#include "balsamspring/gateway/repeat_budget.h"
#include "balsamspring/gateway/wire_adapter.h"
#include "balsamspring/net/event_loop.h"
#include "balsamspring/net/http_exchange.h"

#include <functional>
#include <map>
#include <memory>
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
    zone_id inputZone; // of most bytes of the inputs; empty: it does not matter
    mono_time wanted {}; // as in piece_group
    duration margin {};
    mono_time deadline {};
    unsigned priority = 0;
};

// A result and the server that keeps it.
struct piece_result {
    std::string handle;
    zone_id zone;
    std::uint64_t bytes = 0;
};

// Results in the order of the pieces. Errors: `Refused` (no capacity before the deadline; at once), `Expired` (the
// deadline came while waiting), `NotFound` (an input is gone), `Unavailable` (servers failed and may not be tried
// again).
using piece_callback = std::function<void(result<std::vector<piece_result>>)>;

struct piece_service_options {
    unsigned attempts = 3; // calls that one piece may be part of
    duration releaseDelay = std::chrono::milliseconds(15); // results are freed together
    duration idleReuse = std::chrono::seconds(3);
    piece_queue_options queue;
};

struct piece_service_parts {
    event_loop& loop;
    const wire_adapter& adapter;
    server_registry& servers;
    repeat_budget& repeats;
    exchange_client& backends;
    gateway_metrics& metrics;
};

class piece_service {
public:
    piece_service(piece_service_options options, piece_service_parts parts);
    ~piece_service();

    // The callback is called later, unless the work is cancelled before. `spec` is the pool's present one.
    piece_ticket submit(const piece_spec& spec, piece_work work, piece_callback callback);
    // Takes waiting pieces out; results of pieces in progress are freed when they arrive.
    void cancel(piece_ticket ticket);
    // The results are not needed any more.
    void release(const pool_id& pool, const std::vector<piece_result>& results);
    // A server came, left or began anew.
    void serverChanged(const server_entry& server, server_change change);
    // Calls to one pool that this VM may have in progress; 0: as many as the servers have slots.
    void limitCalls(const pool_id& pool, unsigned limit);

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

// Sends pieces to the VM that gathers for their pool. Falls back to calling the pool's servers from this VM when the
// gathering VM is down, unresponsive or unreachable.
#pragma once

#include "balsamspring/gateway/piece_service.h"
#include "balsamspring/gateway/pool_ownership.h"

#include <functional>
#include <map>
#include <memory>

namespace balsamspring {

struct piece_router_options {
    duration connectTimeout = std::chrono::milliseconds(250);
    duration silenceLimit = std::chrono::milliseconds(700); // the gathering VM sends keep-alive bytes more often
    duration releaseDelay = std::chrono::milliseconds(40); // batches the releases of results
    duration releaseTimeout = std::chrono::seconds(1);
    duration idleReuse = std::chrono::seconds(10);
    // Concurrent calls to a pool that another VM gathers for. Low, because all VMs may fall back at the same time.
    unsigned fallbackCalls = 1;
};

class piece_router {
public:
    piece_router(piece_router_options options, event_loop& loop, piece_service& local, gateway_metrics& metrics);
    ~piece_router();

    // While it is null, this VM calls all pools itself. The ownership must outlive the router.
    void setOwnership(pool_ownership* ownership);
    // To be called when pools may have a new owner. Adjusts the call limits of the pools.
    void onOwnersChanged();

    // As in piece_service.
    piece_ticket submit(const piece_spec& spec, piece_work work, piece_callback callback);
    void cancel(piece_ticket ticket);
    void release(const pool_id& pool, const std::vector<piece_result>& results);

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

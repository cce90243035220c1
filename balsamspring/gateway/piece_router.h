// Sends pieces to the VM that gathers for their pool, and falls back to this VM's own calls when that VM is gone,
// frozen or cut off.
#pragma once

#include "balsamspring/gateway/piece_service.h"
#include "balsamspring/gateway/pool_ownership.h"

#include <functional>
#include <map>
#include <memory>

namespace balsamspring {

struct piece_router_options {
    duration connectTimeout = std::chrono::milliseconds(250);
    duration silenceLimit = std::chrono::milliseconds(700); // the gatherer reports more often while work waits
    duration releaseDelay = std::chrono::milliseconds(40); // results are released together
    duration idleReuse = std::chrono::seconds(10);
    unsigned ownCalls = 1; // in progress to a pool of another gatherer: all VMs may be falling back together
};

class piece_router {
public:
    piece_router(piece_router_options options, event_loop& loop, piece_service& local, gateway_metrics& metrics);
    ~piece_router();

    // Without an ownership everything is done by this VM. The ownership must outlive the router.
    void setOwnership(pool_ownership* ownership);
    // The owners may have changed.
    void ownersChanged();

    piece_ticket submit(const piece_spec& spec, piece_work work, piece_callback callback);
    void cancel(piece_ticket ticket);
    void release(const pool_id& pool, const std::vector<piece_result>& results);

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

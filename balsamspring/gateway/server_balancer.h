// Client-side load balancer. Chooses servers by the load, latency and failures that this VM's own calls have observed.
//
// Load pattern: servers of one pool differ in speed, slow down temporarily, stop responding while their health check
// still succeeds, or fail some of their requests.
//
// Not thread-safe.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/gateway/server_registry.h"
#include "balsamspring/zone_spill/zone_spill.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>

namespace balsamspring {

enum class call_failure : std::uint8_t {
    Unreachable, // No connection could be established, or the address belongs to another server.
    Lost, // The connection ended before a complete response, or the response was invalid.
    TimedOut, // The response or the next part of the stream did not arrive in time.
    ErrorResponse, // The server returned an error status.
    NotBegun, // The request waited too long at the server and was taken back. No failure of the server.
};

struct balancer_options {
    // Weight of the newest sample in the exponential moving average of the latency.
    double latencyWeight = 0.2;
    // Latency that is assumed before the first sample.
    duration initialLatency = std::chrono::milliseconds(60);
    // When calls leave this VM's availability zone. The gain is small because lookups take 15 to 30 ms.
    zone_spill_options spill { .minGain = std::chrono::milliseconds(5) };
    // A server's latency approaches the shortest one of the pool while the server is not chosen.
    duration latencyHalfLife = std::chrono::seconds(2);
    // Bytes of a request and its response.
    std::uint64_t callBytes = 8'000;
    // Cost factor of servers in other availability zones if `spill` is not enabled.
    double crossZoneCostFactor = 1.15;
    // Consecutive failures that block a server. An unreachable server is blocked immediately.
    unsigned failuresToBlock = 2;
    // Time for which a server is blocked. Doubles with each consecutive block, up to `maxBlock`.
    duration minBlock = std::chrono::milliseconds(400);
    duration maxBlock = std::chrono::seconds(3);
    // Time for which a server is blocked after it rejected a call for lack of capacity.
    duration rejectedBlock = std::chrono::milliseconds(60);
};

class server_balancer {
public:
    using server_list = std::span<const server_entry* const>;

    // `otherCalls`, if set, returns the calls of other VMs in flight at a server, 0 if unknown. `onSpill`, if set, is
    // called with the pool of each call that choose() compares in several zones, and why it stays or leaves.
    server_balancer(balancer_options options, zone_id ownZone, random_engine& random,
        std::function<double(const backend_id&)> otherCalls = nullptr,
        std::function<void(const pool_id&, spill_reason)> onSpill = nullptr);

    // Returns the cheaper of two random servers of this VM's zone that are not blocked (power of two choices), or of
    // the other zones if that pays (see zone_spill). If all are blocked, returns the one that is unblocked first. Null
    // only if every server is excluded.
    const server_entry* choose(server_list servers, const std::set<backend_id>& excluded, mono_time now);

    // Each call that has started ends with exactly one of succeeded(), failed(), rejected() and abandoned().
    void started(const backend_id& server);
    void succeeded(const backend_id& server, duration latency);
    void failed(const backend_id& server, call_failure kind, mono_time now);
    // The server rejected the call for lack of capacity.
    void rejected(const backend_id& server, mono_time now);
    // The call ended for a reason that does not depend on the server.
    void abandoned(const backend_id& server);
    // Discards the statistics of a server that was removed or restarted, except the count of its calls in flight.
    void forget(const backend_id& server);

    bool blocked(const backend_id& server, mono_time now) const;
    unsigned inFlight(const backend_id& server) const;

private:
    struct server_stats {
        unsigned inFlight = 0;
        // Moving average in seconds. 0 before the first sample.
        double latency = 0;
        mono_time latencyAt {}; // choose() ages the latency from this time on
        unsigned consecutiveFailures = 0;
        unsigned consecutiveBlocks = 0;
        mono_time blockedUntil {};
    };

    const server_entry* cheaperOfTwo(server_list servers, const std::function<double(const server_entry&)>& cost);
    const server_entry* chooseZone(server_list available, mono_time now);
    // With the fixed factor for other zones.
    double weightedCost(const server_entry& server) const;
    // Expected time in seconds until a new call ends. `typical` stands for latencies that are not known.
    double expectedTime(const server_entry& server, double typical, mono_time now) const;
    double typicalLatency(server_list servers) const;
    double agedLatency(const server_stats& server, double typical, mono_time now) const;
    void release(server_stats& server);
    void block(server_stats& server, duration length, mono_time now) const;

    balancer_options m_options;
    zone_id m_ownZone;
    random_engine& m_random;
    std::function<double(const backend_id&)> m_otherCalls;
    std::function<void(const pool_id&, spill_reason)> m_onSpill;
    zone_spill m_spill;
    std::map<backend_id, server_stats> m_servers;
};

} // namespace balsamspring

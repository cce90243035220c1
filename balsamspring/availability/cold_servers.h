// Limits how many requests reach servers that have just started and are still slow. A cold server bears a few requests
// a second, from all VMs together, and crashes above that.
//
// Load pattern: a whole zone of servers returns cold, after a loss of power or at the end of an evacuation, and
// hundreds of VMs that know nothing of each other would all turn to its idle servers at once.
//
// Each VM draws its share of a server's rate, starting at a random time, so that the requests of all VMs spread evenly.
//
//     if (cold.isCold(server, now) && !cold.mayUse(server, pool.coldRate, vms, now)) ...
//     cold.used(server, pool.coldRate, vms, now);
//
// Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/random.h"
#include "balsamspring/base/time.h"

#include <map>
#include <optional>

namespace balsamspring {

struct cold_servers_options {
    // Share of the rate that the VMs use together. Their requests are not spaced evenly, and the servers' limit holds
    // in every second.
    double usedShare = 0.8;
    // Number of VMs that is assumed while it is unknown: the size of the largest fleet.
    unsigned unknownFleetSize = 400;
    // A longer time is cut to this, so that a damaged entry does not take a server out for good.
    duration maxColdTime = std::chrono::seconds(30);
};

class cold_servers {
public:
    cold_servers(cold_servers_options options, random_engine& random);

    // The server is cold for this long from now. Ignored if it is known to be cold for longer.
    void markCold(const backend_id& server, duration remaining, mono_time now);
    void forget(const backend_id& server) { m_servers.erase(server); }
    // Removes the servers that have become warm.
    void expire(mono_time now);

    bool isCold(const backend_id& server, mono_time now) const;
    // Time until the server is warm; zero if it is.
    duration remaining(const backend_id& server, mono_time now) const;
    // Whether this VM may send a request to the cold server now. `requestsPerSecond` is the rate that the server bears
    // from all VMs, `vms` their number, 0 if unknown.
    bool mayUse(const backend_id& server, double requestsPerSecond, unsigned vms, mono_time now);
    // Reports a request to the server.
    void used(const backend_id& server, double requestsPerSecond, unsigned vms, mono_time now);
    std::size_t size() const { return m_servers.size(); }

private:
    struct cold_server {
        mono_time until {};
        std::optional<mono_time> nextUse; // none until the first question
    };

    std::optional<duration> interval(double requestsPerSecond, unsigned vms) const;

    cold_servers_options m_options;
    random_engine& m_random;
    std::map<backend_id, cold_server> m_servers;
};

} // namespace balsamspring

// Divides the limits that servers have named among the VMs that want to use them, at the collector of the fleet.
//
// Load pattern: hundreds of VMs share less than one request a second each, and the requests that suit a limited server
// come to a few of them. Two VMs may consider themselves the collector, and VMs change between them.
//
//     allocator.reported(report, now);
//     const unsigned permits = allocator.grant(report.server, report.wanted, share, now);
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/server_limit/server_limit_types.h"

#include <functional>
#include <map>

namespace balsamspring {

struct limit_allocator_options {
    // Share of a limit that is granted. The rest allows for permits that are used later than others, and at once with
    // the next ones.
    double usedShare = 0.85;
    // Permits that nobody asks for are saved up for this long: the longest time between two reports of a busy VM.
    duration savedFor = std::chrono::milliseconds(600);
    // A report that a need has ended may be as old as this, and then be older than a limit that was named meanwhile.
    duration reportDelay = std::chrono::seconds(1);
    // A server that no VM reports about any more is forgotten after this time.
    duration memory = std::chrono::seconds(10);
    // Bounds the memory that absurd messages can take.
    std::size_t maxServers = 1024;
};

class limit_allocator {
public:
    explicit limit_allocator(limit_allocator_options options);

    // Takes note of what the server said. Returns false if there are too many servers.
    bool reported(const limit_report& report, mono_time now);
    // Permits for the VM that wants them, at most as many as it wants. `share` (0 to 1) is the part of the fleet that
    // draws its permits from here.
    unsigned grant(server_process server, unsigned wanted, double share, mono_time now);
    // Calls back with each server that VMs report about. `age` is since the response with the limit, or without one.
    void forEach(mono_time now,
        const std::function<void(server_process, const std::optional<request_rate>&, duration age)>& action) const;
    void expire(mono_time now);
    bool empty() const { return m_servers.empty(); }

private:
    struct known_server {
        std::optional<request_rate> rate;
        mono_time statedAt {};
        bool heard = false; // by the VM that reported it, itself
        mono_time reportedAt {};
        double permits = 0;
        mono_time refilledAt {};
    };

    limit_allocator_options m_options;
    std::map<server_process, known_server> m_servers;
};

} // namespace balsamspring

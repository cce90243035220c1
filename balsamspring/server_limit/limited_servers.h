// The servers that have named a limit of requests a second for all VMs together, and which requests to them this VM may
// send.
//
// Load pattern: a server in need, anywhere from one of 12 that 9 VMs use to one of 99 that 195 VMs use, names less than
// one request a second for each VM. VMs start, leave, freeze and hear of it late, and one of them may get most of the
// requests that suit the server.
//
// Each request to a limited server needs a permit. The collector of the fleet grants them (limit_allocator), so that
// the sum of all VMs is right however the requests are spread. A permit lapses soon, so that VMs do not save them up. A
// VM that has no collector sends at random times, at its equal share of a lower rate.
//
//     if (!limits.admits(server, now))
//         limits.want(server, now); // and use another server
//     ...
//     const auto permit = limits.take(server, now);
//     ... // connect
//     if (permit && limits.stillValid(server, *permit, now)) // send
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/server_limit/server_limit_types.h"

#include <deque>
#include <functional>
#include <map>
#include <span>

namespace balsamspring {

struct limited_servers_options {
    // Time from the report that asked for a permit to its use. What is granted within it can be used at once.
    duration permitLifetime = std::chrono::milliseconds(1500);
    // Time from taking a permit to sending the request: the longest that a connection may take to open.
    duration sendAllowance = std::chrono::milliseconds(500);
    // Share of a limit that all VMs without a collector use together. Their random times coincide now and then.
    double unsharedShare = 0.4;
    // Number of VMs that is assumed while it is unknown: the size of the largest fleet.
    unsigned unknownFleetSize = 400;
    // A server that names less gets this much, so that the end of its need is noticed.
    request_rate minRate { 0.1 };
    // A limit of this much or more limits nothing: the VMs together send less to one server.
    request_rate maxRate { 10'000 };
    // Time over which a VM measures how often it wants to use a server. Some requests are far apart on a large fleet.
    duration wantWindow = std::chrono::seconds(6);
    // A VM asks for the permits that it wants to use within this time, so that most requests find one: the longest time
    // between two reports of a busy VM. A VM that wants less than one has its requests wait for the answer to a report.
    duration aheadTime = std::chrono::milliseconds(600);
    // How long a request waits for the answer to a report.
    duration answerWait = std::chrono::milliseconds(60);
    // Largest number of permits that a VM asks for.
    std::uint32_t maxWanted = 2000;
    // How long other VMs are told that a server has ended its need.
    duration endMemory = std::chrono::seconds(5);
    // How long a limit is remembered of a server without an entry, which may come back.
    duration absentMemory = std::chrono::minutes(1);
};

// What this VM knows of the others.
struct limit_fleet {
    bool hasCollector = false; // it has answered lately
    unsigned vms = 0; // 0: unknown
};

// What a response changed. Named: the server has named its first limit, or another one.
enum class limit_change : std::uint8_t { None, Named, Ended };

// Allows one request to one server, for a limited time if the server is limited.
class send_permit {
private:
    friend class limited_servers;

    std::optional<mono_time> m_validUntil; // none: the server was not limited
};

class limited_servers {
public:
    // The random engine must outlive this object.
    limited_servers(limited_servers_options options, random_engine& random, std::function<limit_fleet()> fleet);

    // What a response of the server says. `askedAt` is when its request was sent: the answer to a request that was sent
    // before the limit was named may be older than the limit, and does not end it.
    limit_change stated(server_process server, const limit_notice& notice, mono_time askedAt, mono_time now);
    // The limit as it is used, or none if it limits nothing.
    std::optional<request_rate> bounded(request_rate named) const;

    // The limit in force.
    std::optional<request_rate> rate(server_process server) const;
    bool limited(server_process server) const { return rate(server).has_value(); }
    // Whether take() would return a permit.
    bool admits(server_process server, mono_time now);
    // Takes the permit for one request. None if the server has had what this VM may send now.
    std::optional<send_permit> take(server_process server, mono_time now);
    // Takes a permit for a request that is sent later: within the lifetime of the permits. Its time to be sent begins
    // with redeem().
    std::optional<send_permit> reserve(server_process server, mono_time now);
    std::optional<send_permit> redeem(server_process server, const send_permit& reserved, mono_time now);
    // Whether a request with this permit may still be sent. The server may have named a limit after it was taken.
    bool stillValid(server_process server, const send_permit& permit, mono_time now) const;
    // A request would have been sent to the server, which does not admit it.
    void want(server_process server, mono_time now);
    // A request that was wanted waits for the answer to a report that is sent now.
    void await(server_process server, mono_time now);
    // Work waits for any server, of which this one does not admit it. May be called again while it waits.
    void awaitOne(server_process server, mono_time now);
    duration answerWait() const { return m_options.answerWait; }

    // Exchange with the collector. Calls back with each server that has something to be reported.
    void forEachReport(mono_time now, const std::function<void(const limit_report&)>& action);
    // `follows`: the counters continue those of the summary before. `askedAt` is when the report was sent.
    void summaryArrived(std::span<const limit_summary> summary, bool follows, mono_time askedAt, mono_time now);

    // Forgets what no longer matters. `hasEntry` says whether the process is that of a known server.
    void expire(mono_time now, const std::function<bool(server_process)>& hasEntry);
    // Number of servers with a limit in force.
    std::size_t size() const;
    // Whether no server has named a limit lately.
    bool empty() const { return m_servers.empty(); }

private:
    struct permit_batch {
        mono_time since {};
        std::uint64_t count = 0;
    };

    struct known_server {
        std::optional<request_rate> rate; // none: its need has ended
        mono_time statedAt {};
        bool heard = false; // by this VM itself
        std::deque<permit_batch> permits; // oldest first
        std::deque<mono_time> wants; // requests that were sent or would have been, oldest first
        std::deque<mono_time> awaited; // requests that wait for an answer, oldest first
        std::uint64_t granted = 0; // counter of the collector
        std::optional<mono_time> nextOwnUse; // while there is no collector
        std::optional<mono_time> absentSince;
    };

    known_server* inForce(server_process server);
    void dropLapsed(known_server& server, mono_time now) const;
    std::uint32_t missing(known_server& server, mono_time now) const;
    std::size_t maxWants() const;
    // Begin of the time in which this VM may send a request without a permit.
    std::optional<mono_time> ownUse(known_server& server, mono_time now);
    duration ownInterval(const known_server& server, unsigned vms) const;

    limited_servers_options m_options;
    random_engine& m_random;
    std::function<limit_fleet()> m_fleet;
    std::map<server_process, known_server> m_servers;
};

} // namespace balsamspring

// How pieces of requests wait for the servers of a stage's pool, and which of them share a call.
//
// Load pattern: a call costs a fixed time whatever it holds, so that calls of single requests use up a pool at an
// ordinary load. Pieces of many requests share a call, the most urgent first, chosen at the moment at which a server is
// free. In a burst, requests that can no longer be on time yield to those that can, and those that cannot be served
// before their deadline are rejected at once.
//
// Beyond the limit of a pool, the most urgent first alone brings every request to the edge of its target, where the
// stages that follow make it late. So requests that have time in hand for those go first.
#pragma once

#include "balsamspring/gateway/server_registry.h"
#include "balsamspring/gateway/serving_config.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace balsamspring {

using piece_ticket = std::uint64_t;

// Pieces of one stage of one request.
struct piece_group {
    piece_ticket ticket = 0;
    unsigned count = 1; // pieces that are still to be done
    std::uint64_t resultBytes = 0; // of one piece
    mono_time wanted {}; // the request is on time if the pieces are done then
    duration margin {}; // time in hand that what follows may need beyond its expected time
    mono_time deadline {}; // later results are of no use
    unsigned priority = 0; // 0 is the most urgent
    zone_id inputZone; // where most bytes of the inputs lie; empty: it does not matter
    mono_time since {}; // when the group began to wait
};

struct piece_queue_options {
    duration priorityStep = std::chrono::milliseconds(60); // urgency that one rank of priority is worth
    double slowFactor = 2; // a server that takes this multiple of its time gets work only when others cannot take it
    duration slowMemory = std::chrono::seconds(2); // half-life of what a slow call says about its server
    duration minBlock = std::chrono::milliseconds(300); // doubles with each failure in a row
    duration maxBlock = std::chrono::seconds(2);
    // How long pieces wait for a server in the zone of their inputs: each piece fetches all of them.
    duration zonePatience = std::chrono::milliseconds(40);
    double roomShare = 0.92; // of a server's room that is used: results are of about the stated size
    duration roomBlock = std::chrono::milliseconds(80); // after an answer that there is no room or no slot
};

class piece_queue {
public:
    struct part {
        piece_ticket ticket = 0;
        unsigned count = 0;
    };
    struct call {
        backend_id server;
        std::vector<part> parts;
        unsigned pieces = 0;
    };
    // The pool's servers that take new work.
    using server_list = std::span<const server_entry* const>;

    piece_queue(piece_spec spec, piece_queue_options options);

    void configure(const piece_spec& spec) { m_spec = spec; }
    const piece_spec& spec() const { return m_spec; }
    // Calls that may be in progress; 0: as many as the servers have slots.
    void limitCalls(unsigned limit) { m_callLimit = limit; }

    // False when the pieces cannot be done before their deadline: the request is to be rejected now.
    bool add(const piece_group& group, server_list servers, mono_time now);
    // Takes the group out of the queue; pieces in calls are not affected.
    void cancel(piece_ticket ticket);
    // Groups that can no longer be done in time; they leave the queue.
    std::vector<piece_ticket> takeExpired(mono_time now);
    // Late groups whose turn comes after their deadline although nothing new arrives; they leave the queue, so that
    // their requests are rejected now instead of at the deadline. Sorts the queue.
    std::vector<piece_ticket> takeHopeless(server_list servers, mono_time now);

    // The next call to send now, if a server is free and work waits. The caller then sends it.
    std::optional<call> next(server_list servers, mono_time now);

    void succeeded(const backend_id& server, unsigned pieces, duration elapsed, mono_time now);
    // Not reached, lost or silent.
    void failed(const backend_id& server, mono_time now);
    // Answered that it has no slot or no room.
    void refused(const backend_id& server, mono_time now);
    // Results of this many bytes lie at the server, or no longer do.
    void resultsKept(const backend_id& server, std::uint64_t bytes);
    void resultsFreed(const backend_id& server, std::uint64_t bytes);
    void forget(const backend_id& server);

    duration expectedTime(unsigned pieces) const { return m_spec.callTime + m_spec.pieceTime * pieces; }
    // Expected time until a group that is added now is done.
    duration predictedDelay(unsigned pieces, server_list servers, mono_time wanted, mono_time now) const;
    // How long to wait for the answer to a call.
    duration callTimeout(const backend_id& server, unsigned pieces, mono_time now) const;
    std::size_t waitingPieces() const { return m_waiting; }
    std::size_t waitingGroups() const { return m_groups.size(); }
    unsigned callsInProgress() const { return m_inProgress; }

private:
    struct server_state {
        unsigned calls = 0;
        unsigned failures = 0; // in a row
        double factor = 1; // time of its calls as a multiple of the expected one
        mono_time factorAt {};
        mono_time blockedUntil {};
        std::uint64_t kept = 0; // bytes of results
    };

    double factor(const server_state& server, mono_time now) const;
    double fullRate(server_list servers, mono_time now) const;
    std::vector<const server_entry*> freeServers(server_list servers, mono_time now) const;
    void fill(call& filled, const server_entry& server, const std::set<zone_id>& zones, mono_time now);
    bool mayRunIn(const piece_group& group, const zone_id& zone, const std::set<zone_id>& zones, mono_time now) const;
    void release(server_state& server);
    mono_time urgency(const piece_group& group) const;
    bool hasTimeInHand(const piece_group& group, mono_time now) const;

    piece_spec m_spec;
    piece_queue_options m_options;
    std::list<piece_group> m_groups; // in order of arrival
    std::map<backend_id, server_state> m_servers;
    std::size_t m_waiting = 0; // pieces
    unsigned m_inProgress = 0; // calls
    unsigned m_callLimit = 0;
};

} // namespace balsamspring

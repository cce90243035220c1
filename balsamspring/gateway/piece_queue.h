// Queues the pieces of requests for the servers of a stage's pool and batches pieces of several requests into one call.
//
// A call has a fixed cost that does not depend on its size, so calls that hold the pieces of one request each exhaust a
// pool at an ordinary load. Pieces of many requests therefore share a call. The queue fills a call, the most urgent
// pieces first, only when a server is free. In a burst, requests that can still meet their latency target go before
// those that cannot, and requests that cannot be served before their deadline are rejected at once.
//
// Above the capacity of a pool, ordering by urgency alone delays every request until just before its target, and a
// delay in a later stage then makes it late. Requests that still have slack for the later stages therefore go first. If
// not all of these can be served in time, the more urgent priorities go before the others. A share of the calls still
// goes by urgency alone, so that no priority starves.
//
// The excess of a team that surges (see team_shares) counts as work without slack.
//
// All servers are busy most of the time, so a server of another zone is often free first. Pieces go there only if that
// pays (see zone_spill).
#pragma once

#include "balsamspring/gateway/server_registry.h"
#include "balsamspring/gateway/serving_config.h"
#include "balsamspring/gateway/team_shares.h"
#include "balsamspring/zone_spill/zone_spill.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace balsamspring {

using piece_ticket = std::uint64_t;

// Pieces of one stage of one request.
struct piece_group {
    piece_ticket ticket = 0;
    unsigned count = 1; // pieces that are not yet in a call
    std::uint64_t resultBytes = 0; // of one piece
    std::uint64_t inputBytes = 0; // that each piece reads; 0: none or unknown
    mono_time targetTime {}; // the request meets its latency target if the pieces end by this time
    duration requiredSlack {}; // slack to leave for delays in the later stages
    mono_time deadline {}; // results after this time are useless
    unsigned priority = 0; // 0 is the most urgent
    team_id team; // empty: none
    zone_id inputZone; // holds most bytes of the inputs; empty: no preference
    mono_time queuedAt {};
    bool overShare = false; // set by the queue: its team is above its share
};

struct piece_queue_options {
    // Each priority level counts like a latency target that is later by this time.
    duration priorityStep = std::chrono::milliseconds(60);
    // One of this many calls ignores the priorities while not all requests can be served in time.
    unsigned callsPerFairCall = 4;
    // Share of the throughput that late work is expected to get while new requests overtake it.
    double minLateShare = 0.25;
    // Time over which the rate of new work is averaged.
    duration arrivalWindow = std::chrono::milliseconds(1500);
    // Weight of the newest call in the moving average of the size of calls.
    double callSizeWeight = 0.05;
    team_shares_options shares;
    // A server whose calls take this multiple of their expected time gets work only when the others are not enough.
    double slowFactor = 2;
    duration slownessHalfLife = std::chrono::seconds(2); // decay of a server's measured slowdown
    duration minBlock = std::chrono::milliseconds(300); // after a failed call; doubles with each consecutive failure
    duration maxBlock = std::chrono::seconds(2);
    // When pieces leave the zone of their inputs. Each piece fetches all inputs of its request. With a gain of 20 ms,
    // small inputs crossed more often than with `localityWait`.
    zone_spill_options spill { .minGain = std::chrono::milliseconds(40) };
    // How long pieces wait for a server in the zone of their inputs if `spill` is not enabled.
    duration localityWait = std::chrono::milliseconds(40);
    // Share of a call that a server which exceeds the expected time is expected to need still.
    double overdueShare = 0.25;
    // Share of a server's result storage that is used. The rest allows for results larger than their stated size.
    double usableResultShare = 0.92;
    // How long a server gets no calls after it refused one for lack of a slot or of result storage.
    duration refusalBlock = std::chrono::milliseconds(80);
};

// How far a server itself limits the calls to it.
struct server_pace {
    bool admits = true; // a call now
    double callsPerSecond = 0;
};

class piece_queue {
public:
    // The pace of a server, or none if it names no limit.
    using pace_hook = std::function<std::optional<server_pace>(const server_entry&, mono_time now)>;

    // Pieces of one group in a call.
    struct part {
        piece_ticket ticket = 0;
        unsigned count = 0;
        std::optional<spill_reason>
            spill {}; // why the pieces stay in the zone of their inputs or leave it; none: no zone
    };
    struct call {
        backend_id server;
        std::vector<part> parts;
        unsigned pieces = 0;
    };
    // The pool's servers that accept new work.
    using server_list = std::span<const server_entry* const>;

    piece_queue(piece_spec spec, piece_queue_options options, pace_hook pace = nullptr);

    void configure(const piece_spec& spec) { m_spec = spec; }
    const piece_spec& spec() const { return m_spec; }
    // Limits the concurrent calls. 0: limited only by the slots of the servers.
    void limitCalls(unsigned limit) { m_callLimit = limit; }

    // Rejected groups are not added: they are predicted to miss their deadline. OverShare: and their team is above its
    // share. Their requests are to be rejected.
    enum class admission : std::uint8_t { Queued, Rejected, OverShare };
    admission add(const piece_group& group, server_list servers, mono_time now);
    // Removes the waiting pieces of the ticket. Pieces in calls are not affected.
    void cancel(piece_ticket ticket);
    // Removes and returns the groups that would miss their deadline even in a call that starts now.
    std::vector<piece_ticket> takeExpired(mono_time now);
    struct infeasible_group {
        piece_ticket ticket = 0;
        bool overShare = false;
    };
    // Removes and returns the groups without slack that would miss their deadline even if no more work arrived, so that
    // their requests are rejected now instead of at the deadline. Costs a sort of the groups without slack.
    std::vector<infeasible_group> takeInfeasible(server_list servers, mono_time now);

    // Removes the pieces of the next call from the queue if a server is free for waiting work. The caller must send it.
    std::optional<call> next(server_list servers, mono_time now);

    void succeeded(const backend_id& server, unsigned pieces, duration elapsed, mono_time now);
    // The call failed and was not refused: for example, the server was unreachable or did not answer in time.
    void failed(const backend_id& server, mono_time now);
    // The server refused the call for lack of a slot or of result storage.
    void refused(const backend_id& server, mono_time now);
    // Account for the result storage of the server that is reserved for calls in progress or occupied by results.
    void reserveResultBytes(const backend_id& server, std::uint64_t bytes);
    void releaseResultBytes(const backend_id& server, std::uint64_t bytes);
    // Keeps the server from getting calls until its storage is known, but not beyond `until`.
    void awaitStorage(const backend_id& server, mono_time until);
    // The server's free storage is known. Results of other VMs occupy what is neither free nor reserved here. They are
    // of any age, so that they are expected to expire evenly within `lifetime`.
    void storageKnown(const backend_id& server, std::uint64_t freeBytes, duration lifetime, mono_time now);
    // The server had no storage for a result, so that results of other VMs occupy all that is not reserved here.
    void storageExhausted(const backend_id& server, duration lifetime, mono_time now)
    {
        storageKnown(server, 0, lifetime, now);
    }
    // A result of another VM was freed.
    void releaseForeignBytes(const backend_id& server, std::uint64_t bytes);
    // Discards everything known of a server that was removed or restarted, except its calls in progress.
    void resetServer(const backend_id& server);

    duration expectedTime(unsigned pieces) const { return m_spec.callTime + m_spec.pieceTime * pieces; }
    // Expected time from now until a group that is added now has ended.
    duration predictedDelay(unsigned pieces, server_list servers, mono_time targetTime, mono_time now) const;
    duration callTimeout(const backend_id& server, unsigned pieces, mono_time now) const;
    std::size_t waitingPieces() const { return m_waitingPieces; }
    const team_shares& shares() const { return m_shares; }
    std::size_t waitingGroups() const { return m_groups.size(); }
    unsigned callsInProgress() const { return m_callsInProgress; }

private:
    struct server_state {
        unsigned calls = 0;
        unsigned failures = 0; // consecutive
        double slowdown = 1; // call time as a multiple of the expected time, as of slowdownAt
        mono_time slowdownAt {};
        mono_time blockedUntil {};
        std::uint64_t reservedBytes = 0; // of result storage
        std::uint64_t foreignBytes = 0; // of result storage, occupied by other VMs' results at foreignSince
        mono_time foreignSince {};
        duration foreignLifetime {};
        mono_time awaitsStorageUntil {};
        mono_time callEndsAt {}; // expected end of the newest call
    };
    // Of a zone, for the expected wait there.
    struct zone_view {
        std::vector<duration> untilFree; // of each slot, ascending
        double piecesAhead = 0;
    };
    using zone_views = std::map<zone_id, zone_view>;
    using group_iterator = std::list<piece_group>::iterator;
    // A group that may be served in a zone, and why it stays in the zone of its inputs or leaves it.
    struct candidate_group {
        group_iterator group;
        std::optional<spill_reason> spill;
    };

    double slowdown(const server_state& server, mono_time now) const;
    // Whether the server itself admits a call now.
    bool admits(const server_entry& server, mono_time now) const;
    std::uint64_t usableBytes() const;
    static std::uint64_t occupiedBytes(const server_state& server, mono_time now);
    // Pieces per second that the pool can serve with calls of the size that it reaches while work is waiting. Result
    // storage may limit the size.
    double throughput(server_list servers, mono_time now) const;
    // Marks the waiting work of teams that have become limited, beyond their share.
    void markExcess();
    void recordArrival(const piece_group& group, mono_time now);
    // Pieces per second of new groups with slack.
    double arrivalRate(mono_time now) const;
    std::vector<const server_entry*> freeServers(server_list servers, mono_time now) const;
    // Returns false if no waiting group may run in the zone of the server.
    bool fill(call& filled, const server_entry& server, const zone_views& zones, double rate, mono_time now);
    bool targetsInReach(std::vector<std::list<piece_group>::iterator>& groups, double rate, mono_time now) const;
    // The zones with servers that would get calls now if they were free.
    zone_views viewZones(server_list servers, mono_time now) const;
    std::vector<candidate_group> groupsForZone(const zone_id& zone, const zone_views& zones, mono_time now);
    spill_reason afterFixedWait(const piece_group& group, const zone_views& zones, mono_time now) const;
    spill_reason compareZones(
        const piece_group& group, const zone_id& zone, const zone_views& zones, mono_time now) const;
    bool fastServersSuffice(server_list servers, mono_time now) const;
    void endCall(server_state& server);
    mono_time urgency(const piece_group& group) const;
    bool hasSlack(const piece_group& group, mono_time now) const;

    piece_spec m_spec;
    piece_queue_options m_options;
    pace_hook m_pace;
    team_shares m_shares;
    zone_spill m_spill;
    std::list<piece_group> m_groups; // in order of arrival
    std::map<backend_id, server_state> m_servers;
    std::size_t m_waitingPieces = 0;
    unsigned m_callsInProgress = 0;
    unsigned m_callLimit = 0; // 0: none
    unsigned m_priorityCalls = 0; // consecutive calls that were filled by priority
    double m_callSize; // pieces in a call while more than a batch is waiting, moving average
    std::deque<std::pair<mono_time, unsigned>> m_arrivedPieces; // of groups with slack
};

} // namespace balsamspring

#include "balsamspring/gateway/piece_service.h"

#include "balsamspring/base/hash.h"
#include "balsamspring/base/log.h"

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <fmt/core.h>

namespace balsamspring {

namespace {

struct active_work {
    piece_work work;
    piece_callback callback;
    std::vector<std::optional<piece_result>> results; // by piece
    std::vector<unsigned> waiting; // pieces in the queue
    std::vector<unsigned> attempts; // by piece
    unsigned piecesInCalls = 0;
};

// Results to be freed at one server.
struct release_batch {
    pool_id pool;
    std::vector<piece_result> results;
};

// A result that occupies storage at its server.
struct tracked_result {
    backend_id server;
    std::uint64_t bytes = 0;
    mono_time expiresAt {};
};

// Remembers the latest strings by their hashes.
class recent_set {
public:
    // Returns false if the string is already known.
    bool insert(const std::string& value)
    {
        const std::uint64_t hash = hash64(value);
        if (!m_known.insert(hash).second)
            return false;
        m_order.push_back(hash);
        if (m_order.size() > maxSize) {
            m_known.erase(m_order.front());
            m_order.pop_front();
        }
        return true;
    }

private:
    static constexpr std::size_t maxSize = 16UL * 1024;
    std::unordered_set<std::uint64_t> m_known;
    std::deque<std::uint64_t> m_order; // oldest first
};

struct sent_piece {
    piece_ticket ticket;
    unsigned piece;
};

} // namespace

struct piece_service::state {
    struct pool_state {
        pool_state(const piece_spec& spec, const piece_queue_options& options, piece_queue::pace_hook pace)
            : queue(spec, options, std::move(pace))
        {
        }

        void trackResult(const std::string& handle, const backend_id& server, std::uint64_t bytes, mono_time now)
        {
            queue.reserveResultBytes(server, bytes);
            trackedResults[handle] = { server, bytes, now + queue.spec().resultLifetime };
        }

        void untrackResult(const backend_id& server, const piece_result& freed)
        {
            const auto found = trackedResults.find(freed.handle);
            if (found == trackedResults.end())
                return queue.releaseForeignBytes(server, freed.bytes);
            queue.releaseResultBytes(found->second.server, found->second.bytes);
            trackedResults.erase(found);
        }

        // Servers discard results at the end of their lifetime if no VM frees them, for example after a VM has failed.
        void expireResults(mono_time now)
        {
            for (auto item = trackedResults.begin(); item != trackedResults.end();) {
                if (now < item->second.expiresAt) {
                    ++item;
                    continue;
                }
                queue.releaseResultBytes(item->second.server, item->second.bytes);
                item = trackedResults.erase(item);
            }
        }

        piece_queue queue;
        std::unordered_map<std::string, tracked_result> trackedResults; // by handle
        recent_set handles; // of the latest responses
        event_loop::timer_id recheckTimer = 0;
    };

    struct piece_call : std::enable_shared_from_this<piece_call> {
        pool_id pool;
        server_entry server;
        std::vector<sent_piece> pieces;
        std::shared_ptr<client_exchange> exchange;
        event_loop::timer_id timer = 0;
        mono_time sentAt {};
        backend_response answer;
        std::string body;
        std::uint64_t reserved = 0; // bytes of result storage at the server
        bool ended = false;
    };

    state(piece_service_options initialOptions, piece_service_parts initialParts)
        : options(initialOptions)
        , parts(std::move(initialParts))
    {
    }

    pool_state& pool(const pool_id& id, const piece_spec& spec)
    {
        const auto [found, added] = pools.try_emplace(
            id, spec, options.queue, [this](const server_entry& server, mono_time now) { return paceOf(server, now); });
        found->second.queue.configure(spec);
        if (added)
            found->second.queue.limitCalls(callLimits[id]);
        return found->second;
    }

    std::optional<server_pace> paceOf(const server_entry& server, mono_time now) const
    {
        if (parts.limits.empty())
            return std::nullopt;
        const server_process process = processOf(server);
        const auto rate = parts.limits.rate(process);
        if (!rate)
            return std::nullopt;
        return server_pace { parts.limits.admits(process, now), rate->perSecond * options.callShareOfLimit };
    }

    // Work waits, and servers may be free that admit no call.
    void awaitPermits(const pool_id& id, mono_time now)
    {
        if (parts.limits.empty())
            return;
        bool missing = false;
        for (const server_entry* server : parts.servers.usable(id)) {
            const server_process process = processOf(*server);
            if (parts.limits.admits(process, now))
                continue;
            parts.limits.awaitOne(process, now);
            missing = true;
        }
        if (missing && parts.askForPermits)
            parts.askForPermits([this, id] { dispatch(id); });
    }

    piece_group groupOf(piece_ticket ticket, const active_work& active, unsigned count) const
    {
        return { .ticket = ticket,
            .count = count,
            .resultBytes = active.work.resultBytes,
            .inputBytes = active.work.inputBytes,
            .targetTime = active.work.targetTime,
            .requiredSlack = active.work.requiredSlack,
            .deadline = active.work.deadline,
            .priority = active.work.priority,
            .team = active.work.team,
            .inputZone = active.work.inputZone,
            .queuedAt = bootNow() };
    }

    void dispatch(const pool_id& id)
    {
        const auto found = pools.find(id);
        if (found == pools.end())
            return;
        pool_state& target = found->second;
        const mono_time now = bootNow();
        for (const piece_ticket ticket : target.queue.takeExpired(now)) {
            parts.loop.post([this, ticket] { fail(ticket, error_code::Expired, "deadline expired in the queue"); });
        }
        refusePaused(id, target, now);
        while (auto call = target.queue.next(parts.servers.usable(id), now))
            send(id, target, *call, now);
        if (target.queue.waitingGroups() > 0)
            awaitPermits(id, now);
        scheduleRecheck(id, target);
    }

    // While all servers pause, work whose deadline passes before the first of them returns is refused at once.
    void refusePaused(const pool_id& id, const pool_state& target, mono_time now)
    {
        const auto until = parts.servers.allPausedUntil(id);
        if (!until)
            return;
        for (const auto& [ticket, active] : workByTicket) {
            const auto waiting = static_cast<unsigned>(active.waiting.size());
            const duration call = target.queue.expectedTime(std::min(waiting, target.queue.spec().batch));
            if (active.work.pool == id && waiting > 0 && std::max(now, *until) + call > active.work.deadline)
                parts.loop.post([this, ticket = ticket] { refuse(ticket, false); });
        }
    }

    // Time alone also makes servers available: blocks of servers end and results expire.
    void scheduleRecheck(const pool_id& id, pool_state& target)
    {
        if (target.recheckTimer || target.queue.waitingGroups() == 0)
            return;
        constexpr duration recheckInterval = std::chrono::milliseconds(40);
        target.recheckTimer = parts.loop.after(recheckInterval, [this, id] {
            const auto found = pools.find(id);
            if (found == pools.end())
                return;
            found->second.recheckTimer = 0;
            const mono_time now = bootNow();
            found->second.expireResults(now);
            for (const auto& [ticket, overShare] : found->second.queue.takeInfeasible(parts.servers.usable(id), now)) {
                parts.loop.post([this, ticket = ticket, overShare = overShare] { refuse(ticket, overShare); });
            }
            dispatch(id);
        });
    }

    void send(const pool_id& id, pool_state& target, const piece_queue::call& planned, mono_time now)
    {
        const server_entry* server = parts.servers.find(planned.server);
        auto call = std::make_shared<piece_call>();
        call->pool = id;
        call->server = *server;
        call->sentAt = now;
        std::vector<piece_item> items;
        for (const auto& part : planned.parts) {
            active_work& active = workByTicket.at(part.ticket);
            if (part.spill)
                parts.metrics.count("stage_spill",
                    fmt::format("{}/{}/{}", id.value(), active.work.inputZone.value(), toString(*part.spill)));
            for (unsigned i = 0; i < part.count; ++i) {
                const unsigned piece = active.waiting.back();
                active.waiting.pop_back();
                active.piecesInCalls += 1;
                active.attempts[piece] += 1;
                call->pieces.push_back({ part.ticket, piece });
                items.push_back({ .id = active.work.request,
                    .stage = active.work.stage,
                    .piece = piece,
                    .remaining = active.work.deadline - now,
                    .key = active.work.key,
                    .inputs = active.work.inputs });
            }
        }
        call->reserved = expectedResultBytes(*call);
        target.queue.reserveResultBytes(planned.server, call->reserved);
        auto message = parts.adapter.encodePieceCall(server->address, server->id, items);
        if (!message) {
            logLine(log_level::Error, "stage_call_unencodable",
                { { "pool", id.value() }, { "why", message.error().message } });
            parts.loop.post([this, call] { finish(*call, exchange_outcome::NotSent, "unencodable"); });
            return;
        }
        exchange_request request;
        request.bytes = std::move(*message);
        request.maxIdle = options.idleReuse;
        const duration limit = target.queue.callTimeout(server->id, planned.pieces, now);
        call->timer = parts.loop.after(limit, [this, call] { finish(*call, exchange_outcome::Lost, "silent"); });
        parts.metrics.count("stage_calls", "sent");
        call->exchange = parts.backends.start(*server, send_purpose::StageCall, std::move(request),
            { .onHead =
                    [this, call](const http_head& head) {
                        call->answer = parts.adapter.decodeResponse(head);
                        if (parts.onResponse)
                            parts.onResponse(call->server, call->answer, call->sentAt);
                    },
                .onBody =
                    [this, call](std::string_view bytes) {
                        call->body += bytes;
                        if (call->body.size() > maxResponseBytes(*call))
                            finish(*call, exchange_outcome::Malformed, "endless_answer");
                    },
                .onEnd =
                    [this, call](exchange_outcome end) {
                        finish(*call, end, toString(end));
                    } });
    }

    std::size_t maxResponseBytes(const piece_call& call) const
    {
        return options.maxResponseBytes + call.pieces.size() * options.maxResponseBytesPerPiece;
    }

    std::uint64_t expectedResultBytes(const piece_call& call) const
    {
        std::uint64_t bytes = 0;
        for (const sent_piece& piece : call.pieces) {
            const auto found = workByTicket.find(piece.ticket);
            if (found != workByTicket.end())
                bytes += found->second.work.resultBytes;
        }
        return bytes;
    }

    void finish(piece_call& call, exchange_outcome end, std::string_view cause)
    {
        if (call.ended)
            return;
        call.ended = true;
        parts.loop.cancel(call.timer);
        if (call.exchange)
            call.exchange->cancel();
        pool_state& target = pools.at(call.pool);
        const mono_time now = bootNow();
        target.queue.releaseResultBytes(call.server.id, call.reserved);
        constexpr unsigned okStatus = 200;
        if (end == exchange_outcome::Complete && call.answer.status == okStatus) {
            auto outcomes = parts.adapter.decodePieceResponse(call.body);
            if (outcomes && repeatsHandle(target, *outcomes)) {
                cause = "repeated_answer";
            } else if (outcomes && outcomes->size() == call.pieces.size()) {
                handleOutcomes(call, target, *outcomes, now);
                return dispatch(call.pool);
            } else {
                cause = "unreadable";
            }
        } else if (end == exchange_outcome::Complete) {
            cause = call.answer.notRun ? "rejected" : "error";
        }
        handleFailure(call, target, end, cause, now);
        dispatch(call.pool);
    }

    // A server may send a second copy of an earlier response, late, on a connection that is in use again. Responses to
    // these calls do not name their request, but each result has a handle of its own.
    static bool repeatsHandle(pool_state& target, const std::vector<piece_outcome>& outcomes)
    {
        return std::any_of(outcomes.begin(), outcomes.end(), [&target](const piece_outcome& outcome) {
            return outcome.handle && !target.handles.insert(*outcome.handle);
        });
    }

    void handleOutcomes(piece_call& call, pool_state& target, const std::vector<piece_outcome>& outcomes, mono_time now)
    {
        const auto count = static_cast<unsigned>(call.pieces.size());
        target.queue.succeeded(call.server.id, count, now - call.sentAt, now);
        parts.metrics.observe("stage_call", "served", now - call.sentAt);
        logLine(log_level::Info, "stage_call_done",
            { { "pool", call.pool.value() }, { "server", call.server.id.value() }, { "pieces", std::to_string(count) },
                { "elapsed_ms", fmt::format("{:.0f}", toSeconds(now - call.sentAt) * 1000) },
                { "zone", call.server.zone.value() }, { "remote_mb", fmt::format("{:.1f}", remoteMegabytes(call)) },
                { "waiting", std::to_string(target.queue.waitingPieces()) },
                { "in_progress", std::to_string(target.queue.callsInProgress()) } });
        std::vector<piece_result> orphanedResults;
        std::set<piece_ticket> affected;
        for (std::size_t i = 0; i < outcomes.size(); ++i) {
            const auto [ticket, piece] = call.pieces[i];
            const auto found = workByTicket.find(ticket);
            const piece_outcome& outcome = outcomes[i];
            if (found == workByTicket.end()) {
                if (outcome.handle)
                    orphanedResults.push_back({ *outcome.handle, call.server.zone, 0 });
                continue;
            }
            active_work& active = found->second;
            active.piecesInCalls -= 1;
            affected.insert(ticket);
            if (outcome.handle) {
                active.results[piece] = piece_result { *outcome.handle, call.server.zone, active.work.resultBytes };
                target.trackResult(*outcome.handle, call.server.id, active.work.resultBytes, now);
                continue;
            }
            parts.metrics.count("piece_failures", failureName(outcome.failure));
            if (outcome.failure == piece_failure::NoCapacity)
                target.queue.storageExhausted(call.server.id, target.queue.spec().resultLifetime / 2, now);
            if (outcome.failure == piece_failure::Late)
                fail(ticket, error_code::Expired, "server reported the piece as too late");
            else if (outcome.failure == piece_failure::InputsMissing)
                fail(ticket, error_code::NotFound, "input no longer exists");
            else
                retry(ticket, piece, now, true, failureName(outcome.failure));
        }
        release(call.pool, orphanedResults);
        for (const piece_ticket ticket : affected)
            completeIfDone(ticket);
    }

    // Bytes that the pieces of the call read from other availability zones, and that are made in another zone than the
    // one they are wanted in.
    double remoteMegabytes(const piece_call& call) const
    {
        double bytes = 0;
        for (const sent_piece& piece : call.pieces) {
            const auto found = workByTicket.find(piece.ticket);
            if (found == workByTicket.end())
                continue;
            const piece_work& work = found->second.work;
            if (!work.inputZone.value().empty() && work.inputZone != call.server.zone)
                bytes += static_cast<double>(work.inputs.empty() ? work.resultBytes : work.inputBytes);
        }
        return bytes / 1e6;
    }

    static std::string_view failureName(piece_failure failure)
    {
        switch (failure) {
        case piece_failure::Late:
            return "late";
        case piece_failure::InputsMissing:
            return "inputs_gone";
        case piece_failure::NoCapacity:
            return "no_room";
        case piece_failure::Failed:
            return "failed";
        }
        return "failed";
    }

    void handleFailure(
        piece_call& call, pool_state& target, exchange_outcome end, std::string_view cause, mono_time now)
    {
        const bool rejected = end == exchange_outcome::Complete && call.answer.notRun;
        if (rejected || end == exchange_outcome::Withheld)
            target.queue.refused(call.server.id, now);
        else
            target.queue.failed(call.server.id, now);
        parts.metrics.count("stage_calls", cause);
        logLine(log_level::Warn, "stage_call_failed",
            { { "pool", call.pool.value() }, { "server", call.server.id.value() }, { "how", std::string(cause) },
                { "status", std::to_string(call.answer.status) }, { "pieces", std::to_string(call.pieces.size()) },
                { "elapsed_ms", fmt::format("{:.0f}", toSeconds(now - call.sentAt) * 1000) } });
        // Retries of pieces that never reached a server do not use the retry budget.
        const bool delivered = end != exchange_outcome::NotSent && end != exchange_outcome::Withheld;
        for (const sent_piece& piece : call.pieces) {
            const auto found = workByTicket.find(piece.ticket);
            if (found == workByTicket.end())
                continue;
            found->second.piecesInCalls -= 1;
            retry(piece.ticket, piece.piece, now, delivered, cause);
        }
    }

    void retry(piece_ticket ticket, unsigned piece, mono_time now, bool delivered, std::string_view cause)
    {
        const auto found = workByTicket.find(ticket);
        if (found == workByTicket.end())
            return;
        active_work& active = found->second;
        const bool allowed = active.attempts[piece] < options.attempts
            && (!delivered || parts.retryBudget.trySpend(active.work.pool, now));
        if (!allowed)
            return fail(ticket, error_code::Unavailable, fmt::format("no retry is allowed after: {}", cause));
        active.waiting.push_back(piece);
        pool_state& target = pools.at(active.work.pool);
        parts.metrics.count("repeats", "stage");
        const auto outcome = target.queue.add(groupOf(ticket, active, 1), parts.servers.usable(active.work.pool), now);
        if (outcome != piece_queue::admission::Queued)
            fail(ticket, error_code::Expired, "no capacity left before the deadline");
    }

    void completeIfDone(piece_ticket ticket)
    {
        const auto found = workByTicket.find(ticket);
        if (found == workByTicket.end())
            return;
        std::vector<piece_result> results;
        for (const auto& item : found->second.results) {
            if (!item)
                return;
            results.push_back(*item);
        }
        const piece_callback callback = std::move(found->second.callback);
        workByTicket.erase(found);
        callback(std::move(results));
    }

    void fail(piece_ticket ticket, error_code code, const std::string& reason)
    {
        const auto found = workByTicket.find(ticket);
        if (found == workByTicket.end())
            return;
        const piece_callback callback = std::move(found->second.callback);
        removeWork(ticket);
        callback(makeError(code, reason));
    }

    // No call can complete the work before its deadline.
    void refuse(piece_ticket ticket, bool overShare)
    {
        const auto found = workByTicket.find(ticket);
        if (found == workByTicket.end())
            return;
        if (!overShare)
            return fail(ticket, error_code::Refused, "no capacity before the deadline");
        const piece_work& work = found->second.work;
        const team_shares& shares = pools.at(work.pool).queue.shares();
        parts.metrics.count("over_share", "refused");
        logLine(log_level::Info, "team_over_share",
            { { "id", work.request.value() }, { "team", work.team.value() }, { "pool", work.pool.value() },
                { "demand_per_s", fmt::format("{:.0f}", shares.demand(work.team, bootNow())) },
                { "allowance_per_s", fmt::format("{:.0f}", shares.allowance(work.team)) } });
        fail(ticket, error_code::QuotaExceeded, "the team is above its share of the pool");
    }

    void removeWork(piece_ticket ticket)
    {
        const auto found = workByTicket.find(ticket);
        if (found == workByTicket.end())
            return;
        const active_work active = std::move(found->second);
        workByTicket.erase(found);
        const auto target = pools.find(active.work.pool);
        if (target != pools.end())
            target->second.queue.cancel(ticket);
        std::vector<piece_result> completedResults;
        for (const auto& item : active.results) {
            if (item)
                completedResults.push_back(*item);
        }
        release(active.work.pool, completedResults);
    }

    void release(const pool_id& pool, const std::vector<piece_result>& results)
    {
        for (const piece_result& item : results) {
            const auto serverAddress = parts.adapter.serverOfHandle(item.handle);
            if (!serverAddress) {
                logLine(log_level::Warn, "result_unreadable", { { "pool", pool.value() }, { "handle", item.handle } });
                continue;
            }
            release_batch& batch = pendingReleases[*serverAddress];
            batch.pool = pool;
            batch.results.push_back(item);
        }
        armReleases(options.releaseDelay);
    }

    void armReleases(duration delay)
    {
        const mono_time due = bootNow() + delay;
        if (pendingReleases.empty() || (releaseTimer && releasesDueAt <= due))
            return;
        // Batches that are kept for later do not delay those of other servers.
        parts.loop.cancel(releaseTimer);
        releasesDueAt = due;
        releaseTimer = parts.loop.after(delay, [this] {
            releaseTimer = 0;
            sendReleases();
        });
    }

    // A lost release only occupies storage until the results expire at their server. Storage is accounted as free only
    // after the server has answered, because the server would refuse a call that is sent earlier.
    void sendReleases()
    {
        const auto batches = std::move(pendingReleases);
        pendingReleases.clear();
        for (const auto& [serverAddress, batch] : batches) {
            const server_entry* server = parts.servers.findByAddress(serverAddress);
            if (!server)
                continue;
            // Results that are not freed before the end of the pause, or while a limited server has work, expire or are
            // freed then.
            if (parts.servers.paused(*server) || keepsReleases(*server, batch.pool)) {
                pendingReleases[serverAddress] = batch;
                continue;
            }
            exchange_request request;
            std::vector<std::string> handles;
            for (const piece_result& item : batch.results)
                handles.push_back(item.handle);
            request.bytes = parts.adapter.encodeRelease(serverAddress, handles);
            request.maxIdle = options.idleReuse;
            request.timeLimit = options.releaseTimeout;
            parts.backends.start(*server, send_purpose::Release, std::move(request),
                { .onHead =
                        [this, entry = *server, askedAt = bootNow()](const http_head& head) {
                            if (parts.onResponse)
                                parts.onResponse(entry, parts.adapter.decodeResponse(head), askedAt);
                        },
                    .onBody = nullptr,
                    .onEnd =
                        [this, batch = batch, id = server->id](exchange_outcome end) {
                            releaseEnded(id, batch, end);
                        } });
        }
        armReleases(options.pausedReleaseDelay);
    }

    // The requests that a limited server takes are used for calls first.
    bool keepsReleases(const server_entry& server, const pool_id& pool)
    {
        const server_process process = processOf(server);
        if (!parts.limits.limited(process))
            return false;
        const auto target = pools.find(pool);
        if (target != pools.end() && target->second.queue.waitingGroups() > 0)
            return true;
        const mono_time now = bootNow();
        if (parts.limits.admits(process, now))
            return false;
        parts.limits.awaitOne(process, now);
        return true;
    }

    void releaseEnded(const backend_id& server, const release_batch& batch, exchange_outcome end)
    {
        parts.metrics.count("releases", toString(end));
        const auto target = pools.find(batch.pool);
        if (target == pools.end() || end != exchange_outcome::Complete)
            return;
        for (const piece_result& item : batch.results)
            target->second.untrackResult(server, item);
        dispatch(batch.pool);
    }

    // Another VM may have gathered for the pool, and its results still occupy the servers.
    void learnStorage(const pool_id& id, pool_state& target, mono_time now)
    {
        if (target.queue.spec().resultCapacity == 0)
            return;
        for (const server_entry* server : parts.servers.usable(id)) {
            target.queue.awaitStorage(server->id, now + options.storageWait);
            parts.reports.ask(*server, [this, id, server = server->id](report_outcome, const server_report* report) {
                const auto found = pools.find(id);
                if (found == pools.end())
                    return;
                piece_queue& queue = found->second.queue;
                if (report && report->maxFreeResultBytes)
                    queue.storageKnown(server, *report->maxFreeResultBytes, queue.spec().resultLifetime, bootNow());
                else
                    queue.awaitStorage(server, {});
                dispatch(id);
            });
        }
    }

    piece_service_options options;
    piece_service_parts parts;
    std::map<pool_id, pool_state> pools;
    std::map<pool_id, unsigned> callLimits;
    std::set<pool_id> storageUnknown; // pools for which this VM gathers and has not had work
    std::map<piece_ticket, active_work> workByTicket;
    std::map<endpoint, release_batch> pendingReleases; // by the server that stores them
    event_loop::timer_id releaseTimer = 0;
    mono_time releasesDueAt {}; // valid while the timer is set
    piece_ticket nextTicket = 1;
};

piece_service::piece_service(piece_service_options options, piece_service_parts parts)
    : m_state(std::make_unique<state>(options, std::move(parts)))
{
}

piece_service::~piece_service() = default;

piece_ticket piece_service::submit(const piece_spec& spec, piece_work work, piece_callback callback)
{
    const piece_ticket ticket = m_state->nextTicket++;
    const pool_id id = work.pool;
    const mono_time now = bootNow();
    auto& target = m_state->pool(id, spec);
    if (m_state->storageUnknown.erase(id) > 0)
        m_state->learnStorage(id, target, now);
    const bool affordable = !work.repeated || m_state->parts.retryBudget.trySpend(id, work.count, now);
    if (!work.repeated)
        m_state->parts.retryBudget.requestArrived(id, now);
    active_work active;
    active.results.resize(work.count);
    active.attempts.resize(work.count);
    for (unsigned piece = work.count; piece > 0; --piece)
        active.waiting.push_back(piece - 1);
    active.work = std::move(work);
    active.callback = std::move(callback);
    const unsigned count = active.work.count;
    const auto added = m_state->workByTicket.emplace(ticket, std::move(active)).first;
    if (!affordable) {
        m_state->parts.loop.post([state = m_state.get(), ticket] {
            state->fail(ticket, error_code::Unavailable, "no retry is allowed to make the pieces again");
        });
        return ticket;
    }
    const auto outcome
        = target.queue.add(m_state->groupOf(ticket, added->second, count), m_state->parts.servers.usable(id), now);
    if (outcome != piece_queue::admission::Queued) {
        m_state->awaitPermits(id, now);
        const bool overShare = outcome == piece_queue::admission::OverShare;
        m_state->parts.loop.post([state = m_state.get(), ticket, overShare] { state->refuse(ticket, overShare); });
        return ticket;
    }
    // Deferred so that calls are filled only after all work of this iteration of the event loop has been queued.
    m_state->parts.loop.post([state = m_state.get(), id] { state->dispatch(id); });
    return ticket;
}

void piece_service::cancel(piece_ticket ticket) { m_state->removeWork(ticket); }

void piece_service::release(const pool_id& pool, const std::vector<piece_result>& results)
{
    m_state->release(pool, results);
}

void piece_service::onServerChanged(const server_entry& server, server_change change)
{
    const auto found = m_state->pools.find(server.pool);
    if (found == m_state->pools.end())
        return;
    if (change == server_change::Removed || change == server_change::Restarted)
        found->second.queue.resetServer(server.id);
    // Deferred, so that the change is known everywhere before calls are sent, whatever becomes of them.
    m_state->parts.loop.post([state = m_state.get(), pool = server.pool] { state->dispatch(pool); });
}

void piece_service::beginGathering(const pool_id& pool)
{
    const auto found = m_state->pools.find(pool);
    if (found == m_state->pools.end())
        m_state->storageUnknown.insert(pool); // asked with the first work, whose pool is specified
    else
        m_state->learnStorage(pool, found->second, bootNow());
}

std::optional<duration> piece_service::predictedWait(const pool_id& pool, mono_time now) const
{
    const auto found = m_state->pools.find(pool);
    if (found == m_state->pools.end())
        return std::nullopt;
    const piece_queue& queue = found->second.queue;
    const auto& servers = m_state->parts.servers.usable(pool);
    if (servers.empty())
        return std::nullopt;
    const duration delay = queue.predictedDelay(1, servers, mono_time::max(), now);
    return std::max(duration::zero(), delay - queue.expectedTime(1));
}

void piece_service::limitCalls(const pool_id& pool, unsigned limit)
{
    m_state->callLimits[pool] = limit;
    const auto found = m_state->pools.find(pool);
    if (found == m_state->pools.end())
        return;
    found->second.queue.limitCalls(limit);
    m_state->dispatch(pool);
}

} // namespace balsamspring

#include "balsamspring/gateway/piece_service.h"

#include "balsamspring/base/log.h"

#include <algorithm>
#include <set>
#include <unordered_map>

#include <fmt/core.h>

namespace balsamspring {

namespace {

struct active_work {
    piece_work work;
    piece_callback callback;
    std::vector<std::optional<piece_result>> results; // by piece
    std::vector<unsigned> waiting; // pieces that are in the queue
    std::vector<unsigned> attempts; // by piece
    unsigned inCalls = 0;
};

// Results of one server that are to be freed.
struct release_batch {
    pool_id pool;
    std::vector<std::string> handles;
};

// A result that takes up room at its server.
struct kept_result {
    backend_id server;
    std::uint64_t bytes = 0;
    mono_time expiresAt {};
};

struct sent_piece {
    piece_ticket ticket;
    unsigned piece;
};

} // namespace

struct piece_service::state {
    struct pool_state {
        explicit pool_state(const piece_spec& spec, const piece_queue_options& options)
            : queue(spec, options)
        {
        }

        void keep(const std::string& handle, const backend_id& server, std::uint64_t bytes, mono_time now)
        {
            queue.resultsKept(server, bytes);
            kept[handle] = { server, bytes, now + queue.spec().resultLifetime };
        }

        void free(const std::string& handle)
        {
            const auto found = kept.find(handle);
            if (found == kept.end())
                return;
            queue.resultsFreed(found->second.server, found->second.bytes);
            kept.erase(found);
        }

        // Results that nobody frees, because their VM is gone, expire at their server.
        void dropExpired(mono_time now)
        {
            for (auto item = kept.begin(); item != kept.end();) {
                if (now < item->second.expiresAt) {
                    ++item;
                    continue;
                }
                queue.resultsFreed(item->second.server, item->second.bytes);
                item = kept.erase(item);
            }
        }

        piece_queue queue;
        std::unordered_map<std::string, kept_result> kept; // by handle
        event_loop::timer_id expiryTimer = 0;
    };

    struct piece_call : std::enable_shared_from_this<piece_call> {
        pool_id pool;
        server_entry server;
        std::vector<sent_piece> pieces;
        std::shared_ptr<client_exchange> exchange;
        event_loop::timer_id timer = 0;
        mono_time sentAt {};
        backend_answer answer;
        std::string body;
        std::uint64_t reserved = 0; // bytes of results that were set aside at the server
        bool ended = false;
    };

    state(piece_service_options given, piece_service_parts givenParts)
        : options(given)
        , parts(givenParts)
    {
    }

    pool_state& pool(const pool_id& id, const piece_spec& spec)
    {
        const auto found = pools.find(id);
        if (found == pools.end())
            return pools.emplace(id, pool_state(spec, options.queue)).first->second;
        found->second.queue.configure(spec);
        return found->second;
    }

    piece_group groupOf(piece_ticket ticket, const active_work& active, unsigned count) const
    {
        return { .ticket = ticket,
            .count = count,
            .resultBytes = active.work.resultBytes,
            .wanted = active.work.wanted,
            .margin = active.work.margin,
            .deadline = active.work.deadline,
            .priority = active.work.priority,
            .inputZone = active.work.inputZone,
            .since = bootNow() };
    }

    void pump(const pool_id& id)
    {
        const auto found = pools.find(id);
        if (found == pools.end())
            return;
        pool_state& target = found->second;
        const mono_time now = bootNow();
        for (const piece_ticket ticket : target.queue.takeExpired(now)) {
            parts.loop.post([this, ticket] { fail(ticket, error_code::Expired, "the deadline came while waiting"); });
        }
        while (auto call = target.queue.next(parts.servers.usable(id), now))
            send(id, target, *call, now);
        arm(id, target);
    }

    // Servers become free by time as well: blocks end, results expire.
    void arm(const pool_id& id, pool_state& target)
    {
        if (target.expiryTimer || target.queue.waitingGroups() == 0)
            return;
        constexpr duration recheck = std::chrono::milliseconds(40);
        target.expiryTimer = parts.loop.after(recheck, [this, id] {
            const auto found = pools.find(id);
            if (found == pools.end())
                return;
            found->second.expiryTimer = 0;
            const mono_time now = bootNow();
            found->second.dropExpired(now);
            for (const piece_ticket ticket : found->second.queue.takeHopeless(parts.servers.usable(id), now)) {
                parts.loop.post(
                    [this, ticket] { fail(ticket, error_code::Refused, "no capacity before the deadline"); });
            }
            pump(id);
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
            active_work& active = works.at(part.ticket);
            for (unsigned i = 0; i < part.count; ++i) {
                const unsigned piece = active.waiting.back();
                active.waiting.pop_back();
                active.inCalls += 1;
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
        call->reserved = bytesOf(*call);
        target.queue.resultsKept(planned.server, call->reserved);
        exchange_request request;
        request.bytes = parts.adapter.encodePieceCall(server->address, server->id, items);
        request.maxIdle = options.idleReuse;
        const duration limit = target.queue.callTimeout(server->id, planned.pieces, now);
        call->timer = parts.loop.after(limit, [this, call] { finish(*call, exchange_end::Lost, "silent"); });
        parts.metrics.count("stage_calls", "sent");
        call->exchange = parts.backends.start(server->address, std::move(request),
            { .onHead = [this, call](const http_head& head) { call->answer = parts.adapter.decodeAnswer(head); },
                .onBody = [call](std::string_view bytes) { call->body += bytes; },
                .onEnd =
                    [this, call](exchange_end end) {
                        finish(*call, end, toString(end));
                    } });
    }

    std::uint64_t bytesOf(const piece_call& call) const
    {
        std::uint64_t bytes = 0;
        for (const sent_piece& piece : call.pieces) {
            const auto found = works.find(piece.ticket);
            if (found != works.end())
                bytes += found->second.work.resultBytes;
        }
        return bytes;
    }

    void finish(piece_call& call, exchange_end end, std::string_view how)
    {
        if (call.ended)
            return;
        call.ended = true;
        parts.loop.cancel(call.timer);
        if (call.exchange)
            call.exchange->cancel();
        pool_state& target = pools.at(call.pool);
        const mono_time now = bootNow();
        target.queue.resultsFreed(call.server.id, call.reserved);
        constexpr unsigned okStatus = 200;
        if (end == exchange_end::Complete && call.answer.status == okStatus) {
            if (auto outcomes = parts.adapter.decodePieceAnswer(call.body);
                outcomes && outcomes->size() == call.pieces.size()) {
                accept(call, target, *outcomes, now);
                return pump(call.pool);
            }
            how = "unreadable";
        } else if (end == exchange_end::Complete) {
            how = call.answer.notRun ? "rejected" : "error";
        }
        reject(call, target, end, how, now);
        pump(call.pool);
    }

    void accept(piece_call& call, pool_state& target, const std::vector<piece_outcome>& outcomes, mono_time now)
    {
        const auto count = static_cast<unsigned>(call.pieces.size());
        target.queue.succeeded(call.server.id, count, now - call.sentAt, now);
        parts.metrics.observe("stage_call", "served", now - call.sentAt);
        logLine(log_level::Info, "stage_call_done",
            { { "pool", call.pool.value() }, { "server", call.server.id.value() }, { "pieces", std::to_string(count) },
                { "elapsed_ms", fmt::format("{:.0f}", toSeconds(now - call.sentAt) * 1000) },
                { "waiting", std::to_string(target.queue.waitingPieces()) },
                { "in_progress", std::to_string(target.queue.callsInProgress()) } });
        std::vector<piece_result> unwanted;
        std::set<piece_ticket> touched;
        for (std::size_t i = 0; i < outcomes.size(); ++i) {
            const auto [ticket, piece] = call.pieces[i];
            const auto found = works.find(ticket);
            const piece_outcome& outcome = outcomes[i];
            if (found == works.end()) {
                if (outcome.handle)
                    unwanted.push_back({ *outcome.handle, call.server.zone, 0 });
                continue;
            }
            active_work& active = found->second;
            active.inCalls -= 1;
            touched.insert(ticket);
            if (outcome.handle) {
                active.results[piece] = piece_result { *outcome.handle, call.server.zone, active.work.resultBytes };
                target.keep(*outcome.handle, call.server.id, active.work.resultBytes, now);
                continue;
            }
            parts.metrics.count("piece_failures", failureName(outcome.failure));
            if (outcome.failure == piece_failure::Late)
                fail(ticket, error_code::Expired, "the server found the piece too late");
            else if (outcome.failure == piece_failure::InputsGone)
                fail(ticket, error_code::NotFound, "an input is gone");
            else
                retry(ticket, piece, now, true);
        }
        release(call.pool, unwanted);
        for (const piece_ticket ticket : touched)
            completeIfDone(ticket);
    }

    static std::string_view failureName(piece_failure failure)
    {
        switch (failure) {
        case piece_failure::Late:
            return "late";
        case piece_failure::InputsGone:
            return "inputs_gone";
        case piece_failure::NoRoom:
            return "no_room";
        case piece_failure::Failed:
            return "failed";
        }
        return "failed";
    }

    void reject(piece_call& call, pool_state& target, exchange_end end, std::string_view how, mono_time now)
    {
        const bool rejected = end == exchange_end::Complete && call.answer.notRun;
        if (rejected)
            target.queue.refused(call.server.id, now);
        else
            target.queue.failed(call.server.id, now);
        parts.metrics.count("stage_calls", how);
        logLine(log_level::Warn, "stage_call_failed",
            { { "pool", call.pool.value() }, { "server", call.server.id.value() }, { "how", std::string(how) },
                { "status", std::to_string(call.answer.status) }, { "pieces", std::to_string(call.pieces.size()) },
                { "elapsed_ms", fmt::format("{:.0f}", toSeconds(now - call.sentAt) * 1000) } });
        // Pieces that never reached a server may be sent anew without the budget.
        const bool arrived = end != exchange_end::NotSent;
        for (const sent_piece& piece : call.pieces) {
            const auto found = works.find(piece.ticket);
            if (found == works.end())
                continue;
            found->second.inCalls -= 1;
            retry(piece.ticket, piece.piece, now, arrived);
        }
    }

    void retry(piece_ticket ticket, unsigned piece, mono_time now, bool arrived)
    {
        const auto found = works.find(ticket);
        if (found == works.end())
            return;
        active_work& active = found->second;
        const bool allowed
            = active.attempts[piece] < options.attempts && (!arrived || parts.repeats.trySpend(active.work.pool, now));
        if (!allowed)
            return fail(ticket, error_code::Unavailable, "servers of the stage failed");
        active.waiting.push_back(piece);
        pool_state& target = pools.at(active.work.pool);
        parts.metrics.count("repeats", "stage");
        if (!target.queue.add(groupOf(ticket, active, 1), parts.servers.usable(active.work.pool), now))
            fail(ticket, error_code::Expired, "no capacity left before the deadline");
    }

    void completeIfDone(piece_ticket ticket)
    {
        const auto found = works.find(ticket);
        if (found == works.end())
            return;
        std::vector<piece_result> results;
        for (const auto& item : found->second.results) {
            if (!item)
                return;
            results.push_back(*item);
        }
        const piece_callback callback = std::move(found->second.callback);
        works.erase(found);
        callback(std::move(results));
    }

    void fail(piece_ticket ticket, error_code code, const std::string& why)
    {
        const auto found = works.find(ticket);
        if (found == works.end())
            return;
        const piece_callback callback = std::move(found->second.callback);
        drop(ticket);
        callback(makeError(code, why));
    }

    void drop(piece_ticket ticket)
    {
        const auto found = works.find(ticket);
        if (found == works.end())
            return;
        const active_work active = std::move(found->second);
        works.erase(found);
        const auto target = pools.find(active.work.pool);
        if (target != pools.end())
            target->second.queue.cancel(ticket);
        std::vector<piece_result> done;
        for (const auto& item : active.results) {
            if (item)
                done.push_back(*item);
        }
        release(active.work.pool, done);
    }

    void release(const pool_id& pool, const std::vector<piece_result>& results)
    {
        for (const piece_result& item : results) {
            const auto maker = parts.adapter.makerOf(item.handle);
            if (!maker) {
                logLine(log_level::Warn, "result_unreadable", { { "pool", pool.value() }, { "handle", item.handle } });
                continue;
            }
            release_batch& batch = unfreed[*maker];
            batch.pool = pool;
            batch.handles.push_back(item.handle);
        }
        if (unfreed.empty() || releaseTimer)
            return;
        releaseTimer = parts.loop.after(options.releaseDelay, [this] {
            releaseTimer = 0;
            sendReleases();
        });
    }

    // Results that are not freed expire at their server, so that a lost call only costs room for a while. Room counts
    // as free when the server has answered: a call that is sent before would find none.
    void sendReleases()
    {
        const auto batches = std::move(unfreed);
        unfreed.clear();
        for (const auto& [maker, batch] : batches) {
            const server_entry* server = parts.servers.findByAddress(maker);
            if (!server)
                continue;
            exchange_request request;
            request.bytes = parts.adapter.encodeRelease(maker, batch.handles);
            request.maxIdle = options.idleReuse;
            parts.backends.start(maker, std::move(request),
                { .onHead = nullptr, .onBody = nullptr, .onEnd = [this, batch = batch](exchange_end end) {
                     released(batch, end);
                 } });
        }
    }

    void released(const release_batch& batch, exchange_end end)
    {
        parts.metrics.count("releases", toString(end));
        const auto target = pools.find(batch.pool);
        if (target == pools.end() || end != exchange_end::Complete)
            return;
        for (const std::string& handle : batch.handles)
            target->second.free(handle);
        pump(batch.pool);
    }

    piece_service_options options;
    piece_service_parts parts;
    std::map<pool_id, pool_state> pools;
    std::map<piece_ticket, active_work> works;
    std::map<endpoint, release_batch> unfreed; // by the server that keeps them
    event_loop::timer_id releaseTimer = 0;
    piece_ticket nextTicket = 1;
};

piece_service::piece_service(piece_service_options options, piece_service_parts parts)
    : m_state(std::make_unique<state>(options, parts))
{
}

piece_service::~piece_service() = default;

piece_ticket piece_service::submit(const piece_spec& spec, piece_work work, piece_callback callback)
{
    const piece_ticket ticket = m_state->nextTicket++;
    const pool_id id = work.pool;
    const mono_time now = bootNow();
    auto& target = m_state->pool(id, spec);
    m_state->parts.repeats.requestArrived(id, now);
    active_work active;
    active.results.resize(work.count);
    active.attempts.resize(work.count);
    for (unsigned piece = work.count; piece > 0; --piece)
        active.waiting.push_back(piece - 1);
    active.work = std::move(work);
    active.callback = std::move(callback);
    const unsigned count = active.work.count;
    const auto added = m_state->works.emplace(ticket, std::move(active)).first;
    if (!target.queue.add(m_state->groupOf(ticket, added->second, count), m_state->parts.servers.usable(id), now)) {
        m_state->parts.loop.post([state = m_state.get(), ticket] {
            state->fail(ticket, error_code::Refused, "no capacity before the deadline");
        });
        return ticket;
    }
    // The queue sees everything that arrives in this turn of the loop before it fills a call.
    m_state->parts.loop.post([state = m_state.get(), id] { state->pump(id); });
    return ticket;
}

void piece_service::cancel(piece_ticket ticket) { m_state->drop(ticket); }

void piece_service::release(const pool_id& pool, const std::vector<piece_result>& results)
{
    m_state->release(pool, results);
}

void piece_service::serverChanged(const server_entry& server, server_change change)
{
    const auto found = m_state->pools.find(server.pool);
    if (found == m_state->pools.end())
        return;
    if (change == server_change::Removed || change == server_change::Restarted)
        found->second.queue.forget(server.id);
    m_state->pump(server.pool);
}

void piece_service::limitCalls(const pool_id& pool, unsigned limit)
{
    const auto found = m_state->pools.find(pool);
    if (found == m_state->pools.end())
        return;
    found->second.queue.limitCalls(limit);
    m_state->pump(pool);
}

} // namespace balsamspring

#include "balsamspring/gateway/piece_router.h"

#include "balsamspring/base/log.h"
#include "balsamspring/gateway/peer_messages.h"
#include "balsamspring/gateway/piece_gatherer.h"
#include "balsamspring/net/http_exchange.h"

#include <set>

namespace balsamspring {

namespace {

struct routed_work {
    piece_spec spec;
    piece_work work;
    piece_callback callback;
    piece_ticket localTicket = 0;
    std::shared_ptr<client_exchange> exchange;
    event_loop::timer_id silenceTimer = 0;
    endpoint owner;
    unsigned status = 0;
    std::string body;
    bool named = false; // another VM has named the receiver
    unsigned redirects = 0; // VMs to which it was sent after the first
};

// Bounds the time that a request spends on VMs that do not answer.
constexpr unsigned maxRedirects = 3;

exchange_client_options peerOptions(const piece_router_options& options)
{
    exchange_client_options peers;
    peers.connectTimeout = options.connectTimeout;
    peers.idleLimit = options.idleReuse;
    return peers;
}

} // namespace

struct piece_router::state {
    state(piece_router_options initialOptions, event_loop& eventLoop, piece_service& service, gateway_metrics& counters)
        : options(initialOptions)
        , loop(eventLoop)
        , local(service)
        , metrics(counters)
        , peers(eventLoop, peerOptions(initialOptions))
    {
    }

    void start(piece_ticket ticket)
    {
        routed_work& routed = workByTicket.at(ticket);
        const auto owner = ownership ? ownership->remoteGatherer(routed.work.pool, bootNow()) : std::nullopt;
        if (owner)
            return sendTo(ticket, *owner);
        runLocally(ticket);
    }

    void runLocally(piece_ticket ticket)
    {
        routed_work& routed = workByTicket.at(ticket);
        locallyCalledPools.insert(routed.work.pool);
        updateCallLimit(routed.work.pool);
        routed.localTicket = local.submit(routed.spec, routed.work,
            [this, ticket](result<std::vector<piece_result>> outcome) { finish(ticket, std::move(outcome)); });
    }

    void updateCallLimit(const pool_id& pool)
    {
        const bool gathersHere = !ownership || ownership->gathersFor(pool, bootNow());
        local.limitCalls(pool, gathersHere ? 0 : options.fallbackCalls);
    }

    void sendTo(piece_ticket ticket, const endpoint& owner)
    {
        routed_work& routed = workByTicket.at(ticket);
        routed.owner = owner;
        ownership->reportRequest(routed.work.pool, owner, bootNow());
        const bool designated = routed.named || ownership->isSubstitute(routed.work.pool, owner);
        exchange_request request;
        request.bytes = peerRequest(owner, gatherPath, encodeGatherRequest(routed.work, designated, bootNow()));
        request.maxIdle = options.idleReuse;
        routed.silenceTimer = loop.after(options.silenceLimit, [this, ticket] { fallBack(ticket, "silent"); });
        auto exchange = peers.start(owner, std::move(request),
            { .onHead = [this, ticket](const http_head& head) { headArrived(ticket, head.status); },
                .onBody = [this, ticket](std::string_view bytes) { bodyArrived(ticket, bytes); },
                .onEnd =
                    [this, ticket](exchange_outcome end) {
                        answered(ticket, end);
                    } });
        if (const auto found = workByTicket.find(ticket); found != workByTicket.end())
            found->second.exchange = std::move(exchange);
    }

    void headArrived(piece_ticket ticket, unsigned status)
    {
        if (const auto found = workByTicket.find(ticket); found != workByTicket.end())
            found->second.status = status;
        restartSilenceTimer(ticket);
    }

    void bodyArrived(piece_ticket ticket, std::string_view bytes)
    {
        if (const auto found = workByTicket.find(ticket); found != workByTicket.end())
            found->second.body += bytes;
        restartSilenceTimer(ticket);
    }

    void restartSilenceTimer(piece_ticket ticket)
    {
        const auto found = workByTicket.find(ticket);
        if (found == workByTicket.end())
            return;
        loop.cancel(found->second.silenceTimer);
        found->second.silenceTimer = loop.after(options.silenceLimit, [this, ticket] { fallBack(ticket, "silent"); });
    }

    void answered(piece_ticket ticket, exchange_outcome end)
    {
        const auto found = workByTicket.find(ticket);
        if (found == workByTicket.end())
            return;
        found->second.exchange = nullptr;
        if (end != exchange_outcome::Complete)
            return fallBack(ticket, toString(end));
        if (found->second.status != peerOk)
            return declined(ticket);
        decoded_gather_reply answer = decodeGatherReply(found->second.body);
        if (!answer.wellFormed)
            return fallBack(ticket, "unreadable");
        loop.cancel(found->second.silenceTimer);
        lastAnswerAt[found->second.owner] = bootNow();
        ownership->reportAnswer(found->second.work.pool, found->second.owner);
        finish(ticket, std::move(answer.outcome));
    }

    // The VM that declined may name the owner, which then gets the request.
    void declined(piece_ticket ticket)
    {
        routed_work& routed = workByTicket.at(ticket);
        const auto namedOwner = parseEndpoint(routed.body);
        const bool other
            = ownership->reportNotOwner(routed.work.pool, namedOwner ? std::optional(*namedOwner) : std::nullopt);
        // At most once: VMs with different views of the owners must not forward a request in a loop.
        if (!other || routed.named)
            return fallBack(ticket, "declined");
        loop.cancel(routed.silenceTimer);
        routed.named = true;
        redirectTo(ticket, *namedOwner);
    }

    void redirectTo(piece_ticket ticket, const endpoint& other)
    {
        routed_work& routed = workByTicket.at(ticket);
        routed.redirects += 1;
        routed.status = 0;
        routed.body.clear();
        metrics.count("gather_fallbacks", "redirected");
        sendTo(ticket, other);
    }

    void fallBack(piece_ticket ticket, std::string_view reason)
    {
        const auto found = workByTicket.find(ticket);
        if (found == workByTicket.end())
            return;
        routed_work& routed = found->second;
        loop.cancel(routed.silenceTimer);
        routed.silenceTimer = 0;
        if (routed.exchange)
            routed.exchange->cancel();
        routed.exchange = nullptr;
        metrics.count("gather_fallbacks", reason);
        logLine(log_level::Warn, "gatherer_lost",
            { { "id", routed.work.request.value() }, { "pool", routed.work.pool.value() },
                { "owner", toString(routed.owner) }, { "why", std::string(reason) } });
        // A single failure does not make an owner unreachable if it has answered another request recently. One that
        // declines gathers no longer.
        const mono_time now = bootNow();
        if (reason == "declined" || now - lastAnswerAt[routed.owner] > options.silenceLimit)
            ownership->reportUnreachable(routed.work.pool, routed.owner, now);
        const auto other = ownership->remoteGatherer(routed.work.pool, now);
        if (!other || *other == routed.owner || routed.redirects >= maxRedirects)
            return runLocally(ticket);
        redirectTo(ticket, *other);
    }

    void finish(piece_ticket ticket, result<std::vector<piece_result>> outcome)
    {
        const auto found = workByTicket.find(ticket);
        if (found == workByTicket.end())
            return;
        const piece_callback callback = std::move(found->second.callback);
        workByTicket.erase(found);
        callback(std::move(outcome));
    }

    void cancel(piece_ticket ticket)
    {
        const auto found = workByTicket.find(ticket);
        if (found == workByTicket.end())
            return;
        loop.cancel(found->second.silenceTimer);
        if (found->second.exchange)
            found->second.exchange->cancel();
        if (found->second.localTicket)
            local.cancel(found->second.localTicket);
        workByTicket.erase(found);
    }

    void release(const pool_id& pool, const std::vector<piece_result>& results)
    {
        if (results.empty())
            return;
        if (!ownership || !ownership->remoteGatherer(pool, bootNow()))
            return local.release(pool, results);
        auto& queued = pendingReleases[pool];
        queued.insert(queued.end(), results.begin(), results.end());
        if (releaseTimer)
            return;
        releaseTimer = loop.after(options.releaseDelay, [this] {
            releaseTimer = 0;
            sendReleases();
        });
    }

    // The gathering VM frees the results, because it accounts for the result storage of the servers.
    void sendReleases()
    {
        const auto batches = std::move(pendingReleases);
        pendingReleases.clear();
        for (const auto& [pool, results] : batches) {
            const auto owner = ownership->remoteGatherer(pool, bootNow());
            if (!owner) {
                local.release(pool, results);
                continue;
            }
            exchange_request request;
            request.bytes = peerRequest(*owner, releasePath, encodeRelease(pool, results));
            request.maxIdle = options.idleReuse;
            request.timeLimit = options.releaseTimeout;
            peers.start(*owner, std::move(request),
                { .onHead = nullptr,
                    .onBody = nullptr,
                    .onEnd = [this, pool = pool, results = results](exchange_outcome end) {
                        if (end != exchange_outcome::Complete)
                            local.release(pool, results);
                    } });
        }
    }

    piece_router_options options;
    event_loop& loop;
    piece_service& local;
    gateway_metrics& metrics;
    exchange_client peers;
    pool_ownership* ownership = nullptr;
    std::map<piece_ticket, routed_work> workByTicket;
    std::map<pool_id, std::vector<piece_result>> pendingReleases;
    std::map<endpoint, mono_time> lastAnswerAt; // by owner
    std::set<pool_id> locallyCalledPools; // whose call limits depend on the owner
    event_loop::timer_id releaseTimer = 0;
    piece_ticket nextTicket = 1;
};

piece_router::piece_router(
    piece_router_options options, event_loop& loop, piece_service& local, gateway_metrics& metrics)
    : m_state(std::make_unique<state>(options, loop, local, metrics))
{
}

piece_router::~piece_router() = default;

void piece_router::setOwnership(pool_ownership* ownership) { m_state->ownership = ownership; }

void piece_router::onOwnersChanged()
{
    for (const pool_id& pool : m_state->locallyCalledPools)
        m_state->updateCallLimit(pool);
}

piece_ticket piece_router::submit(const piece_spec& spec, piece_work work, piece_callback callback)
{
    const piece_ticket ticket = m_state->nextTicket++;
    routed_work routed;
    routed.spec = spec;
    routed.work = std::move(work);
    routed.callback = std::move(callback);
    m_state->workByTicket.emplace(ticket, std::move(routed));
    m_state->start(ticket);
    return ticket;
}

void piece_router::cancel(piece_ticket ticket) { m_state->cancel(ticket); }

void piece_router::release(const pool_id& pool, const std::vector<piece_result>& results)
{
    m_state->release(pool, results);
}

} // namespace balsamspring

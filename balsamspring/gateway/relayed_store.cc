#include "balsamspring/gateway/relayed_store.h"

#include "balsamspring/base/log.h"
#include "balsamspring/gateway/page_codec.h"
#include "balsamspring/gateway/peer_messages.h"
#include "balsamspring/gather_schema/gather.pb.h"

#include <set>

namespace balsamspring {

namespace {

std::string encodeReadRequest(const endpoint& peer, const std::string& topic, std::uint64_t from, duration wait)
{
    schema::follow_request request;
    request.set_topic(topic);
    request.set_from_offset(from);
    request.set_wait_us(wait.count());
    return peerRequest(peer, followPath, request.SerializeAsString());
}

exchange_client_options clientOptions(const relayed_store_options& options)
{
    exchange_client_options client;
    client.connectTimeout = options.connectTimeout;
    client.idleLimit = options.idleReuse;
    return client;
}

// A read that was sent to another VM, and its response so far.
struct peer_read {
    std::shared_ptr<client_exchange> exchange;
    event_loop::timer_id timer = 0;
    unsigned status = 0;
    std::string body;
    bool ended = false;
};

} // namespace

struct relayed_store::state {
    state(relayed_store_options storeOptions, event_loop& owner, const record_store& store, gateway_metrics& counters)
        : options(storeOptions)
        , loop(owner)
        , direct(store)
        , metrics(counters)
        , peers(owner, clientOptions(storeOptions))
        , relayed(store)
    {
        relayed.readFrom = [this](const std::string& topic, std::uint64_t from, duration wait,
                               record_store::reply<record_page> reply) {
            read(topic, from, wait, std::move(reply));
        };
    }

    void read(const std::string& topic, std::uint64_t from, duration wait, record_store::reply<record_page> reply)
    {
        const mono_time now = bootNow();
        const auto owner = ownership ? ownership->remoteOwner(pool_id(topic), now) : std::nullopt;
        if (!owner) {
            relayedTopics.erase(topic);
            return direct.readFrom(topic, from, wait, std::move(reply));
        }
        const auto relayWait = scheduleOf(topic).schedule.relayWait(now);
        if (!relayWait) {
            metrics.count("relayed_reads", "no_time");
            return direct.readFrom(topic, from, duration::zero(), std::move(reply));
        }
        auto peerRead = std::make_shared<peer_read>();
        const auto end = [this, peerRead, owner = *owner, topic, from, wait, reply](std::string_view outcome) {
            finish(*peerRead, owner, topic, from, wait, outcome, reply);
        };
        peerRead->timer = loop.after(*relayWait + scheduleOf(topic).options.relayMargin, [end] { end("silent"); });
        exchange_request request;
        request.bytes = encodeReadRequest(*owner, topic, from, *relayWait);
        request.maxIdle = options.idleReuse;
        auto exchange = peers.start(*owner, std::move(request),
            { .onHead = [peerRead](const http_head& head) { peerRead->status = head.status; },
                .onBody = [peerRead](std::string_view bytes) { peerRead->body += bytes; },
                .onEnd =
                    [end](exchange_outcome outcome) {
                        end(toString(outcome));
                    } });
        if (!peerRead->ended)
            peerRead->exchange = std::move(exchange);
    }

    void finish(peer_read& peerRead, const endpoint& owner, const std::string& topic, std::uint64_t from, duration wait,
        std::string_view outcome, const record_store::reply<record_page>& reply)
    {
        if (peerRead.ended)
            return;
        peerRead.ended = true;
        loop.cancel(peerRead.timer);
        if (peerRead.exchange)
            peerRead.exchange->cancel();
        peerRead.exchange = nullptr;
        const bool complete = outcome == toString(exchange_outcome::Complete);
        if (complete && peerRead.status == peerOk) {
            if (auto page = decodePage(peerRead.body)) {
                metrics.count("relayed_reads", "answered");
                ownership->reportAnswer(pool_id(topic), owner);
                relayedTopics.insert(topic);
                return reply(std::move(*page));
            }
        }
        relayedTopics.erase(topic);
        metrics.count("relayed_reads", complete ? "declined" : outcome);
        if (complete && peerRead.status == peerNotOwner) {
            ownership->reportNotOwner(pool_id(topic), std::nullopt);
        } else if (!complete) {
            logLine(log_level::Warn, "relay_lost",
                { { "topic", topic }, { "owner", toString(owner) }, { "why", std::string(outcome) } });
            ownership->reportUnreachable(pool_id(topic), owner, bootNow());
        }
        // A failed relay read has already used up the wait, so the store is asked to answer immediately.
        direct.readFrom(topic, from, complete ? wait : duration::zero(), reply);
    }

    struct topic_schedule {
        explicit topic_schedule(const read_schedule_options& scheduleOptions)
            : options(scheduleOptions)
            , schedule(scheduleOptions)
        {
        }

        read_schedule_options options;
        read_schedule schedule;
    };

    topic_schedule& scheduleOf(const std::string& topic)
    {
        return schedules.try_emplace(topic, read_schedule_options {}).first->second;
    }

    relayed_store_options options;
    event_loop& loop;
    const record_store& direct;
    gateway_metrics& metrics;
    exchange_client peers;
    record_store relayed;
    std::map<std::string, topic_schedule> schedules;
    std::set<std::string> relayedTopics; // Topics whose last read another VM answered.
    std::map<std::string, page_encoder> encoders; // By topic, since offsets belong to a topic.
    pool_ownership* ownership = nullptr;
    std::map<std::string, topic_relay> relays;
};

relayed_store::relayed_store(
    relayed_store_options options, event_loop& loop, const record_store& direct, gateway_metrics& metrics)
    : m_state(std::make_unique<state>(options, loop, direct, metrics))
{
}

relayed_store::~relayed_store() = default;

void relayed_store::setOwnership(pool_ownership* ownership) { m_state->ownership = ownership; }

void relayed_store::setSchedule(const std::string& topic, const read_schedule_options& options)
{
    m_state->schedules.insert_or_assign(topic, state::topic_schedule(options));
}

void relayed_store::proven(const std::string& topic, mono_time provenAt)
{
    m_state->scheduleOf(topic).schedule.proven(provenAt);
}

duration relayed_store::pauseBeforeRead(const std::string& topic, duration usual) const
{
    // Without a relay, the next read asks the store.
    if (!m_state->ownership || relays(topic))
        return usual;
    return m_state->scheduleOf(topic).schedule.pauseBeforeRelay(usual, bootNow());
}

const record_store& relayed_store::store() const { return m_state->relayed; }

topic_relay& relayed_store::relay(const std::string& topic)
{
    return m_state->relays.try_emplace(topic, relay_options {}).first->second;
}

bool relayed_store::relays(const std::string& topic) const
{
    return m_state->ownership && m_state->ownership->isOwner(pool_id(topic));
}

bool relayed_store::isRelayed(const std::string& topic) const { return m_state->relayedTopics.contains(topic); }

void relayed_store::handle(const incoming_request& request, const std::shared_ptr<response_writer>& writer)
{
    schema::follow_request decoded;
    if (!decoded.ParseFromString(request.body))
        return writer->send(peerHead(peerBadRequest), {});
    const auto found = m_state->relays.find(decoded.topic());
    if (found == m_state->relays.end() || !relays(decoded.topic()))
        return writer->send(peerHead(peerNotOwner), {});
    topic_relay& source = found->second;
    const auto id = source.requestPage(decoded.from_offset(), request.receivedAt,
        [writer, &encoder = m_state->encoders[decoded.topic()]](const std::optional<record_page>& page) {
            if (page)
                writer->send(peerHead(peerOk), encoder.encode(*page));
            else
                writer->send(peerHead(peerUnavailable), {});
        });
    if (!id)
        return;
    writer->onDisconnect([&source, id] { source.cancelPageRequest(id); });
    m_state->loop.after(duration(decoded.wait_us()), [&source, id] { source.expire(id, bootNow()); });
}

} // namespace balsamspring

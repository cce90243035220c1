#include "balsamspring/gateway/piece_gatherer.h"

#include "balsamspring/gateway/peer_messages.h"
#include "balsamspring/gather_schema/gather.pb.h"

namespace balsamspring {

namespace {

// Sent repeatedly ahead of the reply, so that the requesting VM can tell a slow gatherer from an unresponsive one.
constexpr char keepAliveByte = ' ';

void addResults(
    google::protobuf::RepeatedPtrField<schema::gathered_result>& list, const std::vector<piece_result>& results)
{
    for (const piece_result& item : results) {
        auto* added = list.Add();
        added->set_handle(item.handle);
        added->set_zone(item.zone.value());
        added->set_bytes(item.bytes);
    }
}

std::vector<piece_result> readResults(const google::protobuf::RepeatedPtrField<schema::gathered_result>& list)
{
    std::vector<piece_result> results;
    for (const auto& item : list)
        results.push_back({ item.handle(), zone_id(item.zone()), item.bytes() });
    return results;
}

std::string encodeReply(const result<std::vector<piece_result>>& outcome)
{
    schema::gather_reply reply;
    if (outcome) {
        addResults(*reply.mutable_results(), *outcome);
    } else {
        reply.set_error(static_cast<std::uint32_t>(outcome.error().code) + 1);
        reply.set_message(outcome.error().message);
    }
    return reply.SerializeAsString();
}

// A request of another VM that has not been answered yet.
struct remote_work {
    std::shared_ptr<response_writer> writer;
    piece_ticket ticket = 0;
    event_loop::timer_id keepAliveTimer = 0;
    bool ended = false;
};

void scheduleKeepAlive(event_loop& loop, duration interval, const std::shared_ptr<remote_work>& remoteWork)
{
    remoteWork->keepAliveTimer = loop.after(interval, [&loop, interval, remoteWork] {
        if (remoteWork->ended)
            return;
        remoteWork->writer->write(std::string(1, keepAliveByte));
        scheduleKeepAlive(loop, interval, remoteWork);
    });
}

} // namespace

std::string encodeGatherRequest(const piece_work& work, bool redirected, mono_time now)
{
    schema::gather_request request;
    request.set_pool(work.pool.value());
    request.set_request(work.request.value());
    request.set_stage(static_cast<std::uint32_t>(work.stage));
    request.set_count(work.count);
    request.set_result_bytes(work.resultBytes);
    request.set_input_bytes(work.inputBytes);
    request.set_key(work.key);
    for (const std::string& input : work.inputs)
        request.add_inputs(input);
    request.set_wanted_in_us((work.targetTime - now).count());
    request.set_margin_us(work.requiredSlack.count());
    request.set_deadline_in_us((work.deadline - now).count());
    request.set_priority(work.priority);
    request.set_redirected(redirected);
    request.set_input_zone(work.inputZone.value());
    request.set_repeated_work(work.repeated);
    request.set_team(work.team.value());
    return request.SerializeAsString();
}

decoded_gather_reply decodeGatherReply(const std::string& bytes)
{
    const auto begin = bytes.find_first_not_of(keepAliveByte);
    schema::gather_reply reply;
    if (begin == std::string::npos || !reply.ParseFromString(bytes.substr(begin)))
        return {};
    if (reply.error())
        return { true, makeError(static_cast<error_code>(reply.error() - 1), reply.message()) };
    return { true, readResults(reply.results()) };
}

std::string encodeRelease(const pool_id& pool, const std::vector<piece_result>& results)
{
    schema::release_request request;
    request.set_pool(pool.value());
    addResults(*request.mutable_results(), results);
    return request.SerializeAsString();
}

piece_gatherer::piece_gatherer(gatherer_options options, event_loop& loop, piece_service& pieces,
    const config_state& config, pool_ownership* const& ownership)
    : m_options(options)
    , m_loop(loop)
    , m_pieces(pieces)
    , m_config(config)
    , m_ownership(ownership)
{
}

void piece_gatherer::handle(const incoming_request& request, const std::shared_ptr<response_writer>& writer)
{
    if (request.head.target == gatherPath)
        return gather(request, writer);
    if (request.head.target == releasePath)
        return release(request, writer);
    writer->send(peerHead(peerBadRequest), {});
}

void piece_gatherer::gather(const incoming_request& request, const std::shared_ptr<response_writer>& writer)
{
    schema::gather_request decoded;
    if (!decoded.ParseFromString(request.body) || decoded.count() == 0)
        return writer->send(peerHead(peerBadRequest), {});
    const auto config = m_config.current();
    const pool_spec* pool = config ? config->pool(pool_id(decoded.pool())) : nullptr;
    if (!pool || !pool->pieces || !m_ownership)
        return writer->send(peerHead(peerUnavailable), {});
    const bool gathered = m_ownership->gathersFor(pool->id, request.receivedAt);
    if (!m_ownership->acceptWork(pool->id, decoded.redirected(), request.receivedAt)) {
        const auto owner = m_ownership->knownOwner(pool->id);
        return writer->send(peerHead(peerUnavailable), owner ? toString(*owner) : std::string());
    }
    if (!gathered)
        m_pieces.beginGathering(pool->id);
    piece_work work;
    work.pool = pool->id;
    work.request = request_id(decoded.request());
    work.stage = decoded.stage();
    work.count = decoded.count();
    work.resultBytes = decoded.result_bytes();
    work.inputBytes = decoded.input_bytes();
    work.key = decoded.key();
    work.inputs.assign(decoded.inputs().begin(), decoded.inputs().end());
    work.targetTime = request.receivedAt + duration(decoded.wanted_in_us());
    work.requiredSlack = duration(decoded.margin_us());
    work.deadline = request.receivedAt + duration(decoded.deadline_in_us());
    work.priority = decoded.priority();
    work.inputZone = zone_id(decoded.input_zone());
    work.repeated = decoded.repeated_work();
    work.team = team_id(decoded.team());

    // Until now a backup called the servers only as a fallback, one call at a time. Gathering has no such limit.
    if (!m_ownership->isOwner(pool->id))
        m_pieces.limitCalls(pool->id, 0);
    auto remoteWork = std::make_shared<remote_work>();
    remoteWork->writer = writer;
    writer->begin(peerHead(peerOk));
    remoteWork->ticket = m_pieces.submit(
        *pool->pieces, std::move(work), [this, remoteWork](const result<std::vector<piece_result>>& outcome) {
            remoteWork->ended = true;
            m_loop.cancel(remoteWork->keepAliveTimer);
            remoteWork->writer->write(encodeReply(outcome));
            remoteWork->writer->end();
        });
    writer->onDisconnect([this, remoteWork] {
        remoteWork->ended = true;
        m_loop.cancel(remoteWork->keepAliveTimer);
        m_pieces.cancel(remoteWork->ticket);
    });
    scheduleKeepAlive(m_loop, m_options.keepAliveInterval, remoteWork);
}

void piece_gatherer::release(const incoming_request& request, const std::shared_ptr<response_writer>& writer)
{
    schema::release_request decoded;
    if (!decoded.ParseFromString(request.body))
        return writer->send(peerHead(peerBadRequest), {});
    m_pieces.release(pool_id(decoded.pool()), readResults(decoded.results()));
    writer->send(peerHead(peerOk), {});
}

} // namespace balsamspring

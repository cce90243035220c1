#include "balsamspring/net/http_service.h"

#include <set>

#include <fmt/core.h>

namespace balsamspring {

namespace {

class server_connection;

// Limit on buffered bytes of pipelined requests while a response is in progress; beyond it reading is paused. Reading
// continues up to the limit in order to detect when the caller disconnects.
constexpr std::size_t maxPipelinedBytes = 64UL * 1024;

// Room for a body of unknown length is asked for in steps: this much, then half of what there is.
constexpr std::size_t minBodyStep = 64UL * 1024;

} // namespace

struct http_service::state {
    state(event_loop& owner, http_service_options serviceOptions)
        : loop(owner)
        , options(std::move(serviceOptions))
    {
    }

    event_loop& loop;
    http_service_options options;
    std::unique_ptr<listener> acceptor;
    std::set<std::shared_ptr<server_connection>> serverConnections;
    std::size_t inProgress = 0;
    bool closing = false;
};

namespace {

class server_connection final : public response_writer, public std::enable_shared_from_this<server_connection> {
public:
    server_connection(std::shared_ptr<http_service::state> service, std::shared_ptr<connection> conn)
        : m_service(std::move(service))
        , m_connection(std::move(conn))
        , m_limits(m_service->options.limits())
        , m_parser(http_role::Request, m_limits.message,
              { .onHead = [this](const http_head& head) { headArrived(head); },
                  .onBody = [this](std::string_view body) { bodyArrived(body); },
                  .onComplete =
                      [this] {
                          m_messageComplete = true;
                      } })
    {
    }

    void begin()
    {
        if (!openAccount())
            return;
        m_service->serverConnections.insert(shared_from_this());
        m_connection->start({ .onConnected = nullptr,
            .onData = [self = shared_from_this()](std::string_view bytes) { self->received(bytes); },
            .onEnd = [self = shared_from_this()](connection_end) { self->disconnected(); },
            .onWritten =
                [self = shared_from_this()] {
                    self->written();
                } });
        armTimer(m_limits.idleTimeout);
    }

    void closeIfIdle()
    {
        if (!m_inProgress && m_parser.idle())
            closeConnection();
    }

    void send(http_head head, std::string_view body) override
    {
        if (!m_inProgress || m_begun)
            return;
        const bool noBody = m_request.head.method == "HEAD" || head.status == 204 || head.status == 304;
        if (head.status != 204)
            head.fields.push_back({ "Content-Length", std::to_string(body.size()) });
        addConnectionField(head);
        m_begun = true;
        std::string bytes = formatHead(head);
        if (!noBody)
            bytes += body;
        m_connection->write(std::move(bytes));
        chargeUnread();
        responseEnded();
    }

    void begin(http_head head) override
    {
        if (!m_inProgress || m_begun)
            return;
        m_begun = true;
        m_framing = framing::Length;
        if (head.contentLength) {
            head.fields.push_back({ "Content-Length", std::to_string(*head.contentLength) });
        } else if (m_request.head.version >= 11) {
            m_framing = framing::Chunked;
            head.fields.push_back({ "Transfer-Encoding", "chunked" });
        } else {
            m_framing = framing::Close;
            m_closeAfterResponse = true;
        }
        addConnectionField(head);
        m_connection->write(formatHead(head));
    }

    void write(std::string_view bytes) override
    {
        if (!m_inProgress || !m_begun || bytes.empty() || m_request.head.method == "HEAD")
            return;
        m_connection->write(m_framing == framing::Chunked ? formatChunk(bytes) : std::string(bytes));
        chargeUnread();
    }

    void end() override
    {
        if (!m_inProgress || !m_begun)
            return;
        if (m_framing == framing::Chunked && m_request.head.method != "HEAD")
            m_connection->write(std::string(lastChunk));
        responseEnded();
    }

    void abort() override
    {
        if (!m_inProgress)
            return;
        finishRequest();
        // Without a length or chunks, an orderly end would make the response look complete.
        if (m_begun && m_framing == framing::Close)
            m_connection->reset();
        else
            m_connection->abort();
        closeConnection();
    }

    bool begun() const override { return m_begun; }
    std::size_t unwritten() const override { return m_connection->unwritten(); }
    std::size_t window() const override
    {
        return m_service->options.account ? m_service->options.account->window() : memory_account_options().maxWindow;
    }
    void keeps(std::size_t bytes) override
    {
        m_keptBytes = bytes;
        chargeUnread();
    }
    void onDisconnect(std::function<void()> callback) override { m_onDisconnect = std::move(callback); }
    void onWritten(std::function<void()> callback) override { m_onWritten = std::move(callback); }

private:
    enum class framing : std::uint8_t { Length, Chunked, Close };

    // Returns false and closes the connection if there is no room for it.
    bool openAccount()
    {
        if (!m_service->options.account)
            return true;
        const std::weak_ptr<server_connection> weak = shared_from_this();
        const std::weak_ptr<connection> socket = m_connection;
        m_hold = m_service->options.account->admit({ .onEvicted =
                                                           [weak, socket](eviction reason) {
                                                               if (const auto self = weak.lock())
                                                                   self->evicted(reason);
                                                               else if (const auto open = socket.lock())
                                                                   open->abort();
                                                           },
                                                       .onRoom =
                                                           [weak] {
                                                               if (const auto self = weak.lock())
                                                                   self->roomGranted();
                                                           } },
            bootNow());
        if (m_hold)
            return true;
        reportRejection("connections_full");
        m_connection->abort();
        return false;
    }

    void evicted(eviction reason)
    {
        const auto self = shared_from_this();
        if (m_closed)
            return m_connection->abort();
        // Its descriptor is needed at once.
        if (reason == eviction::IdleConnection) {
            reportRejection(toString(reason));
            m_hold = {};
            m_connection->abort();
            return closeConnection();
        }
        if (reason == eviction::UnreadAnswer) {
            reportRejection(toString(reason));
            m_connection->reset();
            return disconnected();
        }
        // The request is incomplete, so that it has not run. Its rejection is reported with the answer.
        constexpr unsigned statusUnavailable = 503;
        sendErrorAndClose(statusUnavailable, toString(reason), "Retry-After: 1\r\n");
    }

    void roomGranted()
    {
        if (m_closed)
            return;
        m_waitsForRoom = false;
        m_request.body.reserve(m_grantedBody);
        m_service->loop.post([self = shared_from_this()] { self->continueReading(); });
    }

    // A body is kept for a retry while a copy of it is sent on.
    static std::uint64_t chargeOf(std::uint64_t bodyBytes) { return 2 * bodyBytes; }

    // Reads on only when there is room for the body: all of it if its length is known, or else its next part.
    void reserveRoom()
    {
        if (!m_hold || !m_parser.headComplete() || m_waitsForRoom)
            return;
        const std::size_t known = m_request.head.contentLength.value_or(0);
        std::size_t needed = std::max<std::size_t>(known, m_request.body.size());
        if (!m_request.head.contentLength && needed > 0)
            needed = std::max(minBodyStep, needed + needed / 2);
        if (needed <= m_grantedBody || m_request.body.size() < m_grantedBody)
            return;
        m_grantedBody = needed;
        m_waitsForRoom = !m_hold.reserve(chargeOf(needed), bootNow());
        if (m_waitsForRoom)
            m_connection->pauseReading(true);
        else
            m_request.body.reserve(needed);
    }

    void chargeUnread()
    {
        if (m_hold)
            m_hold.unread(m_connection->unwritten() + m_keptBytes, bootNow());
    }

    void bodyArrived(std::string_view body) { m_request.body += body; }

    void headArrived(const http_head& head)
    {
        m_request.head = head;
        const std::string* expect = head.find("Expect");
        if (expect && equalIgnoringCase(*expect, "100-continue") && m_parser.buffered() == 0)
            m_connection->write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void received(std::string_view bytes)
    {
        // A read that began before the pause may still deliver bytes of a body that waits for room.
        if (m_inProgress || m_waitsForRoom) {
            m_pipelinedInput += bytes;
            if (m_pipelinedInput.size() > maxPipelinedBytes)
                m_connection->pauseReading(true);
            return;
        }
        parseInput(bytes);
    }

    void parseInput(std::string_view bytes)
    {
        if (m_parser.idle()) {
            m_request.firstByteAt = bootNow();
            armTimer(m_limits.headerTimeout);
        }
        if (m_hold)
            m_hold.received(bytes.size(), bootNow());
        const http_failure failure = m_parser.feed(bytes);
        handleParseResult(failure);
    }

    void handleParseResult(http_failure failure)
    {
        if (failure != http_failure::None)
            return rejectMessage(failure);
        if (m_messageComplete)
            return dispatchRequest();
        if (m_parser.headComplete())
            armTimer(m_limits.idleTimeout);
        reserveRoom();
    }

    void dispatchRequest()
    {
        m_messageComplete = false;
        m_service->loop.cancel(m_timer);
        m_timer = 0;
        m_inProgress = true;
        m_begun = false;
        m_closeAfterResponse = !m_request.head.keepAlive;
        m_service->inProgress += 1;
        m_request.receivedAt = bootNow();
        m_grantedBody = 0;
        if (m_hold)
            m_hold.serving(chargeOf(m_request.body.capacity()), m_request.receivedAt);
        m_request.peer = m_connection->peerAddress();
        incoming_request request;
        request.head = m_request.head;
        request.body = std::move(m_request.body);
        request.firstByteAt = m_request.firstByteAt;
        request.receivedAt = m_request.receivedAt;
        m_request.body.clear();
        m_service->options.handler(std::move(request), shared_from_this());
    }

    void rejectMessage(http_failure failure)
    {
        unsigned status = 400;
        std::string_view reason = "malformed";
        if (failure == http_failure::HeaderTooLarge) {
            status = 431;
            reason = "header_too_large";
        } else if (failure == http_failure::BodyTooLarge) {
            status = 413;
            reason = "body_too_large";
        }
        sendErrorAndClose(status, reason);
    }

    void sendErrorAndClose(unsigned status, std::string_view reason, std::string_view fields = {})
    {
        reportRejection(reason);
        m_connection->write(
            fmt::format("HTTP/1.1 {} {}\r\nContent-Length: 0\r\n{}Connection: close\r\n\r\n", status, reason, fields));
        closeConnection();
    }

    void reportRejection(std::string_view reason)
    {
        if (m_service->options.onRejected)
            m_service->options.onRejected(reason, m_connection->peerAddress());
    }

    void timedOut()
    {
        m_timer = 0;
        if (m_inProgress)
            return;
        // An incomplete request was never passed to the handler, so it has not run.
        if (!m_parser.idle())
            return sendErrorAndClose(408, "request_timeout");
        closeConnection();
    }

    void addConnectionField(http_head& head)
    {
        if (m_service->closing)
            m_closeAfterResponse = true;
        if (m_closeAfterResponse)
            head.fields.push_back({ "Connection", "close" });
        else if (m_request.head.version < 11)
            head.fields.push_back({ "Connection", "keep-alive" });
    }

    void responseEnded()
    {
        const bool mustClose = m_closeAfterResponse;
        finishRequest();
        if (mustClose)
            return closeConnection();
        m_request = {};
        m_keptBytes = 0;
        chargeUnread();
        if (m_hold)
            m_hold.idle(bootNow());
        m_limits = m_service->options.limits();
        armTimer(m_limits.idleTimeout);
        // The next request is parsed only after the handler has returned, which bounds the recursion depth.
        m_service->loop.post([self = shared_from_this()] { self->continueReading(); });
    }

    void continueReading()
    {
        if (m_closed || m_inProgress || m_waitsForRoom)
            return;
        if (m_parser.complete()) {
            m_request.firstByteAt = bootNow();
            handleParseResult(m_parser.next());
        }
        if (m_closed || m_inProgress || m_waitsForRoom)
            return;
        if (!m_pipelinedInput.empty()) {
            const std::string bytes = std::move(m_pipelinedInput);
            m_pipelinedInput.clear();
            parseInput(bytes);
        }
        if (!m_closed && !m_waitsForRoom)
            m_connection->pauseReading(false);
    }

    void finishRequest()
    {
        if (!m_inProgress)
            return;
        m_inProgress = false;
        m_service->inProgress -= 1;
        m_onDisconnect = nullptr;
        m_onWritten = nullptr;
    }

    void written()
    {
        chargeUnread();
        if (const auto callback = m_onWritten)
            callback();
    }

    void disconnected()
    {
        const auto callback = std::move(m_onDisconnect);
        m_onDisconnect = nullptr;
        finishRequest();
        closeConnection();
        if (callback)
            callback();
    }

    void closeConnection()
    {
        if (m_closed)
            return;
        m_closed = true;
        m_service->loop.cancel(m_timer);
        m_timer = 0;
        m_request.body = {};
        m_connection->close(lingeringHold());
        m_service->serverConnections.erase(shared_from_this());
    }

    // A connection that waits for its peer to close still takes a descriptor and what was not written.
    std::shared_ptr<void> lingeringHold()
    {
        if (!m_hold)
            return nullptr;
        const mono_time now = bootNow();
        m_hold.idle(now);
        m_hold.unread(m_connection->unwritten(), now);
        return std::make_shared<account_hold>(std::move(m_hold));
    }

    void armTimer(duration delay)
    {
        m_service->loop.cancel(m_timer);
        m_timer = m_service->loop.after(delay, [self = shared_from_this()] { self->timedOut(); });
    }

    std::shared_ptr<http_service::state> m_service;
    std::shared_ptr<connection> m_connection;
    http_service_limits m_limits;
    http_parser m_parser;
    incoming_request m_request;
    account_hold m_hold;
    std::size_t m_grantedBody = 0; // bytes of the body for which there is room
    std::size_t m_keptBytes = 0; // of the response, by the handler
    bool m_waitsForRoom = false;
    std::string m_pipelinedInput; // bytes that arrived while a response was in progress, or without room for them
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onWritten;
    event_loop::timer_id m_timer = 0;
    framing m_framing = framing::Length;
    bool m_messageComplete = false;
    bool m_inProgress = false;
    bool m_begun = false;
    bool m_closeAfterResponse = false;
    bool m_closed = false;
};

} // namespace

http_service::http_service(std::shared_ptr<state> state)
    : m_state(std::move(state))
{
}

// The listener's callback refers to the state, so the address would stay open.
http_service::~http_service() { m_state->acceptor.reset(); }

result<std::unique_ptr<http_service>> http_service::open(event_loop& loop, http_service_options options)
{
    auto created = std::make_shared<state>(loop, std::move(options));
    auto opened = listener::open(
        loop, created->options.address, created->options.tcpUserTimeout, [created](std::shared_ptr<connection> conn) {
            std::make_shared<server_connection>(created, std::move(conn))->begin();
        });
    if (!opened)
        return tl::make_unexpected(opened.error());
    created->acceptor = std::move(*opened);
    return std::unique_ptr<http_service>(new http_service(std::move(created)));
}

void http_service::startGracefulClose() { m_state->closing = true; }

void http_service::closeIdleConnections()
{
    const auto serverConnections = m_state->serverConnections;
    for (const auto& conn : serverConnections)
        conn->closeIfIdle();
}

std::size_t http_service::connections() const { return m_state->serverConnections.size(); }

std::size_t http_service::requestsInProgress() const { return m_state->inProgress; }

std::uint16_t http_service::port() const { return m_state->acceptor->port(); }

} // namespace balsamspring

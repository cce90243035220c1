#include "balsamspring/net/http_exchange.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>

namespace balsamspring {

namespace {

// Status codes below this are interim responses.
constexpr unsigned firstFinalStatus = 200;
// Interim responses and responses to other requests that are skipped before the connection is given up, and the size of
// their bodies in bytes.
constexpr unsigned maxSkippedResponses = 8;
constexpr std::size_t maxSkippedBytes = 1024UL * 1024;
// A peer closes an idle connection after the time that it advertises. The client stops reusing the connection this much
// earlier, so that no request is sent on a connection that the peer is closing.
constexpr duration keepAliveSafetyMargin = std::chrono::milliseconds(500);

// The idle time that the peer advertises by `Keep-Alive: timeout=5`, if any.
std::optional<duration> advertisedIdleLimit(const http_head& head)
{
    const std::string* value = head.find("Keep-Alive");
    if (!value)
        return std::nullopt;
    const auto at = value->find("timeout=");
    if (at == std::string::npos)
        return std::nullopt;
    std::int64_t seconds = 0;
    const char* digits = value->data() + at + std::string_view("timeout=").size();
    if (std::from_chars(digits, value->data() + value->size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

struct idle_connection {
    std::shared_ptr<connection> conn;
    mono_time idleSince;
    duration limit;
};

} // namespace

std::string_view toString(exchange_outcome end)
{
    switch (end) {
    case exchange_outcome::Complete:
        return "complete";
    case exchange_outcome::NotSent:
        return "not_sent";
    case exchange_outcome::Lost:
        return "lost";
    case exchange_outcome::Malformed:
        return "malformed";
    case exchange_outcome::Withheld:
        return "withheld";
    }
    return "lost";
}

struct exchange_client::state : std::enable_shared_from_this<exchange_client::state> {
    state(event_loop& owner, exchange_client_options clientOptions)
        : loop(owner)
        , options(clientOptions)
    {
    }

    std::shared_ptr<connection> takeIdle(const endpoint& peer, duration maxIdle)
    {
        const auto found = idle.find(peer);
        if (found == idle.end())
            return nullptr;
        auto& list = found->second;
        const mono_time now = bootNow();
        while (!list.empty()) {
            const idle_connection newest = list.back();
            list.pop_back();
            const duration idleTime = now - newest.idleSince;
            if (newest.conn->isOpen() && idleTime < newest.limit && idleTime <= maxIdle)
                return newest.conn;
            if (newest.conn->isOpen() && idleTime < newest.limit) { // the rest have been idle even longer
                list.push_back(newest);
                return nullptr;
            }
            newest.conn->abort();
        }
        return nullptr;
    }

    void putIdle(const endpoint& peer, std::shared_ptr<connection> conn, duration limit)
    {
        auto& list = idle[peer];
        if (list.size() >= options.maxIdlePerPeer) {
            list.front().conn->abort();
            list.pop_front();
        }
        // Data on an idle connection belongs to no request, so the response boundaries are unknown: the connection is
        // not reused.
        const std::weak_ptr<connection> weak = conn;
        const auto abortConnection = [weak] {
            if (const auto open = weak.lock())
                open->abort();
        };
        conn->setHandlers({ .onConnected = nullptr,
            .onData = [abortConnection](std::string_view) { abortConnection(); },
            .onEnd = [abortConnection](connection_end) { abortConnection(); },
            .onWritten = nullptr });
        list.push_back({ std::move(conn), bootNow(), limit });
        armSweep();
    }

    void armSweep()
    {
        if (sweepTimer)
            return;
        sweepTimer = loop.after(options.idleLimit, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->sweep();
        });
    }

    void sweep()
    {
        sweepTimer = 0;
        const mono_time now = bootNow();
        for (auto entry = idle.begin(); entry != idle.end();) {
            auto& list = entry->second;
            while (
                !list.empty() && (!list.front().conn->isOpen() || now - list.front().idleSince >= list.front().limit)) {
                list.front().conn->abort();
                list.pop_front();
            }
            entry = list.empty() ? idle.erase(entry) : std::next(entry);
        }
        if (!idle.empty())
            armSweep();
    }

    event_loop& loop;
    exchange_client_options options;
    std::map<endpoint, std::deque<idle_connection>> idle; // oldest first
    event_loop::timer_id sweepTimer = 0;
    std::uint64_t openedCount = 0;
};

namespace {

class exchange final : public client_exchange, public std::enable_shared_from_this<exchange> {
public:
    exchange(std::shared_ptr<exchange_client::state> client, const endpoint& peer, exchange_request request,
        exchange_callbacks callbacks)
        : m_client(std::move(client))
        , m_peer(peer)
        , m_request(std::move(request))
        , m_callbacks(std::move(callbacks))
        , m_parser(http_role::Response, m_client->options.limits,
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
        m_connection = m_request.maxIdle.count() > 0 ? m_client->takeIdle(m_peer, m_request.maxIdle) : nullptr;
        m_reused = m_connection != nullptr;
        if (!m_connection) {
            m_client->openedCount += 1;
            m_connection = connection::open(m_client->loop, m_peer, m_client->options.tcpUserTimeout);
            m_connectTimer = m_client->loop.after(m_client->options.connectTimeout,
                [self = shared_from_this()] { self->end(exchange_outcome::NotSent); });
        }
        m_connection->setHandlers({ .onConnected = [self = shared_from_this()] { self->connected(); },
            .onData = [self = shared_from_this()](std::string_view bytes) { self->received(bytes); },
            .onEnd = [self = shared_from_this()](connection_end outcome) { self->connectionEnded(outcome); },
            .onWritten = nullptr });
        if (m_request.timeLimit.count() > 0)
            m_limitTimer = m_client->loop.after(
                m_request.timeLimit, [self = shared_from_this()] { self->end(exchange_outcome::Lost); });
        if (m_reused)
            connected();
    }

    void cancel() override
    {
        if (m_done)
            return;
        m_done = true;
        m_callbacks = {};
        release(false);
    }

    void pauseReading(bool paused) override
    {
        if (!m_done)
            m_connection->pauseReading(paused);
    }

    bool reusedConnection() const override { return m_reused; }

    bool connectionRefused() const override { return m_refused; }

private:
    void connected()
    {
        m_client->loop.cancel(m_connectTimer);
        m_connectTimer = 0;
        if (m_request.maySend && !m_request.maySend())
            return end(exchange_outcome::Withheld);
        m_requestSent = true;
        m_connection->write(std::move(m_request.bytes));
    }

    void headArrived(const http_head& head)
    {
        const std::string* echoed = m_request.echoField.empty() ? nullptr : head.find(m_request.echoField);
        m_skipping = head.status < firstFinalStatus || (echoed && *echoed != m_request.echoValue);
        // On a connection that carried other requests, a response that names none may be a copy of an earlier one.
        if (!m_skipping && m_reused && !echoed && !m_request.echoField.empty())
            m_unattributed = true;
        if (m_unattributed)
            return;
        if (m_skipping) {
            m_skippedResponses += 1;
            m_foreignResponseSeen = m_foreignResponseSeen || head.status >= firstFinalStatus;
            return;
        }
        if (m_request.expectNoBody)
            m_parser.expectNoBody();
        m_keepAlive = head.keepAlive;
        m_idleLimit = m_client->options.idleLimit;
        if (const auto advertised = advertisedIdleLimit(head))
            m_idleLimit = std::min(m_idleLimit, std::max(duration::zero(), *advertised - keepAliveSafetyMargin));
        if (const auto onHead = m_callbacks.onHead)
            onHead(head);
    }

    void bodyArrived(std::string_view body)
    {
        if (m_skipping)
            m_skippedBytes += body.size();
        if (m_skipping || m_unattributed || m_done)
            return;
        if (const auto onBody = m_callbacks.onBody)
            onBody(body);
    }

    void received(std::string_view bytes)
    {
        http_failure failure = m_parser.feed(bytes);
        while (!m_done && failure == http_failure::None && m_messageComplete && !m_unattributed) {
            m_messageComplete = false;
            if (!m_skipping)
                return end(exchange_outcome::Complete);
            if (m_skippedResponses > maxSkippedResponses)
                break;
            failure = m_parser.next();
        }
        if (!m_done && m_unattributed)
            return end(exchange_outcome::Malformed);
        const bool endless = m_skippedResponses > maxSkippedResponses || m_skippedBytes > maxSkippedBytes;
        if (!m_done && (failure != http_failure::None || endless))
            end(exchange_outcome::Malformed);
    }

    void connectionEnded(connection_end outcome)
    {
        m_refused = outcome == connection_end::Refused;
        if (!m_requestSent)
            return end(exchange_outcome::NotSent);
        // A body without a length ends with the connection, unless the connection was reset.
        const bool complete = outcome == connection_end::Closed && m_parser.headComplete() && !m_skipping
            && m_parser.finish() == http_failure::None && m_messageComplete;
        if (m_done)
            return;
        m_keepAlive = false;
        end(complete ? exchange_outcome::Complete : exchange_outcome::Lost);
    }

    void end(exchange_outcome outcome)
    {
        if (m_done)
            return;
        m_done = true;
        const bool complete = outcome == exchange_outcome::Complete && m_keepAlive && !m_foreignResponseSeen;
        const bool reusable = (complete || outcome == exchange_outcome::Withheld) && m_connection->isOpen()
            && m_connection->unwritten() == 0 && m_parser.buffered() == 0 && m_idleLimit.count() > 0;
        const auto callbacks = std::move(m_callbacks);
        m_callbacks = {};
        release(reusable);
        if (callbacks.onEnd)
            callbacks.onEnd(outcome);
    }

    void release(bool reusable)
    {
        m_client->loop.cancel(m_limitTimer);
        m_limitTimer = 0;
        m_client->loop.cancel(m_connectTimer);
        m_connectTimer = 0;
        if (reusable) {
            m_connection->pauseReading(false);
            m_client->putIdle(m_peer, m_connection, m_idleLimit);
        } else {
            m_connection->abort();
        }
    }

    std::shared_ptr<exchange_client::state> m_client;
    endpoint m_peer;
    exchange_request m_request;
    exchange_callbacks m_callbacks;
    http_parser m_parser;
    std::shared_ptr<connection> m_connection;
    event_loop::timer_id m_connectTimer = 0;
    event_loop::timer_id m_limitTimer = 0;
    duration m_idleLimit {};
    bool m_reused = false;
    bool m_refused = false;
    bool m_requestSent = false;
    bool m_skipping = false;
    bool m_unattributed = false;
    bool m_foreignResponseSeen = false;
    unsigned m_skippedResponses = 0;
    std::size_t m_skippedBytes = 0;
    bool m_messageComplete = false;
    bool m_keepAlive = false;
    bool m_done = false;
};

} // namespace

exchange_client::exchange_client(event_loop& loop, exchange_client_options options)
    : m_state(std::make_shared<state>(loop, options))
{
}

exchange_client::~exchange_client()
{
    m_state->loop.cancel(m_state->sweepTimer);
    for (auto& [peer, list] : m_state->idle) {
        for (auto& entry : list)
            entry.conn->abort();
    }
}

std::shared_ptr<client_exchange> exchange_client::start(
    const endpoint& peer, exchange_request request, exchange_callbacks callbacks)
{
    auto started = std::make_shared<exchange>(m_state, peer, std::move(request), std::move(callbacks));
    started->begin();
    return started;
}

void exchange_client::closeIdleConnectionsTo(const endpoint& peer)
{
    const auto found = m_state->idle.find(peer);
    if (found == m_state->idle.end())
        return;
    for (auto& entry : found->second)
        entry.conn->abort();
    m_state->idle.erase(found);
}

std::uint64_t exchange_client::connectionsOpened() const { return m_state->openedCount; }

} // namespace balsamspring

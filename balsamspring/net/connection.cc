#include "balsamspring/net/connection.h"

#include "balsamspring/net/event_loop_state.h"

#include <array>
#include <charconv>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/core.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace balsamspring {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::size_t readBufferSize = 16UL * 1024;
// Maximum time that a locally closed connection waits for the peer to close its side.
constexpr auto lingerTimeout = std::chrono::seconds(1);
constexpr int acceptBacklog = 512;

void setOptions(tcp::socket& socket, duration tcpUserTimeout)
{
    boost::system::error_code ignored; // without TCP_NODELAY only latency suffers
    socket.set_option(tcp::no_delay(true), ignored);
    const auto milliseconds
        = static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(tcpUserTimeout).count());
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

} // namespace

result<endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    endpoint parsed;
    if (colon == std::string_view::npos || colon == 0)
        return makeError(error_code::InvalidArgument, fmt::format("\"{}\" is not IP:PORT", text));
    const auto digits = text.substr(colon + 1);
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.port);
    parsed.address = text.substr(0, colon);
    boost::system::error_code invalid;
    boost::asio::ip::make_address(parsed.address, invalid);
    if (failure != std::errc() || end != digits.data() + digits.size() || invalid)
        return makeError(error_code::InvalidArgument, fmt::format("\"{}\" is not IP:PORT", text));
    return parsed;
}

std::string toString(const endpoint& socketAddress)
{
    return fmt::format("{}:{}", socketAddress.address, socketAddress.port);
}

struct connection::socket_state {
    socket_state(event_loop& owner, tcp::socket open)
        : loop(owner)
        , socket(std::move(open))
    {
    }

    event_loop& loop;
    tcp::socket socket;
    connection_handlers handlers;
    std::array<char, readBufferSize> input {};
    std::string writeBuffer; // data of the write operation in progress
    std::string queuedBytes; // data for the next write operation
    std::string peer;
    event_loop::timer_id lingerTimer = 0;
    bool connected = true;
    bool open = true;
    bool readPending = false;
    bool paused = false;
    bool ended = false; // end of stream or connection error detected
    bool writeFailed = false;
    bool closing = false;
    std::shared_ptr<void> whileOpen; // given to close()
};

connection::connection(std::unique_ptr<socket_state> socket)
    : m_socket(std::move(socket))
{
}

connection::~connection() = default;

std::shared_ptr<connection> connection::open(event_loop& loop, const endpoint& peer, duration tcpUserTimeout)
{
    tcp::socket socket(loop.internals().context);
    boost::system::error_code ignored; // connectTo() reports a socket that could not be opened
    socket.open(tcp::v4(), ignored);
    if (!ignored)
        setOptions(socket, tcpUserTimeout);
    auto created = std::make_shared<connection>(std::make_unique<socket_state>(loop, std::move(socket)));
    created->m_socket->connected = false;
    created->m_socket->peer = peer.address;
    created->connectTo(peer);
    return created;
}

void connection::connectTo(const endpoint& peer)
{
    boost::system::error_code invalid;
    const auto address = boost::asio::ip::make_address(peer.address, invalid);
    m_socket->socket.async_connect(
        tcp::endpoint(address, peer.port), [self = shared_from_this()](boost::system::error_code error) {
            auto& state = *self->m_socket;
            if (!state.open)
                return;
            if (error)
                return self->reportEnd(
                    error == boost::asio::error::connection_refused ? connection_end::Refused : connection_end::Reset);
            state.connected = true;
            if (const auto connected = state.handlers.onConnected)
                connected();
            self->readMore();
            self->writeMore();
        });
}

void connection::start(connection_handlers handlers)
{
    m_socket->handlers = std::move(handlers);
    readMore();
}

void connection::setHandlers(connection_handlers handlers) { m_socket->handlers = std::move(handlers); }

bool connection::isOpen() const { return m_socket->open && !m_socket->ended && !m_socket->closing; }

const std::string& connection::peerAddress() const { return m_socket->peer; }

std::size_t connection::unwritten() const { return m_socket->writeBuffer.size() + m_socket->queuedBytes.size(); }

void connection::pauseReading(bool paused)
{
    m_socket->paused = paused;
    if (!paused)
        readMore();
}

void connection::readMore()
{
    auto& state = *m_socket;
    if (!state.open || !state.connected || state.readPending || state.ended || (state.paused && !state.closing))
        return;
    state.readPending = true;
    state.socket.async_read_some(boost::asio::buffer(state.input),
        [self = shared_from_this()](boost::system::error_code error, std::size_t count) {
            auto& state = *self->m_socket;
            state.readPending = false;
            if (!state.open)
                return;
            if (error)
                // The kernel reports a reset once. If a write got the error, a read finds an orderly end.
                return self->reportEnd(error == boost::asio::error::eof && !state.writeFailed ? connection_end::Closed
                                                                                              : connection_end::Reset);
            if (!state.closing) {
                // The callback is copied because it may replace the handlers during the call.
                if (const auto data = state.handlers.onData) {
                    try {
                        data(std::string_view(state.input.data(), count));
                    } catch (...) {
                        // What the handler had kept of the message is unknown.
                        self->abort();
                        throw;
                    }
                }
            }
            self->readMore();
        });
}

void connection::write(std::string bytes)
{
    auto& state = *m_socket;
    if (!state.open || bytes.empty())
        return;
    if (state.queuedBytes.empty())
        state.queuedBytes = std::move(bytes);
    else
        state.queuedBytes += bytes;
    writeMore();
}

void connection::writeMore()
{
    auto& state = *m_socket;
    if (!state.open || !state.connected || !state.writeBuffer.empty() || state.queuedBytes.empty())
        return;
    state.writeBuffer = std::move(state.queuedBytes);
    state.queuedBytes.clear();
    // Most writes fit into the kernel's send buffer: a synchronous attempt avoids an event loop wake-up.
    boost::system::error_code error;
    state.socket.non_blocking(true, error);
    const std::size_t sent = state.socket.write_some(boost::asio::buffer(state.writeBuffer), error);
    if (!error && sent == state.writeBuffer.size()) {
        state.writeBuffer.clear();
        if (state.closing)
            return halfClose();
        if (const auto written = state.handlers.onWritten)
            written();
        return;
    }
    state.writeFailed = error && error != boost::asio::error::would_block;
    state.writeBuffer.erase(0, error ? 0 : sent);
    boost::asio::async_write(state.socket, boost::asio::buffer(state.writeBuffer),
        [self = shared_from_this()](boost::system::error_code writeError, std::size_t) {
            auto& state = *self->m_socket;
            state.writeBuffer.clear();
            if (!state.open)
                return;
            if (writeError) {
                state.writeFailed = true;
                return self->reportEnd(connection_end::Reset);
            }
            if (!state.queuedBytes.empty())
                return self->writeMore();
            if (state.closing)
                return self->halfClose();
            if (const auto written = state.handlers.onWritten)
                written();
        });
}

void connection::reportEnd(connection_end end)
{
    auto& state = *m_socket;
    if (state.ended || !state.open)
        return;
    state.ended = true;
    if (state.closing)
        return abort();
    if (const auto ended = state.handlers.onEnd)
        ended(end);
    if (end != connection_end::Closed)
        abort();
}

void connection::close(std::shared_ptr<void> whileOpen)
{
    auto& state = *m_socket;
    if (!state.open || state.closing)
        return;
    state.closing = true;
    state.whileOpen = std::move(whileOpen);
    state.handlers = {};
    state.lingerTimer = state.loop.after(lingerTimeout, [self = shared_from_this()] { self->abort(); });
    if (!state.connected)
        return abort();
    if (unwritten() == 0)
        halfClose();
}

void connection::halfClose()
{
    boost::system::error_code ignored; // the peer may already have disconnected
    m_socket->socket.shutdown(tcp::socket::shutdown_send, ignored);
    if (m_socket->ended)
        return abort();
    readMore();
}

void connection::abort()
{
    auto& state = *m_socket;
    if (!state.open)
        return;
    state.open = false;
    state.loop.cancel(state.lingerTimer);
    boost::system::error_code ignored; // the descriptor is closed even if close() reports an error
    state.socket.close(ignored);
    // The owner of the object may end this connection once more while it is released.
    const auto released = std::move(state.whileOpen);
    // A running callback may own captured objects that it still uses: the handlers are destroyed after it returns.
    state.loop.post([self = shared_from_this(), handlers = std::move(state.handlers)] {});
    state.handlers = {};
}

void connection::reset()
{
    boost::system::error_code ignored; // without the option the peer sees an orderly end
    m_socket->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    abort();
}

struct listener::state : std::enable_shared_from_this<listener::state> {
    state(event_loop& owner, duration limit, accept_callback callback)
        : loop(owner)
        , acceptor(owner.internals().context)
        , tcpUserTimeout(limit)
        , onAccept(std::move(callback))
    {
    }

    void acceptNext()
    {
        acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted || !self->acceptor.is_open())
                return;
            if (error) { // out of file descriptors: pending connections stay in the kernel's accept queue
                self->loop.after(std::chrono::milliseconds(50), [self] { self->acceptNext(); });
                return;
            }
            setOptions(socket, self->tcpUserTimeout);
            self->onAccept(std::make_shared<connection>(
                std::make_unique<connection::socket_state>(self->loop, std::move(socket))));
            self->acceptNext();
        });
    }

    event_loop& loop;
    tcp::acceptor acceptor;
    duration tcpUserTimeout;
    accept_callback onAccept;
};

listener::listener(std::shared_ptr<state> state)
    : m_state(std::move(state))
{
}

listener::~listener()
{
    boost::system::error_code ignored; // a destructor cannot report the error
    m_state->acceptor.close(ignored);
}

std::uint16_t listener::port() const { return m_state->acceptor.local_endpoint().port(); }

result<std::unique_ptr<listener>> listener::open(
    event_loop& loop, const endpoint& address, duration tcpUserTimeout, accept_callback onAccept)
{
    auto created = std::make_shared<state>(loop, tcpUserTimeout, std::move(onAccept));
    boost::system::error_code error;
    const tcp::endpoint socketAddress(boost::asio::ip::make_address(address.address, error), address.port);
    if (!error)
        created->acceptor.open(tcp::v4(), error);
    if (!error)
        created->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        created->acceptor.bind(socketAddress, error);
    if (!error)
        created->acceptor.listen(acceptBacklog, error);
    if (error)
        return makeError(balsamspring::error_code::Unavailable,
            fmt::format("cannot listen on {}: {}", toString(address), error.message()));
    created->acceptNext();
    return std::unique_ptr<listener>(new listener(std::move(created)));
}

} // namespace balsamspring

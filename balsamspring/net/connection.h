// Asynchronous TCP connections and listeners on an event loop. Not thread safe: all calls come from the loop's thread.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/net/event_loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace balsamspring {

// IP address and port, formatted as "10.1.0.41:8625".
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

// Parses "IP:PORT". Error `InvalidArgument` for any other text.
result<endpoint> parseEndpoint(std::string_view text);
std::string toString(const endpoint& socketAddress);

enum class connection_end : std::uint8_t {
    Closed, // orderly end of stream: the peer has sent all of its data
    Reset, // connection error: received data may be incomplete
    Refused, // no process accepts connections at the address
};

// Callbacks of a connection. None of them is called after close() or abort().
struct connection_handlers {
    std::function<void()> onConnected; // outgoing connections only
    std::function<void(std::string_view)> onData;
    std::function<void(connection_end)> onEnd; // no more data will be received
    std::function<void()> onWritten; // all bytes passed to write() are in the kernel's send buffer
};

// A TCP connection. It reads continuously unless reading is paused, so that it detects at once when the peer closes.
class connection : public std::enable_shared_from_this<connection> {
public:
    struct socket_state;
    explicit connection(std::unique_ptr<socket_state> socket);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Starts to connect; a failure is reported through onEnd. `tcpUserTimeout` bounds how long sent data may stay
    // unacknowledged (TCP_USER_TIMEOUT).
    static std::shared_ptr<connection> open(event_loop& loop, const endpoint& peer, duration tcpUserTimeout);

    // Replaces the callbacks and starts to read.
    void start(connection_handlers handlers);
    void setHandlers(connection_handlers handlers);
    // Queues the bytes that cannot be sent immediately.
    void write(std::string bytes);
    // Number of bytes whose write has not completed.
    std::size_t unwritten() const;
    void pauseReading(bool paused);
    // Sends the queued bytes, shuts down the sending direction, and discards received data until the peer closes. The
    // connection is aborted after at most 1 s.
    // `whileOpen` is kept until the socket is closed.
    void close(std::shared_ptr<void> whileOpen = nullptr);
    // Closes the socket immediately and discards queued bytes.
    void abort();
    // Like abort(), but the peer sees an error, not an orderly end.
    void reset();
    bool isOpen() const;
    // The address passed to open(); empty for accepted connections.
    const std::string& peerAddress() const;

private:
    void connectTo(const endpoint& peer);
    void readMore();
    void writeMore();
    void reportEnd(connection_end end);
    void halfClose();

    std::unique_ptr<socket_state> m_socket;
};

// Accepts TCP connections until it is destroyed.
class listener {
public:
    using accept_callback = std::function<void(std::shared_ptr<connection>)>;

    // Error `Unavailable` when the address cannot be bound. The accepted connections read only after start().
    static result<std::unique_ptr<listener>> open(
        event_loop& loop, const endpoint& address, duration tcpUserTimeout, accept_callback onAccept);
    ~listener();

    std::uint16_t port() const;

private:
    struct state;
    explicit listener(std::shared_ptr<state> state);

    std::shared_ptr<state> m_state;
};

} // namespace balsamspring

// TCP connections and listeners on an event loop.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/net/event_loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace balsamspring {

// "10.1.0.41:8625".
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

result<endpoint> parseEndpoint(std::string_view text);
std::string toString(const endpoint& where);

enum class connection_end : std::uint8_t {
    Closed, // the peer has sent everything that it wanted to send
    Reset, // broken; bytes may be missing
};

// Callbacks of a connection. None is called after close() or abort().
struct connection_handlers {
    std::function<void()> onConnected; // outgoing connections only
    std::function<void(std::string_view)> onData;
    std::function<void(connection_end)> onEnd; // nothing more will be received
    std::function<void()> onWritten; // all bytes given to write() are with the kernel
};

// A connection reads all the time unless reading is paused, so that the end of the peer is seen at once.
class connection : public std::enable_shared_from_this<connection> {
public:
    struct socket_state;
    explicit connection(std::unique_ptr<socket_state> socket);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Opens a connection. `unackedLimit` bounds how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
    static std::shared_ptr<connection> open(event_loop& loop, const endpoint& peer, duration unackedLimit);

    // Replaces the callbacks and begins to read.
    void start(connection_handlers handlers);
    void setHandlers(connection_handlers handlers);
    void write(std::string bytes);
    std::size_t unwritten() const;
    void pauseReading(bool paused);
    // Sends what is left, tells the peer that nothing follows, takes what the peer still sends for up to a second.
    void close();
    // Drops everything at once.
    void abort();
    bool isOpen() const;
    const std::string& peerAddress() const;

private:
    void connectTo(const endpoint& peer);
    void readMore();
    void writeMore();
    void finish(connection_end end);
    void halfClose();

    std::unique_ptr<socket_state> m_socket;
};

class listener {
public:
    using accept_callback = std::function<void(std::shared_ptr<connection>)>;

    // Error `Unavailable` when the address cannot be bound.
    static result<std::unique_ptr<listener>> open(
        event_loop& loop, const endpoint& address, duration unackedLimit, accept_callback onAccept);
    ~listener();

    std::uint16_t port() const;

private:
    struct state;
    explicit listener(std::shared_ptr<state> state);

    std::shared_ptr<state> m_state;
};

} // namespace balsamspring

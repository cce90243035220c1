// HTTP/1.1 server: reads one request at a time from each connection and passes it to a handler once it is complete. Not
// thread safe: all calls come from the event loop's thread.
#pragma once

#include "balsamspring/memory_account/memory_account.h"
#include "balsamspring/net/connection.h"
#include "balsamspring/net/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace balsamspring {

struct incoming_request {
    http_head head;
    std::string body;
    mono_time firstByteAt {}; // when the first byte arrived
    mono_time receivedAt {}; // when the request was complete
    std::string peer; // as connection::peerAddress()
};

// Writes the response to one request. Calls have no effect after the caller has disconnected.
class response_writer {
public:
    virtual ~response_writer() = default;

    // Sends a complete response. The framing fields are added.
    virtual void send(http_head head, std::string_view body) = 0;
    // Sends a response incrementally: begin(), write()..., end(). If `contentLength` is set, the body is sent with that
    // length.
    virtual void begin(http_head head) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void end() = 0;
    // Aborts the connection, so that the caller does not mistake the response for a complete one.
    virtual void abort() = 0;

    // Whether send() or begin() was called.
    virtual bool begun() const = 0;
    // Number of bytes whose write has not completed.
    virtual std::size_t unwritten() const = 0;
    // Number of bytes that may wait to be written before the source of the response should pause.
    virtual std::size_t window() const = 0;
    // Number of bytes of the response that the handler keeps and has not written.
    virtual void keeps(std::size_t bytes) = 0;
    // Sets a callback that is called once if the caller closes its connection, or the connection fails, before the
    // response is complete.
    virtual void onDisconnect(std::function<void()> callback) = 0;
    // Sets a callback that is called each time when all written data is in the kernel's send buffer.
    virtual void onWritten(std::function<void()> callback) = 0;
};

struct http_service_limits {
    http_limits message;
    duration headerTimeout = std::chrono::seconds(3); // from the first byte of a request to the end of its head
    duration idleTimeout = std::chrono::seconds(15); // between requests, and between two received parts of a body
};

struct http_service_options {
    endpoint address;
    duration tcpUserTimeout = std::chrono::seconds(3); // TCP_USER_TIMEOUT
    // Evaluated for each request, so that changed time-outs also apply to open connections. The message limits of a
    // connection are those at the time when it was accepted.
    std::function<http_service_limits()> limits;
    // Called for each request. The handler may keep the writer and respond later.
    std::function<void(incoming_request, std::shared_ptr<response_writer>)> handler;
    // Called when a message was rejected before it reached the handler: "malformed", "header_too_large", ..., or when a
    // connection was closed for lack of memory or descriptors.
    std::function<void(std::string_view reason, const std::string& peer)> onRejected;
    // What connections and requests hold is charged to it. Null: nothing is. Must outlive the service.
    memory_account* account = nullptr;
};

class http_service {
public:
    // Error `Unavailable` when the address cannot be bound.
    static result<std::unique_ptr<http_service>> open(event_loop& loop, http_service_options options);
    ~http_service();

    // From now on each response closes its connection.
    void startGracefulClose();
    // Closes the connections that have no request in progress and have received no part of one.
    void closeIdleConnections();
    std::size_t connections() const;
    std::size_t requestsInProgress() const;
    std::uint16_t port() const;

    struct state;

private:
    explicit http_service(std::shared_ptr<state> state);
    std::shared_ptr<state> m_state;
};

} // namespace balsamspring

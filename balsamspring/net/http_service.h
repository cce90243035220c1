// HTTP/1.1 server: reads one request at a time of each connection and hands it, complete, to a handler.
#pragma once

#include "balsamspring/net/connection.h"
#include "balsamspring/net/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace balsamspring {

struct incoming_request {
    http_head head;
    std::string body;
    mono_time firstByte {};
    mono_time received {};
    std::string peer;
};

// Writes the response to one request. Calls after the caller has gone do nothing.
class response_writer {
public:
    virtual ~response_writer() = default;

    // A whole response. The framing fields are added.
    virtual void send(http_head head, std::string_view body) = 0;
    // A response in pieces: begin(), write()..., end(). A body with `contentLength` is sent with that length.
    virtual void begin(http_head head) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void end() = 0;
    // Breaks the connection, so that the response is not taken for a complete one.
    virtual void abort() = 0;

    virtual bool begun() const = 0;
    virtual std::size_t unwritten() const = 0;
    // Called once when the caller closes or its connection breaks before the response has ended.
    virtual void onGone(std::function<void()> callback) = 0;
    // Called each time when everything written is with the kernel.
    virtual void onWritten(std::function<void()> callback) = 0;
};

struct http_service_limits {
    http_limits message;
    duration headerTimeout = std::chrono::seconds(3); // from the first byte of a request to the end of its head
    duration idleTimeout = std::chrono::seconds(15); // between requests, and between two pieces of a body
};

struct http_service_options {
    endpoint address;
    duration unackedLimit = std::chrono::seconds(3); // TCP_USER_TIMEOUT
    // Asked at each request, so that a new configuration holds for open connections too.
    std::function<http_service_limits()> limits;
    // Called for each request; the writer may be kept.
    std::function<void(incoming_request, std::shared_ptr<response_writer>)> handler;
    // A message was rejected before it reached the handler: "malformed", "header_too_large", ...
    std::function<void(std::string_view reason, const std::string& peer)> onRejected;
};

class http_service {
public:
    static result<std::unique_ptr<http_service>> open(event_loop& loop, http_service_options options);
    ~http_service();

    // Responses from now on close their connections.
    void beginClosing();
    void closeIdle();
    std::size_t connections() const;
    std::size_t requestsInProgress() const;
    std::uint16_t port() const;

    struct state;

private:
    explicit http_service(std::shared_ptr<state> state);
    std::shared_ptr<state> m_state;
};

} // namespace balsamspring

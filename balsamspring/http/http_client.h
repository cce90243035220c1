// HTTP client on which the adapters are built: pooled or fresh connections, streamed bodies, total timeouts.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsamspring {

using http_headers = std::map<std::string, std::string>; // names in lower case

struct http_request {
    std::string method = "GET";
    std::string address; // "10.0.0.1:8080"
    std::string path = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string contentType = "application/json";
    duration headTimeout {}; // until the head of the reply; 0 means none
    duration timeout {}; // until the end of the reply; 0 means none
    bool freshConnection = false; // never use a pooled connection
};

struct http_reply {
    int status = 0;
    http_headers headers;
    std::string body;
};

// Callbacks of one transfer; never concurrent with each other. `ended` runs exactly once, last.
//
// Errors: `Refused` when no connection was made, so that the server has seen nothing; `Timeout`; `Cancelled`;
// `Unavailable` for everything else that broke.
struct http_handlers {
    std::function<void(int status, const http_headers&)> head;
    std::function<void(std::string_view)> data;
    std::function<void(result<void>)> ended;
};

// One request whose reply is read piece by piece. Thread safe.
class http_transfer {
public:
    virtual ~http_transfer() = default;

    // While paused at most one piece is held and nothing is read, so the sender meets TCP flow control.
    virtual void pause() = 0;
    virtual void resume() = 0;

    // Closes the connection; `ended` runs with Cancelled on another thread.
    virtual void cancel() = 0;
};

struct http_client_options {
    std::size_t receiveBuffer
        = std::size_t { 64 } * 1024; // bytes of socket buffer per connection; bounds what a paused reader takes
    std::size_t maxBodyBytes = std::size_t { 4 } * 1024 * 1024; // limit for a body that is read as a whole
};

// Sends no request with a body twice; one without a body may be sent again when a pooled connection turns out closed.
//
// Thread safe. Callbacks run on cpprestsdk's thread pool and must not block. Transfers that run when the client is
// destroyed still end.
class http_client {
public:
    explicit http_client(const http_client_options& options = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    std::shared_ptr<http_transfer> open(const http_request& request, http_handlers handlers);

    // Reads the whole reply. A body above `maxBodyBytes` gives Corrupt.
    std::shared_ptr<http_transfer> send(const http_request& request, std::function<void(result<http_reply>)> done);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

// Sets the size of cpprestsdk's thread pool. False when the pool already runs.
bool setHttpThreadCount(std::size_t count);

} // namespace balsamspring

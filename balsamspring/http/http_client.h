// HTTP client shared by the clients of backend servers and of the platform: pooled or new connections, streamed reply
// bodies, and timeouts for the reply head and for the whole request.
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

// Header values by lower-case name.
using http_headers = std::map<std::string, std::string>;

struct http_request {
    std::string method = "GET";
    std::string address; // host and port, such as "10.0.0.1:8080"
    std::string path = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string contentType = "application/json";
    duration headTimeout {}; // limit from the start to the reply head; 0 means no limit
    duration timeout {}; // limit from the start to the end of the reply; 0 means no limit
    bool freshConnection = false; // opens a new connection instead of using a pooled one
};

struct http_reply {
    int status = 0;
    http_headers headers;
    std::string body;
};

// Callbacks of one transfer; never run concurrently with each other. `ended` runs exactly once, as the last one.
//
// Errors: `Refused` if no connection was established, so the server received nothing; `Timeout`; `Cancelled`;
// `Unavailable` for every other failure.
struct http_handlers {
    std::function<void(int status, const http_headers&)> head;
    std::function<void(std::string_view)> data;
    std::function<void(result<void>)> ended;
};

// One request whose reply is read in chunks. Thread safe.
class http_transfer {
public:
    virtual ~http_transfer() = default;

    // While paused, at most one chunk is buffered and the socket is not read, so TCP flow control stops the sender.
    virtual void pause() = 0;
    virtual void resume() = 0;

    // Closes the connection; `ended` runs with Cancelled on another thread.
    virtual void cancel() = 0;
};

struct http_client_options {
    // Socket receive buffer per connection; limits how much a paused transfer still accepts.
    std::size_t receiveBufferBytes = std::size_t { 64 } * 1024;

    // Maximum size, in bytes, of a reply body that `send` reads.
    std::size_t maxBodyBytes = std::size_t { 4 } * 1024 * 1024;
};

// Never sends a request with a body twice. A request without a body may be sent again if the pooled connection turns
// out to be closed.
//
// Thread safe. Callbacks run on cpprestsdk's thread pool and must not block. Transfers in progress when the client is
// destroyed run to completion.
class http_client {
public:
    explicit http_client(const http_client_options& options = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Starts a request and delivers the reply through `handlers` as it arrives.
    std::shared_ptr<http_transfer> open(const http_request& request, http_handlers handlers);

    // Starts a request and passes the complete reply to `done`. A body larger than `maxBodyBytes` gives `Corrupt`.
    std::shared_ptr<http_transfer> send(const http_request& request, std::function<void(result<http_reply>)> done);

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

// Sets the number of threads in cpprestsdk's thread pool. Returns false if the pool has already started.
bool setHttpThreadCount(std::size_t count);

} // namespace balsamspring

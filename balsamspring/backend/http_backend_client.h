// Backend client that uses the JSON wire format over HTTP.
#pragma once

#include "balsamspring/backend/backend_client.h"
#include "balsamspring/http/http_client.h"

#include <cstddef>
#include <memory>

namespace balsamspring {

struct http_backend_options {
    duration openTimeout = std::chrono::seconds(10); // limit for the reply head of a stream request
    duration cancelTimeout = std::chrono::seconds(2);
    std::size_t maxFrameBytes = std::size_t { 1024 } * 1024; // limit for one frame of a stream
    http_client_options http { .receiveBufferBytes = std::size_t { 16 } * 1024 };
};

// Streams and idempotent calls share pooled connections; calls with `freshConnection` open their own.
//
// A final frame for another attempt does not end a stream; the stream then ends with `Unavailable` at the end of the
// reply. Other frames for other attempts are passed on, because the callers count them.
class http_backend_client : public backend_client {
public:
    explicit http_backend_client(const http_backend_options& options = {});
    ~http_backend_client() override;

    std::shared_ptr<backend_stream> openStream(
        const std::string& address, const stream_request& request, stream_handlers handlers) override;
    void cancelStream(const std::string& address, stream_id stream, std::function<void(result<void>)> done) override;
    void call(
        const std::string& address, const call_request& request, std::function<void(result<call_reply>)> done) override;
    void queryState(
        const std::string& address, duration timeout, std::function<void(result<engine_state>)> done) override;

private:
    http_backend_options m_options;
    http_client m_http;
};

} // namespace balsamspring

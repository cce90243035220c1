// Helpers around one cpprestsdk request. Included only by the sources of the HTTP APIs.
#pragma once

#include "balsamspring/server/live_run.h"
#include "balsamspring/server/run_body.h"

#include <functional>
#include <string>
#include <vector>

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>

namespace balsamspring::internal {

using http_request = web::http::http_request;

void replyJson(const http_request& request, unsigned status, const std::string& body);
void replyText(const http_request& request, unsigned status, const std::string& body);
void replyRefusal(const http_request& request, const refusal& answer);

std::string headerValue(const http_request& request, const std::string& name);
std::vector<std::string> pathParts(const http_request& request);
bool headersWithin(const http_request& request, const request_limits& limits);

// Reads the body within the limits and calls `done` once, on any thread.
void readBody(
    const http_request& request, const request_limits& limits, std::function<void(or_refusal<std::string>)> done);

// A caller that reads server-sent events. The headers go out with open(), so that a refusal can still be a plain reply.
class event_stream_sink : public caller_sink {
public:
    explicit event_stream_sink(const http_request& request);

    // Sends the headers. `left` runs when the connection broke before the stream was complete.
    void open(const std::string& requestId, std::function<void()> left);

    void send(const caller_event& event, const std::string& id, const run_request& request) override;
    void keepAlive() override;
    std::size_t pending() const override;
    void close() override;

private:
    void write(const std::string& text);

    http_request m_request;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> m_buffer;
};

} // namespace balsamspring::internal

#include "balsamspring/server/http_exchange.h"

#include "balsamspring/base/log.h"
#include "balsamspring/server/event_sinks.h"
#include "balsamspring/server/timer_service.h"

#include <atomic>
#include <memory>

namespace balsamspring::internal {

namespace {

// A reply fails when the caller has gone; nobody is left to tell.
void ignoreFailure(const pplx::task<void>& task)
{
    task.then([](const pplx::task<void>& finished) {
        try {
            finished.get();
        } catch (const std::exception& failure) {
            logLine(log_level::Debug, "reply_failed", { { "message", failure.what() } });
        }
    });
}

void reply(const http_request& request, unsigned status, const std::string& type, const std::string& body)
{
    web::http::http_response response(static_cast<web::http::status_code>(status));
    response.set_body(body, type);
    ignoreFailure(request.reply(response));
}

struct body_read {
    std::atomic<bool> done { false };
    std::atomic<bool> late { false };
    std::string target;
};

// Makes further bytes of the body fail, so that they are not kept in memory.
void rejectRest(const http_request& request)
{
    auto buffer = request.body().streambuf();
    buffer.close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("body refused")));
}

} // namespace

void replyJson(const http_request& request, unsigned status, const std::string& body)
{
    reply(request, status, "application/json", body);
}

void replyText(const http_request& request, unsigned status, const std::string& body)
{
    reply(request, status, "text/plain; version=0.0.4", body);
}

void replyRefusal(const http_request& request, const refusal& answer)
{
    replyJson(request, answer.status, answer.body.empty() ? refusalBody(answer.failure) : answer.body);
}

std::string headerValue(const http_request& request, const std::string& name)
{
    const auto found = request.headers().find(name);
    return found == request.headers().end() ? std::string() : found->second;
}

std::vector<std::string> pathParts(const http_request& request)
{
    return web::uri::split_path(web::uri::decode(request.relative_uri().path()));
}

bool headersWithin(const http_request& request, const request_limits& limits)
{
    std::size_t bytes = request.request_uri().to_string().size();
    std::size_t count = 0;
    for (const auto& [name, value] : request.headers()) {
        bytes += name.size() + value.size();
        ++count;
    }
    return bytes <= limits.headerBytes && count <= limits.headerCount;
}

void readBody(
    const http_request& request, const request_limits& limits, std::function<void(or_refusal<std::string>)> done)
{
    const refusal tooLarge = makeRefusal("body_too_large", "the body exceeds the limit");
    if (request.headers().content_length() > limits.bodyBytes) {
        rejectRest(request);
        done(tl::make_unexpected(tooLarge));
        return;
    }
    auto state = std::make_shared<body_read>();
    runAfter(limits.sendTime, [state, request] {
        if (state->done)
            return;
        state->late = true;
        rejectRest(request);
    });
    // One byte more than allowed is asked for, so that a chunked body above the limit shows.
    const std::size_t declared = request.headers().content_length();
    state->target.resize(declared ? declared : limits.bodyBytes + 1);
    request.body()
        .streambuf()
        .getn(reinterpret_cast<std::uint8_t*>(state->target.data()), state->target.size())
        .then([state, request, limits, tooLarge, done = std::move(done)](const pplx::task<std::size_t>& task) {
            state->done = true;
            std::size_t size = 0;
            try {
                size = task.get();
            } catch (const std::exception&) {
                state->late = true;
            }
            if (state->late)
                return done(tl::make_unexpected(makeRefusal("too_slow", "the body did not arrive in time")));
            if (size > limits.bodyBytes) {
                rejectRest(request);
                return done(tl::make_unexpected(tooLarge));
            }
            state->target.resize(size);
            done(std::move(state->target));
        });
}

event_stream_sink::event_stream_sink(const http_request& request)
    : m_request(request)
{
}

void event_stream_sink::open(const std::string& requestId, std::function<void()> left)
{
    web::http::http_response response(web::http::status_codes::OK);
    response.headers().add("Cache-Control", "no-store");
    response.headers().add("X-Request-Id", requestId);
    response.set_body(m_buffer.create_istream(), "text/event-stream");
    m_request.reply(response).then([left = std::move(left)](const pplx::task<void>& task) {
        try {
            task.get();
        } catch (const std::exception&) {
            left();
        }
    });
}

void event_stream_sink::write(const std::string& text)
{
    // The buffer copies the bytes before it returns. Without sync the listener would wait for a full chunk.
    m_buffer.putn_nocopy(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    m_buffer.sync();
}

void event_stream_sink::send(const caller_event& event, const std::string& id, const run_request& request)
{
    write(formatServerSentEvent(event, id, request));
}

void event_stream_sink::keepAlive() { write(":\n\n"); }

std::size_t event_stream_sink::pending() const { return m_buffer.in_avail(); }

void event_stream_sink::close() { m_buffer.close(std::ios_base::out); }

} // namespace balsamspring::internal

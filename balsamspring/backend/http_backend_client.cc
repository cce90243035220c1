#include "balsamspring/backend/http_backend_client.h"

#include <mutex>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;

// Returns 0 if the field is missing or has another type.
std::uint64_t unsignedField(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

// Returns an empty string if the field is missing or has another type.
std::string stringField(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// Returns a discarded value if the text is not JSON.
json parse(std::string_view text) { return json::parse(text, nullptr, false); }

bool hasLeavingHeader(const http_headers& headers)
{
    const auto found = headers.find("x-leaving");
    return found != headers.end() && found->second == "1";
}

server_info parseServerInfo(const json& object, bool leaving)
{
    server_info serverInfo;
    serverInfo.generation = unsignedField(object, "generation");
    serverInfo.load.running = static_cast<std::uint32_t>(unsignedField(object, "running"));
    serverInfo.load.queued = static_cast<std::uint32_t>(unsignedField(object, "queued"));
    serverInfo.leaving = leaving;
    return serverInfo;
}

// An error reply with "work":"not_run" guarantees that the work did not run. Without this field it may have run.
error parseErrorReply(int status, const std::string& body)
{
    const json reply = parse(body);
    const json empty = json::object();
    const json& details = reply.is_object() && reply.contains("error") ? reply["error"] : empty;
    std::string message = "status " + std::to_string(status);
    if (details.is_object() && !stringField(details, "reason").empty())
        message += ": " + stringField(details, "reason");
    if (status == statusNotFound)
        return { error_code::NotFound, message };
    if (status == statusConflict)
        return { error_code::Conflict, message };
    if (details.is_object() && stringField(details, "work") == toString(work_state::NotRun))
        return { error_code::Refused, message };
    return { error_code::Unavailable, message };
}

// Replaces invalid UTF-8 instead of throwing.
std::string serializeJson(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

// Splits the reply to a stream request into frames and passes them to the handlers.
class stream_reader : public backend_stream, public std::enable_shared_from_this<stream_reader> {
public:
    stream_reader(attempt_id attempt, std::size_t maxFrameBytes, stream_handlers handlers)
        : m_attempt(attempt)
        , m_maxFrameBytes(maxFrameBytes)
        , m_handlers(std::move(handlers))
    {
    }

    void start(http_client& http, const http_request& request)
    {
        auto self = shared_from_this();
        auto transfer = http.open(request,
            { .head = [self](int status, const http_headers& headers) { self->receiveHead(status, headers); },
                .data = [self](std::string_view bytes) { self->receiveData(bytes); },
                .ended =
                    [self](const result<void>& outcome) {
                        self->receiveEnd(outcome);
                    } });
        bool cancelled = false;
        {
            const std::lock_guard lock(m_mutex);
            m_transfer = transfer;
            cancelled = m_cancelled;
        }
        if (cancelled)
            transfer->cancel();
    }

    void pause() override
    {
        if (const auto open = transfer())
            open->pause();
    }

    void resume() override
    {
        if (const auto open = transfer())
            open->resume();
    }

    void disconnect() override
    {
        std::shared_ptr<http_transfer> open;
        {
            const std::lock_guard lock(m_mutex);
            m_cancelled = true;
            open = m_transfer.lock();
        }
        if (open)
            open->cancel();
    }

private:
    std::shared_ptr<http_transfer> transfer()
    {
        const std::lock_guard lock(m_mutex);
        return m_transfer.lock();
    }

    void receiveHead(int status, const http_headers& headers)
    {
        m_status = status;
        m_leaving = hasLeavingHeader(headers);
    }

    void receiveData(std::string_view bytes)
    {
        if (m_ended)
            return;
        if (m_status == statusOk) {
            while (!m_ended) {
                const auto end = bytes.find('\n');
                if (end == std::string_view::npos)
                    break;
                if (m_buffer.empty()) {
                    receiveFrame(bytes.substr(0, end));
                } else {
                    m_buffer += bytes.substr(0, end);
                    receiveFrame(std::exchange(m_buffer, {}));
                }
                bytes.remove_prefix(end + 1);
            }
        }
        m_buffer += bytes;
        if (m_buffer.size() > m_maxFrameBytes)
            fail({ error_code::Corrupt, "a frame of the stream is too long" });
    }

    void receiveFrame(std::string_view line)
    {
        if (line.empty())
            return;
        const json frame = parse(line);
        if (!frame.is_object() || !frame.contains("attempt"))
            return fail({ error_code::Corrupt, "a frame of the stream does not parse" });
        const attempt_id attempt(unsignedField(frame, "attempt"));
        const std::uint64_t sequence = unsignedField(frame, "seq");
        if (frame.contains("generation")) {
            if (m_handlers.opened)
                m_handlers.opened(attempt, parseServerInfo(frame, m_leaving));
        } else if (frame.contains("text")) {
            if (m_handlers.token)
                m_handlers.token({ attempt, sequence, stringField(frame, "text") });
        } else if (frame.contains("done") && attempt == m_attempt) {
            end(stream_end { attempt, sequence });
        }
    }

    void receiveEnd(const result<void>& outcome)
    {
        if (m_ended)
            return;
        if (!outcome)
            end(tl::make_unexpected(outcome.error()));
        else if (m_status != statusOk)
            end(tl::make_unexpected(parseErrorReply(m_status, m_buffer)));
        else
            end(makeError(error_code::Unavailable, "the stream ended without its last frame"));
    }

    void fail(error reason)
    {
        end(tl::make_unexpected(std::move(reason)));
        disconnect();
    }

    void end(result<stream_end> outcome)
    {
        m_ended = true;
        const stream_handlers handlers = std::exchange(m_handlers, {});
        if (handlers.ended)
            handlers.ended(std::move(outcome));
    }

    const attempt_id m_attempt;
    const std::size_t m_maxFrameBytes;
    // Accessed only by the transfer's callbacks, like all members up to the mutex.
    stream_handlers m_handlers;
    int m_status = 0;
    bool m_leaving = false;
    bool m_ended = false;
    std::string m_buffer; // incomplete frame, or the body of an error reply

    std::mutex m_mutex;
    std::weak_ptr<http_transfer> m_transfer;
    bool m_cancelled = false; // a callback may close the stream before `start` has stored the transfer
};

} // namespace

http_backend_client::http_backend_client(const http_backend_options& options)
    : m_options(options)
    , m_http(options.http)
{
}

http_backend_client::~http_backend_client() = default;

std::shared_ptr<backend_stream> http_backend_client::openStream(
    const std::string& address, const stream_request& request, stream_handlers handlers)
{
    json body { { "stream_id", request.stream.value() }, { "attempt", request.attempt.value() },
        { "model", request.model.value() }, { "prompt", request.prompt }, { "max_tokens", request.maxTokens },
        { "priority", request.priority }, { "resume_from", request.resumeFrom } };
    if (request.joinOnly)
        body["join_only"] = true;
    http_request message;
    message.method = "POST";
    message.address = address;
    message.path = "/v1/streams";
    message.body = serializeJson(body);
    message.headTimeout = m_options.openTimeout;
    auto reader = std::make_shared<stream_reader>(request.attempt, m_options.maxFrameBytes, std::move(handlers));
    reader->start(m_http, message);
    return reader;
}

void http_backend_client::cancelStream(
    const std::string& address, stream_id stream, std::function<void(result<void>)> done)
{
    http_request message;
    message.method = "DELETE";
    message.address = address;
    message.path = "/v1/streams/" + std::to_string(stream.value());
    message.timeout = m_options.cancelTimeout;
    m_http.send(message, [done = std::move(done)](const result<http_reply>& reply) {
        if (!reply)
            done(tl::make_unexpected(reply.error()));
        else if (reply->status == statusOk || reply->status == statusNotFound)
            done({});
        else
            done(tl::make_unexpected(parseErrorReply(reply->status, reply->body)));
    });
}

void http_backend_client::call(
    const std::string& address, const call_request& request, std::function<void(result<call_reply>)> done)
{
    const json input = parse(request.input);
    if (input.is_discarded())
        return done(makeError(error_code::Refused, "the input of the call is not JSON"));
    http_request message;
    message.method = "POST";
    message.address = address;
    message.path = "/v1/call";
    message.body = serializeJson({ { "attempt", request.attempt.value() }, { "operation", request.operation },
        { "input", input }, { "priority", request.priority } });
    message.timeout = request.timeout;
    message.freshConnection = request.freshConnection;
    if (request.sendBefore && monotonicNow() >= *request.sendBefore)
        return done(makeError(error_code::Refused, "the time in which the call may be sent is over"));
    m_http.send(message, [done = std::move(done)](const result<http_reply>& reply) {
        if (!reply)
            return done(tl::make_unexpected(reply.error()));
        if (reply->status != statusOk)
            return done(tl::make_unexpected(parseErrorReply(reply->status, reply->body)));
        const json answer = parse(reply->body);
        if (!answer.is_object() || !answer.contains("attempt") || !answer.contains("output"))
            return done(makeError(error_code::Corrupt, "the answer of the call does not parse"));
        done(call_reply { attempt_id(unsignedField(answer, "attempt")), serializeJson(answer["output"]),
            parseServerInfo(answer, hasLeavingHeader(reply->headers)) });
    });
}

void http_backend_client::queryState(
    const std::string& address, duration timeout, std::function<void(result<engine_state>)> done)
{
    http_request message;
    message.address = address;
    message.path = "/v1/state";
    message.timeout = timeout;
    m_http.send(message, [done = std::move(done)](const result<http_reply>& reply) {
        if (!reply)
            return done(tl::make_unexpected(reply.error()));
        if (reply->status != statusOk)
            return done(tl::make_unexpected(parseErrorReply(reply->status, reply->body)));
        const json answer = parse(reply->body);
        if (!answer.is_object())
            return done(makeError(error_code::Corrupt, "the engine's state does not parse"));
        engine_state state { unsignedField(answer, "generation"), {}, stringField(answer, "role") };
        for (const json& model : answer.value("models", json::array())) {
            if (model.is_string())
                state.models.push_back(model.get<std::string>());
        }
        done(std::move(state));
    });
}

} // namespace balsamspring

#include "balsamspring/net/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <fmt/core.h>

namespace balsamspring {

namespace {

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 9> connectionFields { "connection", "keep-alive", "proxy-connection",
    "transfer-encoding", "te", "trailer", "upgrade", "content-length", "expect" };

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

http_failure toHttpFailure(const boost::system::error_code& error)
{
    if (error == http::error::header_limit)
        return http_failure::HeaderTooLarge;
    if (error == http::error::body_limit)
        return http_failure::BodyTooLarge;
    if (error == http::error::partial_message || error == http::error::end_of_stream)
        return http_failure::Truncated;
    return http_failure::Malformed;
}

// Parses one message. `isRequest` selects the grammar of the start line.
template <bool isRequest> class message_parser final : public http::basic_parser<isRequest> {
public:
    explicit message_parser(const http_callbacks& callbacks)
        : m_callbacks(callbacks)
    {
    }

    http_head head;

private:
    using string_view = boost::beast::string_view;
    using error = boost::system::error_code;

    static std::string copy(string_view text) { return { text.data(), text.size() }; }

    void on_request_impl(http::verb, string_view method, string_view target, int version, error&) override
    {
        head.method = copy(method);
        head.target = copy(target);
        head.version = static_cast<unsigned>(version);
    }

    void on_response_impl(int code, string_view reason, int version, error& failure) override
    {
        // RFC 9110, 15: anything else is no status. One below 100 would pass for an interim response.
        constexpr int firstStatus = 100;
        constexpr int lastStatus = 599;
        if (code < firstStatus || code > lastStatus) {
            failure = http::error::bad_status;
            return;
        }
        head.status = static_cast<unsigned>(code);
        head.reason = copy(reason);
        head.version = static_cast<unsigned>(version);
    }

    void on_field_impl(http::field, string_view name, string_view value, error&) override
    {
        head.fields.push_back({ copy(name), copy(value) });
    }

    void on_header_impl(error&) override
    {
        head.keepAlive = this->keep_alive();
        head.chunked = this->chunked();
        if (const auto length = this->content_length())
            head.contentLength = *length;
        if (m_callbacks.onHead)
            m_callbacks.onHead(head);
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, error&) override { }

    std::size_t on_body_impl(string_view body, error&) override { return deliver(body); }

    void on_chunk_header_impl(std::uint64_t, string_view, error&) override { }

    std::size_t on_chunk_body_impl(std::uint64_t, string_view body, error&) override { return deliver(body); }

    void on_finish_impl(error&) override { }

    std::size_t deliver(string_view body)
    {
        if (m_callbacks.onBody && !body.empty())
            m_callbacks.onBody(std::string_view(body.data(), body.size()));
        return body.size();
    }

    const http_callbacks& m_callbacks;
};

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

const std::string* http_head::find(std::string_view name) const
{
    for (const header_field& field : fields) {
        if (equalIgnoringCase(field.name, name))
            return &field.value;
    }
    return nullptr;
}

std::size_t http_head::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        fields.begin(), fields.end(), [&](const header_field& field) { return equalIgnoringCase(field.name, name); }));
}

bool isConnectionField(const http_head& head, std::string_view name)
{
    for (const std::string_view known : connectionFields) {
        if (equalIgnoringCase(known, name))
            return true;
    }
    for (const header_field& field : head.fields) {
        if (!equalIgnoringCase(field.name, "connection"))
            continue;
        std::string_view remaining = field.value;
        while (!remaining.empty()) {
            const auto comma = remaining.find(',');
            if (equalIgnoringCase(trim(remaining.substr(0, comma)), name))
                return true;
            remaining = comma == std::string_view::npos ? std::string_view() : remaining.substr(comma + 1);
        }
    }
    return false;
}

// Hides the parser's template parameter, which distinguishes requests from responses.
struct http_parser::state {
    state(http_role parserRole, http_limits messageLimits, http_callbacks parserCallbacks)
        : role(parserRole)
        , limits(messageLimits)
        , callbacks(std::move(parserCallbacks))
    {
        reset();
    }

    void reset()
    {
        request.reset();
        response.reset();
        completed = false;
        if (role == http_role::Request)
            configure(request.emplace(callbacks));
        else
            configure(response.emplace(callbacks));
    }

    template <class Parser> void configure(Parser& parser)
    {
        parser.eager(true);
        parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser.body_limit(limits.bodyBytes);
    }

    template <class Action> auto withParser(Action action)
    {
        return role == http_role::Request ? action(*request) : action(*response);
    }

    http_failure parse()
    {
        if (failure != http_failure::None || completed)
            return failure;
        std::size_t consumed = 0;
        while (consumed < input.size()) {
            boost::system::error_code error;
            const std::size_t parsedBytes = withParser([&](auto& parser) {
                return parser.put(boost::asio::buffer(input.data() + consumed, input.size() - consumed), error);
            });
            consumed += parsedBytes;
            if (error && error != http::error::need_more) {
                failure = toHttpFailure(error);
                break;
            }
            if (withParser([](auto& parser) { return parser.is_done(); })) {
                completed = true;
                break;
            }
            if (error == http::error::need_more || parsedBytes == 0)
                break;
        }
        input.erase(0, consumed);
        // The parser leaves nothing but an incomplete head, chunk header or trailer, which can be endless.
        if (failure == http_failure::None && !completed && input.size() > limits.headerBytes)
            failure = http_failure::HeaderTooLarge;
        if (completed && failure == http_failure::None && callbacks.onComplete)
            callbacks.onComplete();
        return failure;
    }

    bool headDone()
    {
        return withParser([](auto& parser) { return parser.is_header_done(); });
    }

    http_role role;
    http_limits limits;
    http_callbacks callbacks;
    std::optional<message_parser<true>> request;
    std::optional<message_parser<false>> response;
    std::string input;
    http_failure failure = http_failure::None;
    bool completed = false;
};

http_parser::http_parser(http_role role, http_limits limits, http_callbacks callbacks)
    : m_state(std::make_unique<state>(role, limits, std::move(callbacks)))
{
}

http_parser::~http_parser() = default;

http_failure http_parser::feed(std::string_view bytes)
{
    m_state->input += bytes;
    return m_state->parse();
}

http_failure http_parser::next()
{
    if (m_state->failure != http_failure::None)
        return m_state->failure;
    m_state->reset();
    return m_state->parse();
}

http_failure http_parser::finish()
{
    if (m_state->failure != http_failure::None || m_state->completed || idle())
        return m_state->failure;
    if (!m_state->input.empty())
        return m_state->failure = http_failure::Truncated;
    boost::system::error_code error;
    m_state->withParser([&](auto& parser) {
        parser.put_eof(error);
        return 0;
    });
    if (error)
        return m_state->failure = toHttpFailure(error);
    m_state->completed = true;
    if (m_state->callbacks.onComplete)
        m_state->callbacks.onComplete();
    return http_failure::None;
}

bool http_parser::idle() const
{
    return !m_state->completed && m_state->input.empty()
        && !m_state->withParser([](auto& parser) { return parser.got_some(); });
}

bool http_parser::complete() const { return m_state->completed; }

bool http_parser::headComplete() const { return m_state->headDone(); }

std::size_t http_parser::buffered() const { return m_state->input.size(); }

void http_parser::expectNoBody()
{
    if (m_state->response)
        m_state->response->skip(true);
}

std::string formatHead(const http_head& head)
{
    std::string text = head.status ? fmt::format("HTTP/1.1 {} {}\r\n", head.status, head.reason)
                                   : fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    for (const header_field& field : head.fields) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
    return text += "\r\n";
}

std::string formatChunk(std::string_view bytes) { return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes); }

} // namespace balsamspring

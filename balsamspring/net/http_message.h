// Incremental HTTP/1.1 parsing without I/O, on Boost.Beast's parser.
//
//     http_parser parser(http_role::Request, limits, { .onHead = ..., .onBody = ..., .onComplete = ... });
//     parser.feed(bytes);
#pragma once

#include "balsamspring/base/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsamspring {

struct header_field {
    std::string name;
    std::string value;
};

// Start line and header fields in the order in which they arrived. Names compare without case.
struct http_head {
    std::string method; // requests
    std::string target; // requests
    unsigned status = 0; // responses
    std::string reason; // responses
    unsigned version = 11; // 10 or 11
    std::vector<header_field> fields;
    bool keepAlive = true;
    bool chunked = false;
    std::optional<std::uint64_t> contentLength;

    // First value of the field, or null.
    const std::string* find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
};

bool equalIgnoringCase(std::string_view a, std::string_view b);

// Whether the field concerns one connection only (RFC 9110, 7.6.1) or the framing, so that it is not forwarded.
bool isConnectionField(const http_head& head, std::string_view name);

enum class http_role : std::uint8_t { Request, Response };

enum class http_failure : std::uint8_t {
    None,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    Truncated, // the connection ended inside a message
};

struct http_limits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 64 * 1024 * 1024;
};

struct http_callbacks {
    std::function<void(const http_head&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
};

// Parses messages one after another. After onComplete() it stops until next() is called, so that bytes of a following
// message stay with the parser. A callback may drop the parser's owner, but not the parser itself.
class http_parser {
public:
    http_parser(http_role role, http_limits limits, http_callbacks callbacks);
    ~http_parser();
    http_parser(const http_parser&) = delete;
    http_parser& operator=(const http_parser&) = delete;

    // Takes bytes and parses as far as possible. The failure is final.
    http_failure feed(std::string_view bytes);
    // Begins the next message with the bytes that are left.
    http_failure next();
    // The connection has ended: a body without a length is complete, any other message in progress is truncated.
    http_failure finish();

    bool idle() const; // between messages, without any byte of the next
    bool complete() const; // onComplete() was called and next() was not
    bool headSeen() const; // the head of the present message was parsed
    std::size_t buffered() const;
    // The present response has no body whatever its head says (answer to HEAD).
    void expectNoBody();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

// "HTTP/1.1 200 OK\r\n..." or "GET / HTTP/1.1\r\n...", with the empty line. Framing fields are the caller's.
std::string formatHead(const http_head& head);

// One chunk of a chunked body; the empty chunk ends it.
std::string formatChunk(std::string_view bytes);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace balsamspring

// Checks of what a caller sends, free of HTTP types.
#pragma once

#include "balsamspring/server/refusal.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace balsamspring {

struct request_limits {
    std::size_t bodyBytes = std::size_t { 1024 } * 1024;
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t headerCount = 64;
    std::size_t nesting = 32;
    std::size_t keyBytes = 256;
    duration sendTime = std::chrono::seconds(10);
};

template <class Value> using or_refusal = tl::expected<Value, refusal>;

struct run_body {
    std::string input; // JSON text with sorted keys
    std::string session;
};

// {"input": ..., "session": "..."}; further members are refused, so that a misspelt one is not ignored.
or_refusal<run_body> parseRunBody(std::string_view text, const request_limits& limits);

// The token of "Bearer <token>".
std::optional<std::string> bearerToken(const std::string& header);

// A whole non-negative decimal number up to `max`; nothing for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view text, std::uint64_t max);

// Printable ASCII without blanks, 1 to `maxBytes` bytes.
bool isPlainKey(std::string_view text, std::size_t maxBytes);

} // namespace balsamspring

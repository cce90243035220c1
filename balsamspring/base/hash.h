// Hashes and codecs: fast hashes for placement, cryptographic ones for secrets and digests.
#pragma once

#include "balsamspring/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace balsamspring {

// 64-bit hash (XXH3) that is equal on every VM for equal bytes and seed.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Mixes two hashes; the order matters.
std::uint64_t combineHash(std::uint64_t first, std::uint64_t second);

// SHA-256 digest, 64 lower case hex digits.
std::string sha256Hex(std::string_view bytes);

// HMAC-SHA256, 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view bytes);

// Compares in a time that depends only on the lengths.
bool equalConstantTime(std::string_view a, std::string_view b);

std::string toHex(std::string_view bytes);
std::string toBase64Url(std::string_view bytes);

// Error `Corrupt` when the text is not base64url without padding.
result<std::string> fromBase64Url(std::string_view text);

// Base64 of the standard alphabet with padding.
std::string toBase64(std::string_view bytes);
result<std::string> fromBase64(std::string_view text);

} // namespace balsamspring

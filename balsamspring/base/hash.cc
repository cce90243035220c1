#include "balsamspring/base/hash.h"

#include <algorithm>
#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace balsamspring {

namespace {

constexpr std::string_view base64UrlDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

const unsigned char* asBytes(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

} // namespace

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combineHash(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> pair { first, second };
    return XXH3_64bits(pair.data(), sizeof(pair));
}

std::string sha256Hex(std::string_view bytes)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(asBytes(bytes), bytes.size(), reinterpret_cast<unsigned char*>(digest.data()));
    return toHex(digest);
}

std::string hmacSha256(std::string_view key, std::string_view bytes)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asBytes(bytes), bytes.size(),
        reinterpret_cast<unsigned char*>(digest.data()), &length);
    return digest;
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && !CRYPTO_memcmp(a.data(), b.data(), a.size());
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += digits[value >> 4];
        text += digits[value & 15];
    }
    return text;
}

std::string toBase64Url(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size() * 4 / 3 + 3);
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const char byte : bytes) {
        buffer = buffer << 8 | static_cast<unsigned char>(byte);
        bits += 8;
        while (bits >= 6) {
            bits -= 6;
            text += base64UrlDigits[buffer >> bits & 63];
        }
    }
    if (bits)
        text += base64UrlDigits[buffer << (6 - bits) & 63];
    return text;
}

result<std::string> fromBase64Url(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t buffer = 0;
    int bits = 0;
    for (const char digit : text) {
        const auto value = base64UrlDigits.find(digit);
        if (value == std::string_view::npos)
            return makeError(error_code::Corrupt, "not base64url text");
        buffer = buffer << 6 | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(buffer >> bits & 255);
        }
    }
    return bytes;
}

std::string toBase64(std::string_view bytes)
{
    std::string text = toBase64Url(bytes);
    std::ranges::replace(text, '-', '+');
    std::ranges::replace(text, '_', '/');
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
}

result<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4 || text.find_first_of("-_") != std::string_view::npos)
        return makeError(error_code::Corrupt, "not base64");
    std::string unpadded(text);
    for (int i = 0; i < 2 && unpadded.ends_with('='); ++i)
        unpadded.pop_back();
    std::ranges::replace(unpadded, '+', '-');
    std::ranges::replace(unpadded, '/', '_');
    return fromBase64Url(unpadded);
}

} // namespace balsamspring

#include "balsamspring/execution/resume_token.h"

#include "balsamspring/base/hash.h"

#include <array>
#include <charconv>
#include <vector>

#include <fmt/core.h>

namespace balsamspring {

namespace {

constexpr std::string_view tokenVersion = "1";
// Bounds the cost of decoding a forged token. A valid token has about 200 bytes.
constexpr std::size_t maxTokenSize = 2048;
constexpr std::size_t signatureSize = 32;
constexpr std::size_t fieldCount = 10;
// Ids in a configuration contain no control characters, so this byte cannot occur inside a field.
constexpr char separator = '\x1f';

std::vector<std::string> splitFields(std::string_view text)
{
    std::vector<std::string> fields;
    for (std::size_t begin = 0;;) {
        const auto end = text.find(separator, begin);
        fields.emplace_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos)
            return fields;
        begin = end + 1;
    }
}

template <class Number> bool parseNumber(const std::string& text, Number& number)
{
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    return status == std::errc() && end == text.data() + text.size();
}

tl::unexpected<error> invalidToken(std::string_view problem)
{
    return makeError(error_code::InvalidArgument, fmt::format("resume token {}", problem));
}

} // namespace

std::string encodeResumeToken(const resume_token& token, std::string_view key)
{
    const std::string fields = fmt::format("{1}{0}{2}{0}{3}{0}{4}{0}{5}{0}{6}{0}{7}{0}{8}{0}{9}{0}{10}", separator,
        tokenVersion, token.request.value(), token.team.value(), token.pipeline.value(), token.version.value(),
        token.stage, token.run, token.backend.value(), token.stream.value(), token.next);
    return toBase64Url(hmacSha256(key, fields) + fields);
}

result<resume_token> decodeResumeToken(std::string_view text, std::string_view key)
{
    if (text.size() > maxTokenSize)
        return invalidToken("is too long");
    const auto bytes = fromBase64Url(text);
    if (!bytes || bytes->size() <= signatureSize)
        return invalidToken("is damaged");
    const std::string_view signature = std::string_view(*bytes).substr(0, signatureSize);
    const std::string_view payload = std::string_view(*bytes).substr(signatureSize);
    if (!equalConstantTime(signature, hmacSha256(key, payload)))
        return invalidToken("has a wrong signature");
    const auto fields = splitFields(payload);
    if (fields.size() != fieldCount || fields[0] != tokenVersion)
        return invalidToken("has an unknown version");
    resume_token token;
    token.request = request_id(fields[1]);
    token.team = team_id(fields[2]);
    token.pipeline = pipeline_id(fields[3]);
    token.backend = backend_id(fields[7]);
    std::uint64_t version = 0;
    std::uint64_t stream = 0;
    if (!parseNumber(fields[4], version) || !parseNumber(fields[5], token.stage) || !parseNumber(fields[6], token.run)
        || !parseNumber(fields[8], stream) || !parseNumber(fields[9], token.next))
        return invalidToken("is damaged");
    token.version = config_version(version);
    token.stream = stream_id(stream);
    return token;
}

stream_id computeStreamId(const stream_identity& identity)
{
    std::uint64_t hash = hash64(identity.team.value());
    for (const std::string* part : { &identity.pipeline.value(), &identity.idempotencyKey, &identity.bodyDigest })
        hash = combineHash(hash, hash64(*part));
    hash = combineHash(hash, identity.stage);
    return stream_id(combineHash(hash, identity.run));
}

} // namespace balsamspring

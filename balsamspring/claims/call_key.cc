#include "balsamspring/claims/call_key.h"

#include "balsamspring/base/hash.h"

#include <array>
#include <charconv>

#include <fmt/format.h>

namespace balsamspring {

namespace {

constexpr std::string_view prefix = "bk1";
constexpr std::size_t maxKeyLength = 128;
constexpr std::size_t macBytes = 16; // 128 bits cannot be guessed

template <class Number> bool parseNumber(std::string_view text, int base, Number& value)
{
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return code == std::errc() && end == text.data() + text.size();
}

} // namespace

std::string call_key_signer::mac(const team_id& team, std::string_view unsignedText) const
{
    // The length prefix delimits the team name, so that no two pairs of team and text produce the same signed bytes.
    const std::string bytes = fmt::format("call_key.{}.{}.{}", team.value().size(), team.value(), unsignedText);
    return toBase64Url(std::string_view(hmacSha256(m_secret, bytes)).substr(0, macBytes));
}

std::string call_key_signer::issue(const team_id& team, const call_key& key) const
{
    std::string text = fmt::format("{}.{}.{}.{:016x}", prefix, key.partition, key.id.offset.value(), key.id.nonce);
    text += '.' + mac(team, text);
    return text;
}

result<call_key> call_key_signer::verify(const team_id& team, std::string_view text) const
{
    const auto invalid = [] {
        return makeError(error_code::InvalidArgument, "not a call key issued to this team");
    };
    if (text.size() > maxKeyLength)
        return invalid();
    std::array<std::string_view, 5> parts;
    std::size_t start = 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const std::size_t end = i + 1 < parts.size() ? text.find('.', start) : text.size();
        if (end == std::string_view::npos)
            return invalid();
        parts[i] = text.substr(start, end - start);
        start = end + 1;
    }
    call_key key;
    std::uint64_t offset = 0;
    if (parts[0] != prefix || !parseNumber(parts[1], 10, key.partition) || !parseNumber(parts[2], 10, offset)
        || !parseNumber(parts[3], 16, key.id.nonce))
        return invalid();
    key.id.offset = log_offset(offset);
    // Comparing the whole text also rejects non-canonical spellings of the numbers, such as leading zeros.
    return equalConstantTime(issue(team, key), text) ? result<call_key>(key) : invalid();
}

} // namespace balsamspring

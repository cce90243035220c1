#include "balsamspring/server/run_body.h"

#include "balsamspring/base/json_nesting.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using json = nlohmann::json;

constexpr std::size_t maxSessionBytes = 256;

tl::unexpected<refusal> badRequest(std::string message)
{
    return tl::make_unexpected(makeRefusal("bad_request", std::move(message)));
}

} // namespace

or_refusal<run_body> parseRunBody(std::string_view text, const request_limits& limits)
{
    if (text.size() > limits.bodyBytes)
        return tl::make_unexpected(makeRefusal("body_too_large", "the body exceeds the limit"));
    if (nestsDeeperThan(text, limits.nesting))
        return tl::make_unexpected(makeRefusal("nesting_too_deep", "the JSON body is nested too deeply"));
    const json body = json::parse(text, nullptr, false);
    if (body.is_discarded())
        return badRequest("the body is not valid JSON");
    if (!body.is_object() || !body.contains("input"))
        return badRequest("the body must be an object with the member \"input\"");
    run_body parsed;
    for (const auto& [name, value] : body.items()) {
        if (name == "input") {
            parsed.input = value.dump(-1, ' ', false, json::error_handler_t::replace);
        } else if (name != "session") {
            return badRequest("unknown member \"" + name.substr(0, 64) + "\" in the body");
        } else if (!value.is_string() || value.get_ref<const std::string&>().size() > maxSessionBytes) {
            return badRequest("\"session\" must be a string of at most 256 bytes");
        } else {
            parsed.session = value.get<std::string>();
        }
    }
    return parsed;
}

std::optional<std::string> bearerToken(const std::string& header)
{
    constexpr std::string_view scheme = "Bearer ";
    if (header.size() <= scheme.size() || header.compare(0, scheme.size(), scheme) != 0)
        return std::nullopt;
    return header.substr(scheme.size());
}

std::optional<std::uint64_t> parseNumber(std::string_view text, std::uint64_t max)
{
    std::uint64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || status != std::errc() || end != text.data() + text.size() || number > max)
        return std::nullopt;
    return number;
}

bool isPlainKey(std::string_view text, std::size_t maxBytes)
{
    return !text.empty() && text.size() <= maxBytes
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

} // namespace balsamspring

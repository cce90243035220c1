#include "balsamspring/platform/http_log_client.h"

#include "balsamspring/base/hash.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using json = nlohmann::json;

constexpr int statusOk = 200;

json parse(const std::string& text) { return json::parse(text, nullptr, false); }

error errorOfReply(const http_reply& reply)
{
    const std::string message = "log replied with status " + std::to_string(reply.status);
    const json body = parse(reply.body);
    const auto found = body.is_object() ? body.find("error") : body.end();
    const bool refused = found != body.end() && found->is_object() && found->contains("work")
        && (*found)["work"] == toString(work_state::NotRun);
    return { refused ? error_code::Refused : error_code::Unavailable, message };
}

bool isOffset(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned();
}

result<log_page> pageOf(const std::string& text, log_offset from)
{
    const auto corrupt = makeError(error_code::Corrupt, "the log's page does not parse");
    const json body = parse(text);
    if (!body.is_object() || !isOffset(body, "earliest") || !isOffset(body, "next") || !body.contains("records"))
        return corrupt;
    log_page page;
    page.earliest = log_offset(body["earliest"].get<std::uint64_t>());
    page.next = log_offset(body["next"].get<std::uint64_t>());
    std::uint64_t lowest = from.value();
    for (const json& item : body["records"]) {
        if (!item.is_object() || !isOffset(item, "offset") || !item.contains("data") || !item["data"].is_string())
            return corrupt;
        const auto offset = item["offset"].get<std::uint64_t>();
        auto bytes = fromBase64(item["data"].get_ref<const std::string&>());
        if (!bytes || offset < lowest || offset >= page.next.value())
            return corrupt;
        lowest = offset + 1;
        page.records.push_back({ log_offset(offset), std::move(*bytes) });
    }
    if (isOffset(body, "tail"))
        page.atTail = page.next.value() >= body["tail"].get<std::uint64_t>();
    else
        page.atTail = page.records.empty();
    return page;
}

} // namespace

http_log_client::http_log_client(http_log_options options)
    : m_options(std::move(options))
    , m_http(m_options.http)
{
}

void http_log_client::append(
    std::string_view stream, std::vector<std::string> records, duration timeout, append_callback done)
{
    json list = json::array();
    for (const std::string& record : records)
        list.push_back(toBase64(record));
    http_request request;
    request.method = "POST";
    request.address = m_options.address;
    request.path = fmt::format("/v1/logs/{}", stream);
    request.body = json({ { "records", std::move(list) } }).dump();
    request.timeout = timeout;
    m_http.send(request, [done = std::move(done)](const result<http_reply>& reply) {
        if (!reply)
            return done(tl::make_unexpected(reply.error()));
        if (reply->status != statusOk)
            return done(tl::make_unexpected(errorOfReply(*reply)));
        const json body = parse(reply->body);
        if (!body.is_object() || !isOffset(body, "offset"))
            return done(makeError(error_code::Corrupt, "the log's acknowledgement does not parse"));
        done(log_offset(body["offset"].get<std::uint64_t>()));
    });
}

void http_log_client::read(
    std::string_view stream, log_offset from, std::size_t maxRecords, duration timeout, read_callback done)
{
    http_request request;
    request.address = m_options.address;
    request.path = fmt::format("/v1/logs/{}?from={}&max={}", stream, from.value(), maxRecords);
    request.timeout = timeout;
    m_http.send(request, [from, done = std::move(done)](const result<http_reply>& reply) {
        if (!reply)
            return done(tl::make_unexpected(reply.error()));
        if (reply->status != statusOk)
            return done(tl::make_unexpected(errorOfReply(*reply)));
        done(pageOf(reply->body, from));
    });
}

} // namespace balsamspring

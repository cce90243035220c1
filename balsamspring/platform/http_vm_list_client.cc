#include "balsamspring/platform/http_vm_list_client.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using json = nlohmann::json;

constexpr int statusOk = 200;

result<std::vector<vm_entry>> entriesOf(const std::string& text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_array())
        return makeError(error_code::Corrupt, "the VM list does not parse");
    std::vector<vm_entry> entries;
    for (const json& item : body) {
        for (const char* name : { "id", "address", "zone", "kind", "state" }) {
            if (!item.is_object() || !item.contains(name) || !item[name].is_string())
                return makeError(error_code::Corrupt, std::string("an entry of the VM list has no ") + name);
        }
        const std::string kind = item["kind"];
        const std::string state = item["state"];
        if ((kind != "entry" && kind != "backend") || (state != "live" && state != "leaving"))
            continue;
        entries.push_back({ vm_id(item["id"]), item["address"], zone_id(item["zone"]),
            kind == "entry" ? vm_kind::Entry : vm_kind::Backend,
            state == "live" ? vm_state::Live : vm_state::Leaving });
    }
    return entries;
}

} // namespace

http_vm_list_client::http_vm_list_client(std::string address)
    : m_address(std::move(address))
{
}

void http_vm_list_client::fetch(duration timeout, fetch_callback done)
{
    http_request request;
    request.address = m_address;
    request.path = "/v1/vms";
    request.timeout = timeout;
    m_http.send(request, [done = std::move(done)](const result<http_reply>& reply) {
        if (!reply)
            return done(tl::make_unexpected(reply.error()));
        if (reply->status != statusOk)
            return done(
                makeError(error_code::Unavailable, "VM list replied with status " + std::to_string(reply->status)));
        done(entriesOf(reply->body));
    });
}

} // namespace balsamspring

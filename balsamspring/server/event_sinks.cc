#include "balsamspring/server/event_sinks.h"

#include "balsamspring/server/refusal.h"

#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using json = nlohmann::json;

std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

std::string eventName(caller_event_kind kind)
{
    switch (kind) {
    case caller_event_kind::Accepted:
        return "accepted";
    case caller_event_kind::Token:
        return "token";
    case caller_event_kind::Restart:
        return "restart";
    case caller_event_kind::Done:
        return "done";
    case caller_event_kind::Error:
        return "error";
    }
    return "error";
}

std::string eventData(const caller_event& event, const run_request& request)
{
    switch (event.kind) {
    case caller_event_kind::Accepted:
        return dump({ { "request", request.id.value() }, { "config_version", request.version.value() } });
    case caller_event_kind::Token:
        return dump(
            { { "stage", event.stage }, { "run", event.run }, { "seq", event.next - 1 }, { "text", event.text } });
    case caller_event_kind::Restart:
        return dump({ { "stage", event.stage }, { "run", event.run } });
    case caller_event_kind::Done:
        return event.text;
    case caller_event_kind::Error:
        return refusalBody(event.failure);
    }
    return {};
}

} // namespace

std::string formatServerSentEvent(const caller_event& event, const std::string& id, const run_request& request)
{
    std::string text;
    if (!id.empty())
        text += "id: " + id + "\n";
    return text + "event: " + eventName(event.kind) + "\ndata: " + eventData(event, request) + "\n\n";
}

json_sink::json_sink(answer_callback done)
    : m_done(std::move(done))
{
}

void json_sink::give(const answer& value)
{
    if (const auto done = std::exchange(m_done, nullptr))
        done(value);
}

void json_sink::send(const caller_event& event, const std::string&, const run_request&)
{
    if (event.kind == caller_event_kind::Done)
        give({ 200, event.text, {} });
    else if (event.kind == caller_event_kind::Error)
        give({ httpStatus(event.failure.reason), refusalBody(event.failure), event.failure.reason });
}

void json_sink::close()
{
    run_failure failure { "caller_left", "another connection has taken over this request", work_state::Running };
    give({ httpStatus(failure.reason), refusalBody(failure), failure.reason });
}

} // namespace balsamspring

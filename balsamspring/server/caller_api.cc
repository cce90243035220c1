#include "balsamspring/server/caller_api.h"

#include "balsamspring/server/event_sinks.h"
#include "balsamspring/server/http_exchange.h"

#include <limits>

#include <nlohmann/json.hpp>

namespace balsamspring {

using internal::event_stream_sink;
using internal::headerValue;
using internal::http_request;
using internal::replyJson;
using path_parts = std::vector<std::string>;

struct caller_api::state : std::enable_shared_from_this<caller_api::state> {
    std::shared_ptr<request_service> service;
    std::shared_ptr<metrics> counters;
    caller_api_hooks hooks;
    std::unique_ptr<web::http::experimental::listener::http_listener> listener;

    void handle(const http_request& request);
    void route(const http_request& request, const team_id& team, const path_parts& path);
    void handleRun(const http_request& request, const team_id& team, const std::string& pipeline);
    void startRun(const http_request& request, const run_call& call);
    void handleResume(const http_request& request, const team_id& team);
    void handleCancel(const http_request& request, const team_id& team, const request_id& id);
    void handleStatus(const http_request& request, const team_id& team, const request_id& id);
    void refuse(const http_request& request, const refusal& answer) const;
    std::function<void(or_refusal<std::string>)> jsonReply(const http_request& request);

    using begin_function = std::function<or_refusal<std::shared_ptr<live_run>>(std::shared_ptr<caller_sink>)>;
    void answerWithEvents(const http_request& request, const begin_function& begin);
    void answerWithJson(const http_request& request, const begin_function& begin);
};

namespace {

bool wantsEvents(const http_request& request)
{
    return headerValue(request, "Accept").find("text/event-stream") != std::string::npos;
}

// Values of the optional number headers; a malformed one is refused instead of ignored.
std::optional<refusal> readNumbers(const http_request& request, run_call& call)
{
    const std::string deadline = headerValue(request, "X-Deadline-Ms");
    if (!deadline.empty()) {
        constexpr std::uint64_t maxDeadlineMs = 24ULL * 3600 * 1000;
        call.deadlineMs = parseNumber(deadline, maxDeadlineMs);
        if (!call.deadlineMs)
            return makeRefusal("bad_request", "X-Deadline-Ms must be a number of milliseconds, at most one day");
    }
    const std::string priority = headerValue(request, "X-Priority");
    if (!priority.empty()) {
        const auto number = parseNumber(priority, std::numeric_limits<std::uint32_t>::max());
        if (!number)
            return makeRefusal("bad_request", "X-Priority must be a non-negative number");
        call.priority = static_cast<std::uint32_t>(*number);
    }
    return std::nullopt;
}

} // namespace

void caller_api::state::refuse(const http_request& request, const refusal& answer) const
{
    counters->refused(answer.failure.reason);
    internal::replyRefusal(request, answer);
}

void caller_api::state::handle(const http_request& request)
{
    if (!internal::headersWithin(request, service->limits()))
        return refuse(request, makeRefusal("headers_too_large", "the headers exceed the limit"));
    const path_parts path = internal::pathParts(request);
    if (path == path_parts { "healthz" })
        return replyJson(request, 200, "{\"alive\":true}");
    const auto team = service->authenticate(headerValue(request, "Authorization"));
    if (!team)
        return refuse(request, team.error());
    route(request, *team, path);
}

void caller_api::state::route(const http_request& request, const team_id& team, const path_parts& path)
{
    const auto& method = request.method();
    const bool isGet = method == web::http::methods::GET;
    const bool isPost = method == web::http::methods::POST;
    const bool isDelete = method == web::http::methods::DEL;
    const std::string section = path.size() >= 2 && path[0] == "v1" ? path[1] : "";
    if (section == "pipelines" && path.size() == 4 && path[3] == "run" && isPost)
        return handleRun(request, team, path[2]);
    if (section == "streams" && path.size() == 2 && isGet)
        return handleResume(request, team);
    if (section == "requests" && path.size() == 3 && isDelete)
        return handleCancel(request, team, request_id(path[2]));
    if (section == "requests" && path.size() == 3 && isGet)
        return handleStatus(request, team, request_id(path[2]));
    if (section == "keys" && path.size() == 2 && isPost)
        return hooks.issueKey(team, jsonReply(request));
    if (section == "calls" && path.size() == 3 && isGet)
        return hooks.callState(team, path[2], jsonReply(request));
    const bool known = section == "pipelines" || section == "streams" || section == "requests" || section == "keys"
        || section == "calls";
    if (known && !isGet && !isPost && !isDelete)
        return refuse(request, makeRefusal("method_not_allowed", "the method is not supported here"));
    refuse(request, makeRefusal("not_found", "there is nothing under this path"));
}

std::function<void(or_refusal<std::string>)> caller_api::state::jsonReply(const http_request& request)
{
    return [self = shared_from_this(), request](const or_refusal<std::string>& answer) {
        if (answer)
            replyJson(request, 200, *answer);
        else
            self->refuse(request, answer.error());
    };
}

void caller_api::state::handleRun(const http_request& request, const team_id& team, const std::string& pipeline)
{
    run_call call;
    call.team = team;
    call.pipeline = pipeline_id(pipeline);
    call.idempotencyKey = headerValue(request, "Idempotency-Key");
    call.lastEventId = headerValue(request, "Last-Event-ID");
    if (const auto answer = readNumbers(request, call))
        return refuse(request, *answer);
    if (const auto answer = service->checkRun(call))
        return refuse(request, *answer);
    internal::readBody(
        request, service->limits(), [self = shared_from_this(), request, call](or_refusal<std::string> body) mutable {
            if (!body)
                return self->refuse(request, body.error());
            call.body = std::move(*body);
            self->startRun(request, call);
        });
}

void caller_api::state::startRun(const http_request& request, const run_call& call)
{
    const begin_function begin = [this, &call](std::shared_ptr<caller_sink> sink) {
        return service->run(call, std::move(sink));
    };
    if (wantsEvents(request))
        answerWithEvents(request, begin);
    else
        answerWithJson(request, begin);
}

void caller_api::state::answerWithEvents(const http_request& request, const begin_function& begin)
{
    const auto sink = std::make_shared<event_stream_sink>(request);
    const auto run = begin(sink);
    if (!run)
        return refuse(request, run.error());
    // Events that came before are kept in the sink's buffer.
    sink->open((*run)->request().id.value(), [live = *run, sink] { live->onCallerDisconnected(sink.get()); });
}

void caller_api::state::answerWithJson(const http_request& request, const begin_function& begin)
{
    const auto sink
        = std::make_shared<json_sink>([self = shared_from_this(), request](const json_sink::answer& answer) {
              if (!answer.reason.empty())
                  self->counters->refused(answer.reason);
              replyJson(request, answer.status, answer.body);
          });
    const auto run = begin(sink);
    if (!run)
        refuse(request, run.error());
}

void caller_api::state::handleResume(const http_request& request, const team_id& team)
{
    const std::string token = headerValue(request, "Last-Event-ID");
    if (token.empty())
        return refuse(request, makeRefusal("bad_request", "the header Last-Event-ID is missing"));
    answerWithEvents(request, [this, &team, &token](std::shared_ptr<caller_sink> sink) {
        return service->resume(team, token, std::move(sink));
    });
}

void caller_api::state::handleCancel(const http_request& request, const team_id& team, const request_id& id)
{
    if (const auto answer = service->cancel(team, id))
        return refuse(request, *answer);
    replyJson(request, 202, "{\"cancelled\":true}");
}

void caller_api::state::handleStatus(const http_request& request, const team_id& team, const request_id& id)
{
    const auto status = service->status(team, id);
    if (!status)
        return refuse(request, status.error());
    const nlohmann::json body { { "request", id.value() }, { "work", toString(status->work) },
        { "ended", status->ended }, { "caller_present", status->callerPresent } };
    replyJson(request, 200, body.dump());
}

caller_api::caller_api(
    std::shared_ptr<request_service> service, std::shared_ptr<metrics> counters, caller_api_hooks hooks)
    : m_state(std::make_shared<state>())
{
    m_state->service = std::move(service);
    m_state->counters = std::move(counters);
    m_state->hooks = std::move(hooks);
}

caller_api::~caller_api() { stop(); }

result<void> caller_api::start(const std::string& address)
{
    using web::http::experimental::listener::http_listener;
    m_state->listener = std::make_unique<http_listener>(web::uri("http://" + address + "/"));
    m_state->listener->support([weak = std::weak_ptr(m_state)](const http_request& request) {
        if (const auto self = weak.lock())
            self->handle(request);
    });
    try {
        m_state->listener->open().wait();
    } catch (const std::exception& failure) {
        m_state->listener.reset();
        return makeError(error_code::Unavailable, "cannot listen on " + address + ": " + failure.what());
    }
    return {};
}

void caller_api::stop()
{
    if (!m_state->listener)
        return;
    try {
        m_state->listener->close().wait();
    } catch (const std::exception&) {
        // The listener is closing; a connection that fails meanwhile is of no interest.
    }
    m_state->listener.reset();
}

} // namespace balsamspring

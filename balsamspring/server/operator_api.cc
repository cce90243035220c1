#include "balsamspring/server/operator_api.h"

#include "balsamspring/base/hash.h"
#include "balsamspring/server/http_exchange.h"

#include <nlohmann/json.hpp>

namespace balsamspring {

using internal::http_request;

struct operator_api::state : std::enable_shared_from_this<operator_api::state> {
    operator_api_options options;
    std::unique_ptr<web::http::experimental::listener::http_listener> listener;

    void handle(const http_request& request);
    bool handleOpen(const http_request& request, const std::string& path);
    bool authorized(const http_request& request) const;
    void refuse(const http_request& request, const refusal& answer) const;
};

namespace {

struct matched_handler {
    const operator_handler* handler = nullptr;
    std::string argument;
};

// Finds the handler of a path, in which one segment may be an argument.
matched_handler findHandler(const std::map<std::string, operator_handler>& handlers, const std::string& method,
    const std::vector<std::string>& path)
{
    std::string exact = method + " ";
    for (const std::string& part : path)
        exact += "/" + part;
    if (const auto found = handlers.find(exact); found != handlers.end())
        return { &found->second, {} };
    for (std::size_t i = 0; i < path.size(); ++i) {
        std::string pattern = method + " ";
        for (std::size_t j = 0; j < path.size(); ++j)
            pattern += "/" + (i == j ? std::string("{}") : path[j]);
        if (const auto found = handlers.find(pattern); found != handlers.end())
            return { &found->second, path[i] };
    }
    return {};
}

} // namespace

bool operator_api::state::authorized(const http_request& request) const
{
    const auto token = bearerToken(internal::headerValue(request, "Authorization"));
    return token && !options.tokenSha256.empty() && equalConstantTime(sha256Hex(*token), options.tokenSha256);
}

void operator_api::state::refuse(const http_request& request, const refusal& answer) const
{
    options.counters->refused(answer.failure.reason);
    internal::replyRefusal(request, answer);
}

// Paths without token. Returns whether the request was answered.
bool operator_api::state::handleOpen(const http_request& request, const std::string& path)
{
    if (path == "/healthz") {
        internal::replyJson(request, 200, "{\"alive\":true}");
    } else if (path == "/metrics") {
        internal::replyText(request, 200, options.counters->text());
    } else if (path == "/readyz") {
        const readiness ready = options.ready();
        const nlohmann::json body { { "repeatable", ready.repeatable }, { "non_idempotent", ready.nonIdempotent },
            { "reasons", ready.reasons } };
        internal::replyJson(request, ready.repeatable ? 200 : 503, body.dump());
    } else {
        return false;
    }
    return true;
}

void operator_api::state::handle(const http_request& request)
{
    if (!internal::headersWithin(request, options.limits))
        return refuse(request, makeRefusal("headers_too_large", "the headers exceed the limit"));
    if (request.method() == web::http::methods::GET && handleOpen(request, request.relative_uri().path()))
        return;
    if (!authorized(request))
        return refuse(request, makeRefusal("unauthorized", "the operator token is required"));
    const auto match = findHandler(options.handlers, request.method(), internal::pathParts(request));
    if (!match.handler)
        return refuse(request, makeRefusal("not_found", "there is nothing under this path"));
    internal::readBody(
        request, options.limits, [self = shared_from_this(), request, match](const or_refusal<std::string>& body) {
            if (!body)
                return self->refuse(request, body.error());
            (*match.handler)({ match.argument, *body }, [self, request](const or_refusal<std::string>& answer) {
                if (answer)
                    internal::replyJson(request, 200, *answer);
                else
                    self->refuse(request, answer.error());
            });
        });
}

operator_api::operator_api(operator_api_options options)
    : m_state(std::make_shared<state>())
{
    m_state->options = std::move(options);
}

operator_api::~operator_api() { stop(); }

result<void> operator_api::start(const std::string& address)
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

void operator_api::stop()
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

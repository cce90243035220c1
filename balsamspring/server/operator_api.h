// HTTP interface for operators, with metrics and health.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/server/metrics.h"
#include "balsamspring/server/run_body.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace balsamspring {

struct readiness {
    bool repeatable = false;
    bool nonIdempotent = false;
    std::vector<std::string> reasons;
};

// "GET /v1/status" and the like; `{}` stands for one path segment, which is passed to the handler with the body.
struct operator_call {
    std::string argument;
    std::string body;
};
using operator_reply = std::function<void(or_refusal<std::string>)>; // JSON text
using operator_handler = std::function<void(const operator_call&, operator_reply)>;

struct operator_api_options {
    std::string tokenSha256; // empty: no operator call is allowed
    request_limits limits;
    std::map<std::string, operator_handler> handlers;
    std::function<readiness()> ready;
    std::shared_ptr<metrics> counters;
};

class operator_api {
public:
    explicit operator_api(operator_api_options options);
    ~operator_api();

    result<void> start(const std::string& address);
    void stop();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace balsamspring

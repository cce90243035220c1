// HTTP interface for callers.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/server/request_service.h"

#include <memory>
#include <string>

namespace balsamspring {

// Extra answers that other components give.
struct caller_api_hooks {
    // POST /v1/keys: a new key for a non-idempotent call.
    std::function<void(const team_id&, std::function<void(or_refusal<std::string>)>)> issueKey;
    // GET /v1/calls/{key}: JSON text about the call.
    std::function<void(const team_id&, const std::string& key, std::function<void(or_refusal<std::string>)>)> callState;
};

// Thread safe. Requests are served on the cpprestsdk pool until stop() returns.
class caller_api {
public:
    caller_api(std::shared_ptr<request_service> service, std::shared_ptr<metrics> counters, caller_api_hooks hooks);
    ~caller_api();

    // Listens on "127.0.0.1:8080". Error `Unavailable` when the address cannot be bound.
    result<void> start(const std::string& address);
    // Closes all connections; call it when no request is in flight.
    void stop();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace balsamspring

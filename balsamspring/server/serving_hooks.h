// Hooks through which requests reach admission, server selection and the claims of non-idempotent calls.
#pragma once

#include "balsamspring/backend/backend_client.h"
#include "balsamspring/execution/run_types.h"

#include <functional>
#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace balsamspring {

struct admission_request {
    team_id team;
    pipeline_id pipeline;
    std::uint32_t priority = 0;
    duration deadline {};
};

using server_choice = tl::expected<chosen_server, run_failure>;

// A call that may run at most once under its key.
struct non_idempotent_call {
    std::string key; // as issued by POST /v1/keys
    request_id request;
    team_id team;
    pipeline_id pipeline;
    std::size_t stage = 0;
    std::uint32_t priority = 0;
    std::string bodyDigest; // of what the caller sent
    pool_id pool;
    std::string operation;
    std::string input;
    attempt_id attempt;
    duration timeout {};
};

// All hooks are thread safe. Callbacks run on any thread, exactly once, possibly before the hook returns.
struct serving_hooks {
    // Refuses a request at its start; nothing means that it may begin.
    std::function<std::optional<run_failure>(const admission_request&)> admit;

    // The server for one attempt, now or when one is free.
    std::function<void(const choose_server_action&, const pool_id&, std::function<void(server_choice)>)> chooseServer;

    // The attempt no longer waits. The callback of chooseServer may still run.
    std::function<void(attempt_id)> abandonChoice;

    std::function<void(const attempt_ended_action&)> attemptEnded;
    std::function<void(attempt_id, const backend_id&, const server_info&)> serverSeen;

    // Tokens arrived on a stream; called for a few at once.
    std::function<void(attempt_id, std::size_t tokens)> streamProgress;

    // The address under which a server is known now.
    std::function<std::optional<chosen_server>(const pool_id&, const backend_id&)> findServer;

    std::function<void(const non_idempotent_call&, std::function<void(non_idempotent_outcome)>)> runNonIdempotent;

    run_hooks run;
};

} // namespace balsamspring

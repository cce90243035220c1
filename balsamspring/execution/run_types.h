// Events, actions and hooks of a pipeline run.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"
#include "balsamspring/execution/pipeline_plan.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamspring {

// Request of the caller.
struct run_request {
    request_id id;
    team_id team;
    config_version version;
    std::string idempotencyKey; // may be empty
    std::string bodyDigest;
    std::string input; // JSON text with sorted keys
    std::string session; // affinity key, may be empty
    std::uint32_t priority = 0;
    // Time limit of the run, from start() or resumeAt() on.
    duration deadline {};
};

struct chosen_server {
    backend_id id;
    std::string address;
};

// Cause of a run that ends without a result. `reason` is one of a small fixed set, because it becomes a metric label.
struct run_failure {
    std::string reason;
    std::string message;
    work_state work = work_state::Unknown;
    // State of this attempt alone, where it differs from `work`.
    std::optional<work_state> thisAttempt = std::nullopt;
    duration retryAfter {};
};

enum class caller_event_kind : std::uint8_t { Accepted, Token, Restart, Done, Error };

struct caller_event {
    caller_event_kind kind = caller_event_kind::Token;
    std::uint32_t stage = 0;
    std::uint32_t run = 0;
    // Sequence number of the token that follows this event, for the resume token.
    std::uint64_t next = 0;
    backend_id backend;
    stream_id stream;
    std::string text; // token text; JSON result for Done
    run_failure failure; // Error only
};

// Position from which a reconnecting caller continues.
struct caller_position {
    std::uint32_t stage = 0;
    std::uint32_t run = 0;
    std::uint64_t next = 0;
};

enum class attempt_outcome : std::uint8_t { Success, Refused, Failed, TimedOut, Silent, Cancelled };

struct choose_server_action {
    attempt_id attempt;
    request_id request;
    team_id team;
    pipeline_id pipeline;
    std::uint32_t priority = 0;
    std::size_t stage = 0;
    model_id model; // empty: any
    std::vector<backend_id> excludedServers;
    std::string affinityKey;
    fingerprint content;
    // Time until the stage times out.
    duration remaining {};
    bool hedge = false;
    // If not empty, the only server that holds the stream to resume.
    backend_id holder;
};
// Withdraws the choose_server_action of the attempt.
struct cancel_choice_action {
    attempt_id attempt;
};
// Follows every serverChosen() when the attempt has ended.
struct attempt_ended_action {
    attempt_id attempt;
    std::size_t stage = 0;
    chosen_server server;
    fingerprint content;
    attempt_outcome outcome = attempt_outcome::Success;
    duration elapsed {};
    std::uint64_t tokens = 0;
};
struct open_stream_action {
    attempt_id attempt;
    chosen_server server;
    stream_id stream;
    model_id model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t priority = 0;
    std::uint64_t resumeFrom = 0;
    bool joinOnly = false;
};
struct pause_stream_action {
    attempt_id attempt;
};
struct resume_stream_action {
    attempt_id attempt;
};
struct disconnect_stream_action {
    attempt_id attempt;
};
struct cancel_stream_action {
    chosen_server server;
    stream_id stream;
};
struct start_call_action {
    attempt_id attempt;
    chosen_server server;
    std::string operation;
    std::string input;
    std::uint32_t priority = 0;
    duration timeout {};
};
struct run_non_idempotent_action {
    attempt_id attempt;
    std::size_t stage = 0;
    std::string operation;
    std::string input;
    duration timeout {};
};
struct emit_action {
    caller_event event;
};
struct run_ended_action {
    bool answered = false;
    std::string reason; // empty when `answered`
};

using run_action = std::variant<choose_server_action, cancel_choice_action, attempt_ended_action, open_stream_action,
    pause_stream_action, resume_stream_action, disconnect_stream_action, cancel_stream_action, start_call_action,
    run_non_idempotent_action, emit_action, run_ended_action>;

struct token_frame {
    // Attempt id that the server sent.
    attempt_id attempt;
    std::uint64_t sequence = 0;
    std::string text;
};

struct non_idempotent_outcome {
    work_state work = work_state::Unknown;
    std::optional<work_state> thisAttempt;
    // Reason of a refusal, empty only when Completed. "key_reused" means Completed for a request with another body.
    std::string reason;
    std::string message;
    // JSON text when Completed without a reason.
    std::string output;
};

struct retry_request {
    pool_id pool;
    std::string reason;
    // Failures of this stage, at least 1.
    std::uint32_t failures = 0;
    duration remaining {};
};

struct stage_budget {
    // Time limit of the stage.
    duration limit {};
    // The stage cannot end before the deadline.
    bool exceedsDeadline = false;
};

// Policies that other components provide. A hook is called while the run handles an event and must not call the run.
struct run_hooks {
    // Returns an id that is unique within a VM incarnation.
    std::function<attempt_id()> nextAttempt;
    // Returns the delay before the retry, or nothing if the stage must not be retried.
    std::function<std::optional<duration>(const retry_request&)> retry;
    // Returns the delay before a hedge attempt, or nothing for no hedging. Called for idempotent calls only.
    std::function<std::optional<duration>(attempt_id)> hedgeAfter;
    std::function<stage_budget(const pipeline_plan&, std::size_t stage, duration remaining)> budget;
};

// Returns hooks with simple policies: three retries with exponential backoff, no hedging, the stage's own timeout. The
// hooks are thread-safe.
run_hooks defaultRunHooks(std::uint64_t incarnation);

struct run_options {
    // An open stream is resumed after max(minIdleTimeout, idleTimeoutFactor * average gap between tokens) without a
    // frame.
    duration minIdleTimeout = std::chrono::seconds(1);
    double idleTimeoutFactor = 8;
    // Time limit for the first frame of a stream.
    duration firstFrameTimeout = std::chrono::seconds(2);
    // Consecutive resumes without a new token after which the stream counts as lost.
    std::uint32_t maxResumesWithoutProgress = 2;
    // Unsent bytes at which reading from the engine pauses.
    std::size_t bufferLimit = std::size_t { 64 } * 1024;
    // A blocked caller that reads nothing for this time is treated as disconnected.
    duration stallTimeout = std::chrono::seconds(30);
};

} // namespace balsamspring

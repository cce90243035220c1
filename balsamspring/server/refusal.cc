#include "balsamspring/server/refusal.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

constexpr std::array<std::pair<std::string_view, unsigned>, 42> statusByReason { {
    { "all_down", 503 },
    { "all_leaving", 503 },
    { "backend_failed", 502 },
    { "bad_request", 400 },
    { "body_required", 409 },
    { "body_too_large", 413 },
    { "caller_left", 499 },
    { "cancelled", 499 },
    { "config_unknown", 503 },
    { "crashes_backend", 422 },
    { "deadline_exceeded", 504 },
    { "draining", 503 },
    { "forbidden", 403 },
    { "headers_too_large", 431 },
    { "hedge_budget", 503 },
    { "invalid_key", 400 },
    { "key_expired", 410 },
    { "key_required", 400 },
    { "key_reused", 409 },
    { "log_unavailable", 503 },
    { "method_not_allowed", 405 },
    { "model_not_served", 503 },
    { "nesting_too_deep", 400 },
    { "no_backend", 503 },
    { "no_claim", 409 },
    { "no_server", 503 },
    { "not_available", 501 },
    { "not_found", 404 },
    { "outcome_unknown", 504 },
    { "overloaded", 503 },
    { "proposal_refused", 409 },
    { "queue_full", 503 },
    { "quota_exceeded", 429 },
    { "settled_too_early", 409 },
    { "stream_gone", 410 },
    { "too_many_requests", 503 },
    { "too_slow", 408 },
    { "unauthorized", 401 },
    { "unknown_pipeline", 404 },
    { "unknown_pool", 503 },
    { "wrong_token", 400 },
} };

const std::pair<std::string_view, unsigned>* findReason(std::string_view reason)
{
    const auto* const found = std::find_if(
        statusByReason.begin(), statusByReason.end(), [reason](const auto& entry) { return entry.first == reason; });
    return found == statusByReason.end() ? nullptr : found;
}

} // namespace

refusal makeRefusal(std::string reason, std::string message)
{
    const unsigned status = httpStatus(reason);
    return { status, { std::move(reason), std::move(message), work_state::NotRun } };
}

unsigned httpStatus(std::string_view reason)
{
    const auto* const entry = findReason(reason);
    return entry ? entry->second : 500;
}

std::string_view reasonLabel(std::string_view reason)
{
    const auto* const entry = findReason(reason);
    return entry ? entry->first : "other";
}

std::string refusalBody(const run_failure& failure)
{
    nlohmann::json body { { "reason", failure.reason }, { "message", failure.message },
        { "work", toString(failure.work) }, { "this_attempt", toString(failure.thisAttempt.value_or(failure.work)) } };
    if (failure.retryAfter.count())
        body["retry_after_ms"] = failure.retryAfter.count() / 1000;
    const nlohmann::json whole { { "error", body } };
    return whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace balsamspring

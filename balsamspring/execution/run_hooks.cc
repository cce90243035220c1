#include "balsamspring/base/hash.h"
#include "balsamspring/base/random.h"
#include "balsamspring/execution/run_types.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>

namespace balsamspring {

namespace {

constexpr std::uint32_t maxRetries = 3;
constexpr duration initialBackoff = std::chrono::milliseconds(50);

struct locked_random {
    std::mutex mutex;
    random_engine engine;
};

stage_budget timeoutBudget(const pipeline_plan& plan, std::size_t stage, duration remaining)
{
    duration requiredTime {};
    for (std::size_t i = stage; i < plan.stages.size(); ++i) {
        if (i == stage || !plan.stages[i].skippable)
            requiredTime += plan.stages[i].timeout;
    }
    const duration stageTimeout = plan.stages[stage].timeout;
    return { stageTimeout.count() ? std::min(stageTimeout, remaining) : remaining, requiredTime > remaining };
}

} // namespace

run_hooks defaultRunHooks(std::uint64_t incarnation)
{
    run_hooks hooks;
    auto counter = std::make_shared<std::atomic<std::uint64_t>>(0);
    hooks.nextAttempt = [counter, incarnation] {
        return attempt_id(combineHash(incarnation, ++*counter));
    };
    auto random = std::make_shared<locked_random>();
    random->engine.seed(incarnation);
    hooks.retry = [random](const retry_request& request) -> std::optional<duration> {
        if (request.failures > maxRetries)
            return std::nullopt;
        const std::lock_guard lock(random->mutex);
        const double scale = uniform(random->engine) * static_cast<double>(1U << request.failures);
        const auto delay = fromSeconds(toSeconds(initialBackoff) * scale);
        return delay < request.remaining ? std::optional(delay) : std::nullopt;
    };
    hooks.hedgeAfter = [](attempt_id) {
        return std::nullopt;
    };
    hooks.budget = timeoutBudget;
    return hooks;
}

} // namespace balsamspring

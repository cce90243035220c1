#include "balsamspring/routing/router_types.h"

namespace balsamspring {

std::string_view toString(pick_refusal refusal)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(pick_refusal::Count)> names { "unknown_pool",
        "no_server", "model_not_served", "all_leaving", "all_excluded", "all_down", "concurrency_limit",
        "exclusive_busy" };
    return names.at(static_cast<std::size_t>(refusal));
}

std::string_view toString(retry_refusal refusal)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(retry_refusal::Count)> names { "attempt_limit",
        "budget_empty", "past_deadline", "unknown_pool" };
    return names.at(static_cast<std::size_t>(refusal));
}

findings router_options::check() const
{
    findings list;
    const auto require = [&](bool valid, const char* message) {
        if (!valid)
            list.add({}, message);
    };
    const auto isShare = [](double value) {
        return value >= 0 && value <= 1;
    };
    const auto zero = duration::zero();
    require(loadBound == 0 || loadBound > 1, "loadBound must be 0 or above 1");
    require(spillStart >= 0 && spillStart < 1, "spillStart must be at least 0 and below 1");
    require(spillFactor >= 1, "spillFactor must be at least 1");
    require(loadTimeConstant > zero, "loadTimeConstant must be positive");
    require(evaluationInterval > zero, "evaluationInterval must be positive");
    require(isShare(hedgeShare), "hedgeShare must be between 0 and 1");
    require(isShare(hedgeQuantile), "hedgeQuantile must be between 0 and 1");
    require(isShare(conservativeHedgeQuantile), "conservativeHedgeQuantile must be between 0 and 1");
    require(hedgeBurst >= 1, "hedgeBurst must be at least 1");
    require(isShare(retryShare), "retryShare must be between 0 and 1");
    require(retryBurst >= 1, "retryBurst must be at least 1");
    require(retryBase > zero && retryCap >= retryBase, "retryBase must be positive and at most retryCap");
    require(minStallTimeout > zero, "minStallTimeout must be positive");
    require(stallTimeoutFactor >= 1, "stallTimeoutFactor must be at least 1");
    require(outlier.ratio > 1, "outlier.ratio must be above 1");
    require(outlier.minSamples >= 1, "outlier.minSamples must be at least 1");
    require(isShare(outlier.maxEjectedShare), "outlier.maxEjectedShare must be between 0 and 1");
    require(isShare(outlier.stepShare), "outlier.stepShare must be between 0 and 1");
    require(
        outlier.initialShare > 0 && outlier.initialShare <= 1, "outlier.initialShare must be above 0 and at most 1");
    require(outlier.baseEjection > zero && outlier.maxEjection >= outlier.baseEjection,
        "outlier.baseEjection must be positive and at most maxEjection");
    require(outlier.baseDown > zero && outlier.maxDown >= outlier.baseDown,
        "outlier.baseDown must be positive and at most maxDown");
    require(concurrency.minimum >= 1 && concurrency.initial >= concurrency.minimum
            && concurrency.maximum >= concurrency.initial,
        "concurrency limits must satisfy 1 <= minimum <= initial <= maximum");
    require(concurrency.tolerance > 1, "concurrency.tolerance must be above 1");
    require(concurrency.decrease > 0 && concurrency.decrease < 1, "concurrency.decrease must be between 0 and 1");
    require(isShare(concurrency.shortReserve), "concurrency.shortReserve must be between 0 and 1");
    require(isShare(concurrency.longLimit), "concurrency.longLimit must be between 0 and 1");
    return list;
}

} // namespace balsamspring

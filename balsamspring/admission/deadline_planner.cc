#include "balsamspring/admission/deadline_planner.h"

#include <algorithm>
#include <cmath>

namespace balsamspring {

namespace {

duration requiredMedian(std::span<const stage_forecast> stages)
{
    duration sum {};
    for (const stage_forecast& stage : stages) {
        if (!stage.skippable)
            sum += stage.median;
    }
    return sum;
}

duration combinedQuantile(std::span<const stage_forecast> stages, duration stage_forecast::*quantile)
{
    duration medians {};
    double squares = 0;
    for (const stage_forecast& stage : stages) {
        medians += stage.median;
        const double spread = toSeconds(stage.*quantile - stage.median);
        squares += spread * spread;
    }
    return medians + fromSeconds(std::sqrt(squares));
}

} // namespace

duration combinedP90(std::span<const stage_forecast> stages) { return combinedQuantile(stages, &stage_forecast::p90); }

duration combinedP99(std::span<const stage_forecast> stages) { return combinedQuantile(stages, &stage_forecast::p99); }

planned_stage planStage(std::span<const stage_forecast> stages, duration remaining)
{
    const stage_forecast& first = stages.front();
    // Uses the median, not a high quantile: a started request that will probably meet its deadline is worth finishing.
    if (remaining <= duration::zero() || requiredMedian(stages) > remaining)
        return { stage_decision::TooLate };
    if (first.skippable && combinedP90(stages) > remaining)
        return { stage_decision::Skip };
    duration total {};
    for (const stage_forecast& stage : stages)
        total += stage.p90;
    const double share = total > duration::zero() ? toSeconds(first.p90) / toSeconds(total) : 1;
    return { stage_decision::Start, fromSeconds(toSeconds(remaining) * share) };
}

} // namespace balsamspring

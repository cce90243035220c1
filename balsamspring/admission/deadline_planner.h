// Divides the time remaining until a request's deadline among its remaining stages.
#pragma once

#include "balsamspring/admission/stage_estimator.h"

#include <cstdint>
#include <span>

namespace balsamspring {

enum class stage_decision : std::uint8_t {
    Start,
    Skip, // the stage is skippable and would leave too little time for the remaining stages
    TooLate, // the deadline cannot be met, so the stage must not start
};

struct planned_stage {
    stage_decision decision = stage_decision::Start;
    duration budget {}; // share of the remaining time for this stage; set only with Start
};

// Estimates the 90th or 99th percentile of the total service time of stages that run one after the other. The result is
// less than the sum of the stages' percentiles, because stages are rarely all slow at once.
duration combinedP90(std::span<const stage_forecast> stages);
duration combinedP99(std::span<const stage_forecast> stages);

// Plans the first of `stages`, the remaining stages in execution order. `remaining` includes the time that earlier
// stages saved. Precondition: `stages` is not empty.
planned_stage planStage(std::span<const stage_forecast> stages, duration remaining);

} // namespace balsamspring

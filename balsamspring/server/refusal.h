// Answers that say why a request was not served, and what became of its work.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/execution/run_types.h"

#include <string>
#include <string_view>

namespace balsamspring {

struct refusal {
    unsigned status = 500; // HTTP
    run_failure failure;
    std::string body {}; // JSON text that is sent instead of refusalBody(failure); empty: none
};

// A refusal of work that did not begin. The HTTP status follows from the reason.
refusal makeRefusal(std::string reason, std::string message);

// HTTP status for a reason; 500 for an unknown one.
unsigned httpStatus(std::string_view reason);

// The reason itself when it belongs to the documented set, else "other". Bounds the label set of the metrics.
std::string_view reasonLabel(std::string_view reason);

// {"error":{"reason":...,"message":...,"work":...,"this_attempt":...,"retry_after_ms":...}}
std::string refusalBody(const run_failure& failure);

} // namespace balsamspring

// Execution plan of a configured pipeline: its validated stages in dependency order.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace balsamspring {

namespace schema {
class pipeline;
}

enum class stage_kind : std::uint8_t { Encode, Retrieve, Rerank, Generate, Call };

struct stage_plan {
    std::string name;
    stage_kind kind = stage_kind::Call;
    pool_id pool;
    model_id model;
    // Operation requested from the server. For kinds other than Call it is the name of the kind.
    std::string operation;
    // Positions of the predecessors in pipeline_plan::stages, all smaller than the position of this stage.
    std::vector<std::size_t> after;
    bool skippable = false;
    bool nonIdempotent = false;
    std::uint32_t maxTokens = 0;
    // 0: the time limit of the stage is derived from the request deadline.
    duration timeout {};
};

struct pipeline_plan {
    pipeline_id id;
    // In dependency order. The last stage produces the output.
    std::vector<stage_plan> stages;
    duration deadline {};
    std::uint32_t priority = 0;
    bool resumable = false;
    duration linger {};

    bool hasNonIdempotentStage() const;
};

// Returns `InvalidArgument` for an empty or cyclic pipeline, an unknown or duplicate stage name, an unknown kind, a
// non-idempotent stage that is not a call, or a negative deadline or linger time.
result<pipeline_plan> compilePipeline(const pipeline_id& id, const schema::pipeline& source);

} // namespace balsamspring

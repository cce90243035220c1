#include "balsamspring/execution/pipeline_plan.h"

#include "balsamspring/schema/config.pb.h"

#include <algorithm>
#include <map>
#include <optional>

#include <fmt/core.h>

namespace balsamspring {

namespace {

constexpr duration defaultLinger = std::chrono::seconds(5);
constexpr duration defaultDeadline = std::chrono::seconds(6);
constexpr std::uint32_t defaultMaxTokens = 1024;

std::optional<stage_kind> stageKind(schema::stage::kind_type kind)
{
    switch (kind) {
    case schema::stage::encode:
        return stage_kind::Encode;
    case schema::stage::retrieve:
        return stage_kind::Retrieve;
    case schema::stage::rerank:
        return stage_kind::Rerank;
    case schema::stage::generate:
        return stage_kind::Generate;
    case schema::stage::call:
        return stage_kind::Call;
    default:
        return std::nullopt;
    }
}

std::string operationName(const schema::stage& source, stage_kind kind)
{
    switch (kind) {
    case stage_kind::Encode:
        return "encode";
    case stage_kind::Retrieve:
        return "retrieve";
    case stage_kind::Rerank:
        return "rerank";
    case stage_kind::Generate:
        return "generate";
    case stage_kind::Call:
        return source.operation();
    }
    return source.operation();
}

using stage_positions = std::map<std::string, int>;

result<stage_positions> indexStages(const schema::pipeline& source)
{
    stage_positions positions;
    for (int i = 0; i < source.stages_size(); ++i) {
        if (!positions.emplace(source.stages(i).name(), i).second)
            return makeError(
                error_code::InvalidArgument, fmt::format("stage \"{}\" appears twice", source.stages(i).name()));
    }
    return positions;
}

// Returns the source positions of the predecessors of stage `index`. A stage that names none follows the stage before
// it.
result<std::vector<int>> predecessors(const schema::pipeline& source, int index, const stage_positions& positions)
{
    const schema::stage& stage = source.stages(index);
    if (stage.after().empty())
        return index ? std::vector<int> { index - 1 } : std::vector<int> {};
    std::vector<int> list;
    for (const std::string& name : stage.after()) {
        const auto found = positions.find(name);
        if (found == positions.end())
            return makeError(error_code::InvalidArgument,
                fmt::format("stage \"{}\" comes after unknown stage \"{}\"", stage.name(), name));
        list.push_back(found->second);
    }
    return list;
}

// Returns the source positions in topological order. Independent stages keep their source order.
result<std::vector<int>> dependencyOrder(const std::vector<std::vector<int>>& predecessorLists)
{
    std::vector<int> order;
    std::vector<bool> placed(predecessorLists.size());
    while (order.size() < predecessorLists.size()) {
        const auto previousSize = order.size();
        for (std::size_t i = 0; i < predecessorLists.size(); ++i) {
            const auto isPlaced = [&](int position) {
                return placed[static_cast<std::size_t>(position)];
            };
            if (placed[i] || !std::all_of(predecessorLists[i].begin(), predecessorLists[i].end(), isPlaced))
                continue;
            placed[i] = true;
            order.push_back(static_cast<int>(i));
        }
        if (order.size() == previousSize)
            return makeError(error_code::InvalidArgument, "the stages wait for each other in a cycle");
    }
    return order;
}

result<stage_plan> compileStage(const schema::stage& source)
{
    const auto kind = stageKind(source.kind());
    if (!kind)
        return makeError(error_code::InvalidArgument, fmt::format("stage \"{}\" has an unknown kind", source.name()));
    if (source.non_idempotent() && *kind != stage_kind::Call)
        return makeError(error_code::InvalidArgument,
            fmt::format("stage \"{}\" is no call and cannot be non-idempotent", source.name()));
    stage_plan stage;
    stage.name = source.name();
    stage.kind = *kind;
    stage.pool = pool_id(source.pool());
    stage.model = model_id(source.model());
    stage.operation = operationName(source, *kind);
    stage.skippable = source.skippable();
    stage.nonIdempotent = source.non_idempotent();
    stage.maxTokens = source.max_tokens() ? source.max_tokens() : defaultMaxTokens;
    stage.timeout = std::chrono::milliseconds(source.timeout_ms());
    return stage;
}

} // namespace

bool pipeline_plan::hasNonIdempotentStage() const
{
    return std::any_of(stages.begin(), stages.end(), [](const stage_plan& stage) { return stage.nonIdempotent; });
}

result<pipeline_plan> compilePipeline(const pipeline_id& id, const schema::pipeline& source)
{
    if (source.stages().empty())
        return makeError(error_code::InvalidArgument, fmt::format("pipeline \"{}\" has no stages", id.value()));
    if (source.deadline_ms() < 0 || source.linger_ms() < 0)
        return makeError(error_code::InvalidArgument, fmt::format("pipeline \"{}\" has a negative time", id.value()));
    const auto positions = indexStages(source);
    if (!positions)
        return tl::make_unexpected(positions.error());
    std::vector<std::vector<int>> predecessorLists;
    for (int i = 0; i < source.stages_size(); ++i) {
        auto list = predecessors(source, i, *positions);
        if (!list)
            return tl::make_unexpected(list.error());
        predecessorLists.push_back(std::move(*list));
    }
    const auto order = dependencyOrder(predecessorLists);
    if (!order)
        return tl::make_unexpected(order.error());

    pipeline_plan plan;
    plan.id = id;
    plan.deadline = source.deadline_ms() ? std::chrono::milliseconds(source.deadline_ms()) : defaultDeadline;
    plan.priority = source.priority();
    plan.resumable = source.resumable();
    plan.linger = source.linger_ms() ? std::chrono::milliseconds(source.linger_ms()) : defaultLinger;
    std::vector<std::size_t> planPositions(predecessorLists.size());
    for (const int position : *order) {
        auto stage = compileStage(source.stages(position));
        if (!stage)
            return tl::make_unexpected(stage.error());
        const auto index = static_cast<std::size_t>(position);
        for (const int predecessor : predecessorLists[index])
            stage->after.push_back(planPositions[static_cast<std::size_t>(predecessor)]);
        planPositions[index] = plan.stages.size();
        plan.stages.push_back(std::move(*stage));
    }
    return plan;
}

} // namespace balsamspring

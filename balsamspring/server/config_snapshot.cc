#include "balsamspring/server/config_snapshot.h"

#include "balsamspring/base/hash.h"
#include "balsamspring/schema/config.pb.h"

#include <algorithm>

namespace balsamspring {

config_snapshot::config_snapshot() = default;
config_snapshot::~config_snapshot() = default;

result<std::shared_ptr<const config_snapshot>> config_snapshot::create(
    const schema::configuration& source, config_version version)
{
    std::shared_ptr<config_snapshot> snapshot(new config_snapshot);
    snapshot->m_version = version;
    snapshot->m_source = std::make_unique<schema::configuration>(source);
    for (const auto& [name, pipeline] : source.pipelines()) {
        auto plan = compilePipeline(pipeline_id(name), pipeline);
        if (!plan)
            return tl::make_unexpected(plan.error());
        snapshot->m_longestDeadline = std::max(snapshot->m_longestDeadline, plan->deadline);
        snapshot->m_pipelines[pipeline_id(name)] = std::make_shared<const pipeline_plan>(std::move(*plan));
    }
    return snapshot;
}

std::shared_ptr<const pipeline_plan> config_snapshot::pipeline(const pipeline_id& id) const
{
    const auto found = m_pipelines.find(id);
    return found == m_pipelines.end() ? nullptr : found->second;
}

std::optional<team_id> config_snapshot::authenticate(std::string_view token) const
{
    const std::string digest = sha256Hex(token);
    std::optional<team_id> owner;
    // All digests are compared, so that the time does not tell which one matched.
    for (const auto& [name, team] : m_source->teams()) {
        for (const std::string& known : team.token_sha256()) {
            if (equalConstantTime(digest, known))
                owner = team_id(name);
        }
    }
    return owner;
}

bool config_snapshot::mayUse(const team_id& team, const pipeline_id& pipeline) const
{
    const auto found = m_source->teams().find(team.value());
    if (found == m_source->teams().end())
        return false;
    const auto& allowed = found->second.pipelines();
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), pipeline.value()) != allowed.end();
}

std::uint32_t config_snapshot::priority(
    const team_id& team, const pipeline_plan& plan, std::optional<std::uint32_t> asked) const
{
    const auto found = m_source->teams().find(team.value());
    const std::uint32_t mostUrgent = found == m_source->teams().end() ? plan.priority : found->second.priority();
    return std::max(asked.value_or(plan.priority), mostUrgent);
}

} // namespace balsamspring

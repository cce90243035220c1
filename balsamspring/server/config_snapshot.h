// One accepted configuration in the form in which requests read it.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"
#include "balsamspring/execution/pipeline_plan.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace balsamspring {

namespace schema {
class configuration;
class team;
} // namespace schema

// Immutable and shared between threads. A request keeps the snapshot it began with.
class config_snapshot {
public:
    // Error `InvalidArgument` when a pipeline does not compile.
    static result<std::shared_ptr<const config_snapshot>> create(
        const schema::configuration& source, config_version version);
    ~config_snapshot();

    config_version version() const { return m_version; }
    const schema::configuration& source() const { return *m_source; }

    // The plan, or null for an unknown pipeline.
    std::shared_ptr<const pipeline_plan> pipeline(const pipeline_id& id) const;

    // The team that owns a bearer token. Takes the same time for every token.
    std::optional<team_id> authenticate(std::string_view token) const;

    bool mayUse(const team_id& team, const pipeline_id& pipeline) const;

    // The priority of a request: the pipeline's own, or what the caller asks for, within the team's limit.
    std::uint32_t priority(const team_id& team, const pipeline_plan& plan, std::optional<std::uint32_t> asked) const;

    duration longestDeadline() const { return m_longestDeadline; }

private:
    config_snapshot();

    config_version m_version;
    std::unique_ptr<schema::configuration> m_source;
    std::map<pipeline_id, std::shared_ptr<const pipeline_plan>> m_pipelines;
    duration m_longestDeadline {};
};

} // namespace balsamspring

// What the serving core expects of stages, and what it knows of pools and teams.
#include "balsamspring/schema/config.pb.h"
#include "balsamspring/server/serving_core.h"

#include <algorithm>
#include <span>

namespace balsamspring {

stage_budget serving_core::budget(const pipeline_plan& plan, std::size_t stage, duration remaining) const
{
    std::vector<stage_forecast> left = forecasts(plan, stage);
    const planned_stage planned = planStage(left, remaining);
    const duration own = plan.stages[stage].timeout;
    if (planned.decision != stage_decision::Start)
        return { duration::zero(), true };
    // All the time that later stages usually leave: with its share alone a 5 ms call before a 12 s answer got 13 ms.
    const duration later = combinedP90(std::span(left).subspan(1));
    const duration limit = std::min(remaining, std::max({ planned.budget, left.front().p99, remaining - later }));
    return { own > duration::zero() ? std::min(own, limit) : limit, false };
}

std::optional<chosen_server> serving_core::find(const pool_id& pool, const backend_id& server) const
{
    const auto addresses = m_addresses.find(pool);
    if (addresses == m_addresses.end())
        return std::nullopt;
    const auto found = addresses->second.find(server);
    if (found == addresses->second.end())
        return std::nullopt;
    return chosen_server { server, found->second };
}

std::size_t serving_core::waiting() const
{
    std::size_t count = m_suspects.size();
    for (const auto& [key, scheduler] : m_schedulers)
        count += scheduler.waiting();
    return count;
}

std::vector<pool_id> serving_core::pools() const
{
    std::vector<pool_id> list;
    for (const auto& [id, addresses] : m_addresses)
        list.push_back(id);
    return list;
}

pool_scheduler& serving_core::schedulerOf(const route_query& query)
{
    return m_schedulers.try_emplace({ query.pool, query.model }, m_options.scheduling).first->second;
}

length_class serving_core::classOf(const stage_ref& stage) const
{
    // The operator's class is that of the generated text; the other stages of a long pipeline may be short.
    const auto plan = m_config ? m_config->pipeline(stage.pipeline) : nullptr;
    const bool generates
        = plan && stage.stage < plan->stages.size() && plan->stages[stage.stage].kind == stage_kind::Generate;
    if (!generates)
        return m_estimator.classify(stage, "");
    return m_estimator.classify(stage, m_config->source().pipelines().at(stage.pipeline.value()).length_class());
}

std::vector<stage_forecast> serving_core::forecasts(const pipeline_plan& plan, std::size_t firstStage) const
{
    std::vector<stage_forecast> list;
    for (std::size_t stage = firstStage; stage < plan.stages.size(); ++stage) {
        const stage_ref ref { plan.id, static_cast<std::uint32_t>(stage) };
        stage_forecast forecast = m_estimator.forecast(ref, classOf(ref));
        forecast.skippable = plan.stages[stage].skippable;
        list.push_back(forecast);
    }
    return list;
}

duration serving_core::laterWaits(
    const pipeline_plan& plan, const team_id& team, std::uint32_t weight, mono_time now) const
{
    duration sum {};
    for (std::size_t stage = 1; stage < plan.stages.size(); ++stage) {
        const auto found = m_schedulers.find({ plan.stages[stage].pool, plan.stages[stage].model });
        if (found == m_schedulers.end() || plan.stages[stage].skippable)
            continue;
        const length_class lengthClass = classOf({ plan.id, static_cast<std::uint32_t>(stage) });
        const std::uint32_t level = fair_queue::levelOf(plan.priority, true);
        sum += found->second.predictedWait(team, weight, lengthClass, level, now);
    }
    return sum;
}

std::uint32_t serving_core::weightOf(const team_id& team) const
{
    if (!m_config)
        return 1;
    const auto found = m_config->source().teams().find(team.value());
    return found == m_config->source().teams().end() ? 1 : std::max(found->second.weight(), 1U);
}

} // namespace balsamspring

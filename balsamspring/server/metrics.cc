#include "balsamspring/server/metrics.h"

#include "balsamspring/server/refusal.h"

#include <array>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace balsamspring {

namespace {

using counter_family = prometheus::Family<prometheus::Counter>;

counter_family& counters(prometheus::Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Histogram& histogram(prometheus::Registry& registry, const std::string& name, const std::string& help)
{
    const prometheus::Histogram::BucketBoundaries seconds { 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 0.88, 1.5, 3, 6, 12 };
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, seconds);
}

// Error codes that a stage is retried for; anything else counts as "other".
std::string retryLabel(std::string_view reason)
{
    constexpr std::array<std::string_view, 6> known { "unavailable", "refused", "timeout", "not_found", "corrupt",
        "internal" };
    for (const std::string_view label : known) {
        if (label == reason)
            return std::string(label);
    }
    return "other";
}

} // namespace

struct metrics::state {
    prometheus::Registry registry;
    counter_family& refusals = counters(registry, "balsamspring_refusals_total", "Requests refused, by reason");
    counter_family& retries = counters(registry, "balsamspring_retries_total", "Stage attempts retried, by reason");
    counter_family& runs = counters(registry, "balsamspring_runs_total", "Requests ended, by result");
    counter_family& frames = counters(registry, "balsamspring_frames_dropped_total", "Backend frames dropped");
    counter_family& closed = counters(registry, "balsamspring_connections_closed_total", "Connections closed early");
    prometheus::Counter& tokens = counters(registry, "balsamspring_tokens_total", "Tokens sent to callers").Add({});
    prometheus::Counter& restarts = counters(registry, "balsamspring_restarts_total", "Restart events").Add({});
    prometheus::Counter& resumes = counters(registry, "balsamspring_resumes_total", "Callers that came back").Add({});
    prometheus::Counter& left = counters(registry, "balsamspring_callers_left_total", "Callers that left").Add({});
    prometheus::Counter& controlDropped
        = counters(registry, "balsamspring_control_events_dropped_total", "Events that found the queue full").Add({});
    counter_family& stageCalls = counters(registry, "balsamspring_stage_calls_total", "Attempts ended, by stage");
    counter_family& stageSeconds = counters(registry, "balsamspring_stage_service_seconds", "Service time, by stage");
    counter_family& stageTokens = counters(registry, "balsamspring_stage_tokens", "Tokens received, by stage");
    counter_family& wastedTokens = counters(registry, "balsamspring_stage_wasted_tokens", "Tokens for nobody");
    counter_family& wastedSeconds = counters(registry, "balsamspring_stage_wasted_seconds", "Service time for nobody");
    prometheus::Counter& hedges = counters(registry, "balsamspring_router_hedges_total", "Second attempts").Add({});
    prometheus::Counter& ejections
        = counters(registry, "balsamspring_router_ejections_total", "Servers taken out for slowness").Add({});
    prometheus::Counter& otherZone
        = counters(registry, "balsamspring_router_other_zone_total", "Calls to other availability zones").Add({});
    prometheus::Gauge& active = prometheus::BuildGauge()
                                    .Name("balsamspring_runs_active")
                                    .Help("Requests in flight")
                                    .Register(registry)
                                    .Add({});
    prometheus::Histogram& firstToken
        = histogram(registry, "balsamspring_first_token_seconds", "Time from the request to its first token");
    prometheus::Histogram& total = histogram(registry, "balsamspring_run_seconds", "Time from the request to its end");
};

metrics::metrics()
    : m_state(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::refused(std::string_view reason)
{
    m_state->refusals.Add({ { "reason", std::string(reasonLabel(reason)) } }).Increment();
}

void metrics::retried(std::string_view reason)
{
    m_state->retries.Add({ { "reason", retryLabel(reason) } }).Increment();
}

void metrics::runStarted() { m_state->active.Increment(); }

void metrics::runEnded(std::string_view reason, duration elapsed)
{
    m_state->active.Decrement();
    const std::string label = reason.empty() ? "answered" : std::string(reasonLabel(reason));
    m_state->runs.Add({ { "result", label } }).Increment();
    m_state->total.Observe(toSeconds(elapsed));
}

void metrics::firstToken(duration elapsed) { m_state->firstToken.Observe(toSeconds(elapsed)); }
void metrics::tokenRelayed() { m_state->tokens.Increment(); }
void metrics::restarted() { m_state->restarts.Increment(); }
void metrics::resumed() { m_state->resumes.Increment(); }
void metrics::onCallerDisconnected() { m_state->left.Increment(); }
void metrics::controlEventDropped() { m_state->controlDropped.Increment(); }

void metrics::framesDropped(const frame_counts& counts)
{
    const auto add = [this](const char* kind, std::uint64_t count) {
        if (count)
            m_state->frames.Add({ { "kind", kind } }).Increment(static_cast<double>(count));
    };
    add("other_attempt", counts.otherAttempt);
    add("duplicate", counts.duplicate);
    add("gap", counts.gap);
}

void metrics::connectionClosed(std::string_view reason)
{
    m_state->closed.Add({ { "reason", std::string(reason) } }).Increment();
}

void metrics::observeServing(const cost_accounts& costs, const router_stats& routing)
{
    const auto raise = [](prometheus::Counter& counter, double total) {
        counter.Increment(total - counter.Value());
    };
    for (const auto& [stage, cost] : costs.byStage()) {
        const prometheus::Labels labels { { "pipeline", stage.pipeline.value() },
            { "stage", std::to_string(stage.stage) } };
        raise(m_state->stageCalls.Add(labels), static_cast<double>(cost.calls));
        raise(m_state->stageSeconds.Add(labels), toSeconds(cost.service));
        raise(m_state->stageTokens.Add(labels), static_cast<double>(cost.tokens));
        raise(m_state->wastedTokens.Add(labels), static_cast<double>(cost.wastedTokens));
        raise(m_state->wastedSeconds.Add(labels), toSeconds(cost.wastedService));
    }
    raise(m_state->hedges, static_cast<double>(routing.hedges));
    raise(m_state->ejections, static_cast<double>(routing.ejections));
    raise(m_state->otherZone, static_cast<double>(routing.otherZone));
}

std::string metrics::text() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(m_state->registry.Collect());
}

} // namespace balsamspring

#include "balsamspring/gateway/gateway_metrics.h"

#include <map>

#include <fmt/core.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace balsamspring {

namespace {

using label_key = std::pair<std::string, std::string>;

const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.7, 1, 1.5, 2, 3, 6,
    15 };

} // namespace

struct gateway_metrics::state {
    prometheus::Registry registry;
    std::map<label_key, prometheus::Counter*, std::less<>> counters;
    std::map<label_key, prometheus::Histogram*, std::less<>> histograms;
    std::map<std::string, prometheus::Gauge*, std::less<>> gauges;
};

gateway_metrics::gateway_metrics()
    : m_state(std::make_unique<state>())
{
}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::count(std::string_view family, std::string_view reason)
{
    auto& counter = m_state->counters[{ std::string(family), std::string(reason) }];
    if (!counter)
        counter = &prometheus::BuildCounter()
                       .Name(fmt::format("balsamspring_gateway_{}_total", family))
                       .Register(m_state->registry)
                       .Add({ { "reason", std::string(reason) } });
    counter->Increment();
}

void gateway_metrics::observe(std::string_view family, std::string_view kind, duration value)
{
    auto& histogram = m_state->histograms[{ std::string(family), std::string(kind) }];
    if (!histogram)
        histogram = &prometheus::BuildHistogram()
                         .Name(fmt::format("balsamspring_gateway_{}_seconds", family))
                         .Register(m_state->registry)
                         .Add({ { "kind", std::string(kind) } }, secondsBuckets);
    histogram->Observe(toSeconds(value));
}

void gateway_metrics::set(std::string_view gauge, double value)
{
    auto& entry = m_state->gauges[std::string(gauge)];
    if (!entry)
        entry = &prometheus::BuildGauge()
                     .Name(fmt::format("balsamspring_gateway_{}", gauge))
                     .Register(m_state->registry)
                     .Add({});
    entry->Set(value);
}

std::string gateway_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_state->registry.Collect());
}

} // namespace balsamspring

// Counters, histograms and gauges of the gateway, based on prometheus-cpp. Label values come from small fixed sets.
#pragma once

#include "balsamspring/base/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace balsamspring {

class gateway_metrics {
public:
    gateway_metrics();
    ~gateway_metrics();

    // Adds one to balsamspring_gateway_<family>_total{reason=...}.
    void count(std::string_view family, std::string_view reason);
    // Adds a value to balsamspring_gateway_<family>_seconds{kind=...}.
    void observe(std::string_view family, std::string_view kind, duration value);
    // Sets balsamspring_gateway_<gauge>.
    void set(std::string_view gauge, double value);
    // All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

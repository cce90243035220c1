// Estimates the load of one server from this VM's calls and the server's load reports.
#pragma once

#include "balsamspring/backend/backend_client.h"
#include "balsamspring/base/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace balsamspring {

// Adds the calls of other VMs, as last reported by the server, to the calls in flight from this VM. The reported part
// decays exponentially with the age of the report. Not thread safe.
class load_estimate {
public:
    // `timeConstant` applies to the decay of the reported part and to the moving average.
    explicit load_estimate(duration timeConstant)
        : m_timeConstant(timeConstant)
    {
    }

    void started(mono_time now)
    {
        advance(now);
        ++m_inFlight;
    }

    void finished(mono_time now)
    {
        advance(now);
        --m_inFlight;
    }

    void report(const server_load& load, mono_time now)
    {
        advance(now);
        const double total = static_cast<double>(load.running) + load.queued;
        m_otherVmCalls = std::max(0.0, total - m_inFlight);
        m_queued = load.queued;
        m_reportedAt = now;
    }

    std::uint32_t inFlight() const { return m_inFlight; }

    // Estimated number of calls on the server, including those of other VMs.
    double value(mono_time now) const { return m_inFlight + m_otherVmCalls * decay(now - m_reportedAt); }
    // Estimated number of calls that wait in the server's queue.
    double queued(mono_time now) const { return m_queued * decay(now - m_reportedAt); }

    // Exponentially weighted moving average of value().
    double mean(mono_time now) const
    {
        const double decayFactor = decay(now - m_meanAt);
        return m_mean * decayFactor + value(now) * (1 - decayFactor);
    }

private:
    double decay(duration age) const { return std::exp(-toSeconds(age) / toSeconds(m_timeConstant)); }

    void advance(mono_time now)
    {
        m_mean = mean(now);
        m_meanAt = now;
    }

    duration m_timeConstant;
    std::uint32_t m_inFlight = 0;
    double m_otherVmCalls = 0;
    double m_queued = 0;
    double m_mean = 0;
    mono_time m_reportedAt {};
    mono_time m_meanAt {};
};

} // namespace balsamspring

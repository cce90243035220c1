#include "balsamspring/routing/latency_window.h"

#include <algorithm>

namespace balsamspring {

namespace {

constexpr std::size_t sortsPerWindow = 16; // sorted each time 1/16 of the window has changed

} // namespace

latency_window::latency_window(std::size_t capacity)
    : m_capacity(capacity)
{
    m_samples.reserve(capacity);
}

void latency_window::add(duration sample)
{
    if (m_samples.size() < m_capacity) {
        m_samples.push_back(sample);
    } else {
        m_samples[m_next] = sample;
        m_next = (m_next + 1) % m_capacity;
    }
    if (++m_unsorted * sortsPerWindow < m_samples.size())
        return;
    m_unsorted = 0;
    m_sorted = m_samples;
    std::sort(m_sorted.begin(), m_sorted.end());
}

duration latency_window::quantile(double fraction) const
{
    if (m_sorted.empty())
        return duration::zero();
    return m_sorted[static_cast<std::size_t>(fraction * static_cast<double>(m_sorted.size() - 1))];
}

} // namespace balsamspring

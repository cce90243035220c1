#include "balsamspring/routing/concurrency_limit.h"

#include <algorithm>

namespace balsamspring {

namespace {

constexpr duration overloadDecreaseInterval = std::chrono::milliseconds(100);

} // namespace

concurrency_limit::concurrency_limit(const concurrency_options& options)
    : m_options(options)
    , m_limit(options.initial)
{
}

void concurrency_limit::started(length_class length)
{
    ++m_inFlight;
    ++m_byClass[static_cast<std::size_t>(length)];
}

void concurrency_limit::finished(length_class length)
{
    --m_inFlight;
    --m_byClass[static_cast<std::size_t>(length)];
}

void concurrency_limit::replied(length_class length, duration latency, mono_time now)
{
    auto& average = m_averages[static_cast<std::size_t>(length)];
    const double ratio = updateAverage(average, toSeconds(latency));
    if (ratio > m_options.tolerance) {
        // At most one decrease per average latency, because its effect is visible only after that time.
        decrease(fromSeconds(average.current), now);
        return;
    }
    // Increases the limit only while at least half of it is used: the latency at a low load does not show that the
    // server could handle more calls.
    if (2.0 * m_inFlight >= m_limit)
        m_limit = std::min(m_options.maximum, m_limit + 1 / m_limit);
}

void concurrency_limit::overloaded(mono_time now) { decrease(overloadDecreaseInterval, now); }

bool concurrency_limit::allows(length_class length) const
{
    if (m_inFlight + 1 > m_limit)
        return false;
    if (length == length_class::Short)
        return true;
    const auto longCalls = m_byClass[static_cast<std::size_t>(length_class::Long)];
    const auto otherCalls = longCalls + m_byClass[static_cast<std::size_t>(length_class::Medium)];
    if (otherCalls + 1 > m_limit * (1 - m_options.shortReserve))
        return false;
    return length == length_class::Medium || longCalls + 1 <= m_limit * m_options.longLimit;
}

double concurrency_limit::updateAverage(latency_average& average, double seconds) const
{
    if (average.current == 0)
        average = { seconds, seconds };
    average.current += m_options.smoothing * (seconds - average.current);
    average.lowest = std::min(average.current, average.lowest * (1 + m_options.baselineDrift));
    return average.lowest > 0 ? average.current / average.lowest : 1;
}

void concurrency_limit::decrease(duration interval, mono_time now)
{
    if (now < m_nextDecrease)
        return;
    m_limit = std::max(m_options.minimum, m_limit * m_options.decrease);
    m_nextDecrease = now + interval;
}

} // namespace balsamspring

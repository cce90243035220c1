#include "balsamspring/admission/stage_estimator.h"

namespace balsamspring {

stage_estimator::stage_estimator(stage_estimator_options options)
    : m_options(options)
{
}

void stage_estimator::record(const stage_ref& ref, length_class lengthClass, duration serviceTime, mono_time now)
{
    stage_statistics& statistics = m_stages.try_emplace(ref, m_options.halfLife).first->second;
    statistics.all.add(serviceTime, now);
    statistics.byClass[indexOf(lengthClass)].add(serviceTime, now);
}

duration stage_estimator::quantile(const stage_ref& ref, length_class lengthClass, double q) const
{
    const auto found = m_stages.find(ref);
    if (found == m_stages.end())
        return m_options.prior;
    const decaying_histogram& byClass = found->second.byClass[indexOf(lengthClass)];
    if (byClass.weight() >= m_options.minimumWeight)
        return byClass.quantile(q);
    if (found->second.all.weight() >= m_options.minimumWeight)
        return found->second.all.quantile(q);
    return m_options.prior;
}

stage_forecast stage_estimator::forecast(const stage_ref& ref, length_class lengthClass) const
{
    return { .median = quantile(ref, lengthClass, 0.5),
        .p90 = quantile(ref, lengthClass, 0.9),
        .p99 = quantile(ref, lengthClass, 0.99) };
}

length_class stage_estimator::classify(const stage_ref& ref, std::string_view hint) const
{
    for (const length_class value : allLengthClasses) {
        if (hint == toString(value))
            return value;
    }
    const auto found = m_stages.find(ref);
    if (found == m_stages.end() || found->second.all.weight() < m_options.minimumWeight)
        return length_class::Medium;
    const duration median = found->second.all.quantile(0.5);
    if (median <= m_options.shortLimit)
        return length_class::Short;
    return median >= m_options.longLimit ? length_class::Long : length_class::Medium;
}

std::optional<duration> stage_estimator::stragglerLimit(const stage_ref& ref, length_class lengthClass) const
{
    const auto found = m_stages.find(ref);
    if (found == m_stages.end())
        return std::nullopt;
    const decaying_histogram& byClass = found->second.byClass[indexOf(lengthClass)];
    if (byClass.weight() < m_options.minimumWeight)
        return std::nullopt;
    const duration p99 = byClass.quantile(0.99);
    return duration(static_cast<duration::rep>(static_cast<double>(p99.count()) * m_options.stragglerFactor));
}

} // namespace balsamspring

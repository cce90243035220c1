#include "balsamspring/admission/decaying_histogram.h"

#include <algorithm>
#include <cmath>

namespace balsamspring {

namespace {

constexpr double firstEdgeUs = 100;
constexpr double bucketsPerDoubling = 4;

std::size_t bucketIndex(duration value, std::size_t bucketCount)
{
    const auto us = static_cast<double>(value.count());
    if (us <= firstEdgeUs)
        return 0;
    const auto index = static_cast<std::size_t>(std::ceil(std::log2(us / firstEdgeUs) * bucketsPerDoubling));
    return std::min(index, bucketCount - 1);
}

duration upperEdge(std::size_t bucket)
{
    return duration(std::llround(firstEdgeUs * std::exp2(static_cast<double>(bucket) / bucketsPerDoubling)));
}

} // namespace

decaying_histogram::decaying_histogram(duration halfLife)
    : m_halfLife(halfLife)
{
}

void decaying_histogram::add(duration value, mono_time now)
{
    decay(now);
    m_buckets[bucketIndex(value, bucketCount)] += 1;
    m_total += 1;
}

duration decaying_histogram::quantile(double q) const
{
    const double targetWeight = m_total * q;
    double sum = 0;
    std::size_t last = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (m_buckets[bucket] <= 0)
            continue;
        sum += m_buckets[bucket];
        last = bucket;
        if (sum >= targetWeight)
            return upperEdge(bucket);
    }
    return m_total > 0 ? upperEdge(last) : duration {};
}

void decaying_histogram::decay(mono_time now)
{
    // Decays in steps of one sixteenth of the half-life, because scaling all buckets for each sample is too costly.
    const duration elapsed = now - m_decayedAt;
    if (elapsed < m_halfLife / 16)
        return;
    m_decayedAt = now;
    const double factor = std::exp2(-static_cast<double>(elapsed.count()) / static_cast<double>(m_halfLife.count()));
    m_total = 0;
    for (float& bucket : m_buckets) {
        bucket = static_cast<float>(bucket * factor);
        m_total += bucket;
    }
}

} // namespace balsamspring

// Estimates quantiles of recent durations in constant memory.
#pragma once

#include "balsamspring/base/time.h"

#include <array>
#include <cstddef>

namespace balsamspring {

// A histogram with logarithmic buckets (19% wide) from 100 microseconds to about one hour. The weight of a sample
// halves every half-life. Not thread safe.
class decaying_histogram {
public:
    explicit decaying_histogram(duration halfLife);

    void add(duration value, mono_time now);

    // Returns the upper edge of the bucket that holds quantile `q` in [0, 1], or zero when there are no samples.
    duration quantile(double q) const;

    // Returns the sum of the weights of all samples as of the last `add`.
    double weight() const { return m_total; }

private:
    static constexpr std::size_t bucketCount = 101;

    void decay(mono_time now);

    duration m_halfLife;
    mono_time m_decayedAt;
    double m_total = 0;
    std::array<float, bucketCount> m_buckets {};
};

} // namespace balsamspring

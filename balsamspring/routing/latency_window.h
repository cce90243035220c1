// Quantiles over a sliding window of latency samples.
#pragma once

#include "balsamspring/base/time.h"

#include <cstddef>
#include <vector>

namespace balsamspring {

// Holds the last `capacity` samples. Not thread safe.
class latency_window {
public:
    explicit latency_window(std::size_t capacity);

    void add(duration sample);
    std::size_t size() const { return m_samples.size(); }

    // Returns the sample at `fraction` (0 to 1) of the sorted window, or 0 when the window is empty. The newest samples
    // may not be included, because the window is sorted only after 1/16 of it has changed.
    duration quantile(double fraction) const;

private:
    std::size_t m_capacity;
    std::size_t m_next = 0;
    std::size_t m_unsorted = 0; // samples added since the window was last sorted
    std::vector<duration> m_samples;
    std::vector<duration> m_sorted;
};

} // namespace balsamspring

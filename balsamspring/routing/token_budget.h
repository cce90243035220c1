// Limits extra calls (retries, hedges) to a fraction of the regular calls.
#pragma once

#include <algorithm>

namespace balsamspring {

// Token bucket that is refilled by events instead of elapsed time. Not thread safe.
class token_budget {
public:
    // Each call of earn() adds `share` tokens, up to `capacity`.
    token_budget(double share, double capacity, double initial)
        : m_share(share)
        , m_capacity(capacity)
        , m_tokens(initial)
    {
    }

    void earn() { m_tokens = std::min(m_capacity, m_tokens + m_share); }
    // The tolerance covers rounding: ten times a share such as 0.1 adds up to slightly less than 1.
    bool available() const { return m_tokens >= 1 - 1e-6; }
    // Whether at least one more token fits, so that unspent tokens are not lost to the capacity.
    bool belowCapacity() const { return m_tokens < m_capacity - 1; }
    void spend() { m_tokens -= 1; }

private:
    double m_share;
    double m_capacity;
    double m_tokens;
};

} // namespace balsamspring

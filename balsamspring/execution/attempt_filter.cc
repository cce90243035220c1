#include "balsamspring/execution/attempt_filter.h"

namespace balsamspring {

bool attempt_filter::matchesAttempt(attempt_id attempt)
{
    if (attempt == m_attempt)
        return true;
    ++m_dropped.otherAttempt;
    return false;
}

frame_verdict attempt_filter::token(attempt_id attempt, std::uint64_t sequence)
{
    if (!matchesAttempt(attempt))
        return frame_verdict::OtherAttempt;
    if (sequence < m_next) {
        ++m_dropped.duplicate;
        return frame_verdict::Duplicate;
    }
    if (sequence > m_next) {
        ++m_dropped.gap;
        return frame_verdict::Gap;
    }
    ++m_next;
    return frame_verdict::Accepted;
}

frame_verdict attempt_filter::end(attempt_id attempt, std::uint64_t tokenCount)
{
    if (!matchesAttempt(attempt))
        return frame_verdict::OtherAttempt;
    if (tokenCount == m_next)
        return frame_verdict::Accepted;
    ++m_dropped.gap;
    return frame_verdict::Gap;
}

} // namespace balsamspring

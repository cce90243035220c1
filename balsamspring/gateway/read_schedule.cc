#include "balsamspring/gateway/read_schedule.h"

#include <algorithm>

namespace balsamspring {

read_schedule::read_schedule(read_schedule_options options)
    : m_options(options)
{
}

void read_schedule::proven(mono_time provenAt) { m_provenAt = m_provenAt ? std::max(*m_provenAt, provenAt) : provenAt; }

std::optional<mono_time> read_schedule::lastRelayRead() const
{
    if (!m_provenAt || !m_options.proofLimit)
        return std::nullopt;
    return *m_provenAt + *m_options.proofLimit - m_options.relayMargin;
}

std::optional<duration> read_schedule::relayWait(mono_time now) const
{
    const auto last = lastRelayRead();
    if (!last)
        return m_options.maxRelayWait;
    if (now > *last)
        return std::nullopt;
    return std::min(m_options.maxRelayWait, *last - now);
}

duration read_schedule::pauseBeforeRelay(duration usual, mono_time now) const
{
    const auto last = lastRelayRead();
    return last ? std::clamp(*last - m_options.timerSlack - now, duration::zero(), usual) : usual;
}

} // namespace balsamspring

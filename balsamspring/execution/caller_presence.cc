#include "balsamspring/execution/caller_presence.h"

namespace balsamspring {

caller_presence::caller_presence(const presence_options& options)
    : m_options(options)
{
}

void caller_presence::setBufferedBytes(std::size_t bytes, mono_time now)
{
    if (m_state == state_type::Reading && bytes >= m_options.bufferLimit) {
        m_state = state_type::Blocked;
        m_stateDeadline = now + m_options.stallTimeout;
    } else if (m_state == state_type::Blocked) {
        // The low-water mark is half of the limit, so that a single read by the caller does not toggle the flow control
        // of the engine.
        if (bytes <= m_options.bufferLimit / 2)
            m_state = state_type::Reading;
        else if (bytes < m_bufferedBytes)
            m_stateDeadline = now + m_options.stallTimeout;
    }
    m_bufferedBytes = bytes;
}

void caller_presence::onDisconnect(mono_time now)
{
    if (m_state == state_type::Lingering || m_state == state_type::Abandoned)
        return;
    m_state = m_options.resumable ? state_type::Lingering : state_type::Abandoned;
    m_stateDeadline = now + m_options.linger;
}

void caller_presence::onReconnect()
{
    if (m_state == state_type::Abandoned)
        return;
    m_state = state_type::Reading;
    m_bufferedBytes = 0;
}

void caller_presence::tick(mono_time now)
{
    if (m_state == state_type::Blocked && now >= m_stateDeadline)
        onDisconnect(now);
    else if (m_state == state_type::Lingering && now >= m_stateDeadline)
        m_state = state_type::Abandoned;
}

std::optional<mono_time> caller_presence::nextTick() const
{
    if (m_state == state_type::Blocked || m_state == state_type::Lingering)
        return m_stateDeadline;
    return std::nullopt;
}

} // namespace balsamspring

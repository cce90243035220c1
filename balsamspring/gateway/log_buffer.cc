#include "balsamspring/gateway/log_buffer.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace balsamspring {

log_buffer::log_buffer(log_buffer_options options, write_hook write)
    : m_options(options)
    , m_write(std::move(write))
    , m_tokens(options.burst)
{
}

void log_buffer::add(log_level level, const std::string& line, mono_time now)
{
    if (!admits(level, line.size(), now)) {
        m_dropped += 1;
        return;
    }
    m_pending += line;
}

bool log_buffer::admits(log_level level, std::size_t bytes, mono_time now)
{
    const std::size_t sizeAfter = m_pending.size() + bytes;
    if (level >= log_level::Warn)
        return sizeAfter <= m_options.capacity;
    m_tokens = std::min(m_options.burst, m_tokens + toSeconds(now - m_refilledAt) * m_options.infoLinesPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1 || static_cast<double>(sizeAfter) > m_options.infoShare * static_cast<double>(m_options.capacity))
        return false;
    m_tokens -= 1;
    return true;
}

void log_buffer::flush()
{
    if (!m_pending.empty())
        m_pending.erase(0, m_write(m_pending));
}

std::uint64_t log_buffer::takeDropped()
{
    const std::uint64_t dropped = m_dropped;
    m_dropped = 0;
    return dropped;
}

std::size_t writeWithoutBlocking(int descriptor, std::string_view bytes)
{
    // A pipe that is reported as writable accepts at least this many bytes.
    constexpr std::size_t atomicBytes = 4096;
    std::size_t written = 0;
    while (written < bytes.size()) {
        pollfd waiting { descriptor, POLLOUT, 0 };
        if (poll(&waiting, 1, 0) <= 0 || !(waiting.revents & POLLOUT))
            break;
        const ssize_t count
            = ::write(descriptor, bytes.data() + written, std::min(atomicBytes, bytes.size() - written));
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    return written;
}

} // namespace balsamspring

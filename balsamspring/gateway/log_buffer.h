// A bounded buffer for log lines that writes without blocking. When it fills up, lines of lower levels are dropped
// first. Dropped lines are counted, so that they can be reported.
#pragma once

#include "balsamspring/base/log.h"
#include "balsamspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace balsamspring {

struct log_buffer_options {
    std::size_t capacity = 512 * 1024; // Maximum number of bytes that wait to be written.
    double infoShare = 0.5; // Fraction of the capacity above which lines below Warn are dropped.
    double infoLinesPerSecond = 300;
    double burst = 600; // Maximum number of lines below Warn at once.
};

class log_buffer {
public:
    // Writes bytes without blocking and returns how many it could write.
    using write_hook = std::function<std::size_t(std::string_view)>;

    log_buffer(log_buffer_options options, write_hook write);

    void add(log_level level, const std::string& line, mono_time now);
    void flush();
    bool empty() const { return m_pending.empty(); }
    // Returns the number of lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    bool admits(log_level level, std::size_t bytes, mono_time now);

    log_buffer_options m_options;
    write_hook m_write;
    std::string m_pending;
    double m_tokens;
    mono_time m_refilledAt {};
    std::uint64_t m_dropped = 0;
};

// Writes as many bytes as the descriptor accepts without blocking, and returns their number.
std::size_t writeWithoutBlocking(int descriptor, std::string_view bytes);

} // namespace balsamspring

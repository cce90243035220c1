// Keeps log lines in memory and writes them without blocking. Bounded: under pressure lines of lower levels are dropped
// first, counted and reported.
#pragma once

#include "balsamspring/base/log.h"
#include "balsamspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace balsamspring {

struct log_buffer_options {
    std::size_t capacity = 512 * 1024; // bytes that wait for the reader of the log
    double infoShare = 0.5; // of the capacity, above which lines below Warn are dropped
    double infoLinesPerSecond = 300;
    double burst = 600; // lines below Warn at once
};

class log_buffer {
public:
    // Takes bytes and returns how many it could write without blocking.
    using write_hook = std::function<std::size_t(std::string_view)>;

    log_buffer(log_buffer_options options, write_hook write);

    void add(log_level level, const std::string& line, mono_time now);
    void flush();
    bool empty() const { return m_pending.empty(); }
    // Lines that were dropped since the last call.
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

// Writes to a descriptor that must not block: as much as fits now.
std::size_t writeWithoutBlocking(int descriptor, std::string_view bytes);

} // namespace balsamspring

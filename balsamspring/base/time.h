// Time on this process's monotonic clock. Decisions take `mono_time` as an argument and never read a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace balsamspring {

// Microseconds; also the unit of every timeout and interval in this library.
using duration = std::chrono::microseconds;

// Tag of the monotonic clock of one process. Its points cannot be compared with those of another clock.
struct mono_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<mono_clock, duration>;
    // NOLINTNEXTLINE(readability-identifier-naming): the standard's Clock requirements give the name.
    static constexpr bool is_steady = true;
};

using mono_time = mono_clock::time_point;

// Reads the monotonic clock. Only daemons, adapters and wall-clock benchmarks call this.
inline mono_time monotonicNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return mono_time(std::chrono::duration_cast<duration>(sinceEpoch));
}

inline double toSeconds(duration value) { return std::chrono::duration<double>(value).count(); }

inline duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace balsamspring

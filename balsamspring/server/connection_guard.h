// Decides which connections of callers are closed because they send too slowly, too much or nothing.
#pragma once

#include "balsamspring/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamspring {

struct guard_options {
    duration requestLimit = std::chrono::seconds(10); // from the first byte of a request to the first of its answer
    duration idleLimit = std::chrono::seconds(60); // without any byte between two requests
    std::uint64_t requestBytes = std::uint64_t { 2 } * 1024 * 1024; // received without an answer
    std::size_t connections = 12'000; // open at a time
};

// What the kernel says about one connection.
struct connection_sample {
    std::uint64_t id = 0; // never used again for another connection
    std::uint64_t received = 0; // bytes since it was opened
    std::uint64_t sent = 0;
};

struct guard_verdict {
    std::uint64_t id = 0;
    std::string reason; // "too_slow", "too_large", "idle" or "too_many"
};

// Needed because the HTTP library has no limits of its own on headers and on the time to send them. Does no I/O.
class connection_guard {
public:
    explicit connection_guard(const guard_options& options);

    // The time in which a request must be answered grows with the longest deadline of the pipelines.
    void setLongestDeadline(duration deadline) { m_longestDeadline = deadline; }

    // Takes all open connections at once; those that are missing are forgotten.
    std::vector<guard_verdict> check(const std::vector<connection_sample>& open, mono_time now);

private:
    struct connection_state {
        std::uint64_t sent = 0;
        std::uint64_t receivedAtAnswer = 0; // bytes received when we last sent something
        mono_time quietSince; // since when nothing was sent
        mono_time requestSince; // valid when bytes came after that
        bool inRequest = false;
        bool seen = false;
    };

    std::string judge(const connection_sample& sample, connection_state& state, mono_time now) const;

    guard_options m_options;
    duration m_longestDeadline {};
    std::map<std::uint64_t, connection_state> m_connections;
};

} // namespace balsamspring

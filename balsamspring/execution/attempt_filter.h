// Filters the frames of a token stream by attempt and sequence number.
#pragma once

#include "balsamspring/base/ids.h"

#include <cstdint>

namespace balsamspring {

enum class frame_verdict : std::uint8_t {
    Accepted,
    // The frame carries the id of an attempt that is not the current one. It is dropped.
    OtherAttempt,
    // The token was received before. The frame is dropped.
    Duplicate,
    // A preceding token is missing. The stream has to be resumed after the last token received.
    Gap,
};

// Numbers of rejected frames, by verdict.
struct frame_counts {
    std::uint64_t otherAttempt = 0;
    std::uint64_t duplicate = 0;
    std::uint64_t gap = 0;
};

// Accepts each sequence number of one run exactly once and in order, from the current attempt only.
class attempt_filter {
public:
    // Resets the position, so that the first token of a new run is expected next.
    void beginRun() { m_next = 0; }

    void setAttempt(attempt_id attempt) { m_attempt = attempt; }
    attempt_id attempt() const { return m_attempt; }

    // Sequence number of the next expected token.
    std::uint64_t next() const { return m_next; }

    // Checks a token and advances the position when it is accepted.
    frame_verdict token(attempt_id attempt, std::uint64_t sequence);

    // Checks the end of a stream of `tokenCount` tokens. Accepted when all of them have been received.
    frame_verdict end(attempt_id attempt, std::uint64_t tokenCount);

    // Whether `attempt` is the current attempt. Counts a mismatch as dropped.
    bool matchesAttempt(attempt_id attempt);

    const frame_counts& dropped() const { return m_dropped; }

private:
    attempt_id m_attempt;
    std::uint64_t m_next = 0;
    frame_counts m_dropped;
};

} // namespace balsamspring

// Tracks whether the caller of a run is reading, has stopped reading or has disconnected. The run uses it to pause
// token streams and to end runs without a caller.
#pragma once

#include "balsamspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace balsamspring {

struct presence_options {
    // Number of unsent bytes at which reading from the engine pauses.
    std::size_t bufferLimit = 0;
    // A blocked caller that reads nothing for this time is treated as disconnected.
    duration stallTimeout {};
    bool resumable = false;
    // Time for which a resumable run waits for the caller to reconnect.
    duration linger {};
};

class caller_presence {
public:
    enum class state_type : std::uint8_t { Reading, Blocked, Lingering, Abandoned };

    explicit caller_presence(const presence_options& options);

    // Sets the number of bytes that are buffered for the caller and not yet sent.
    void setBufferedBytes(std::size_t bytes, mono_time now);
    void onDisconnect(mono_time now);
    void onReconnect();
    void tick(mono_time now);

    state_type state() const { return m_state; }
    bool isReading() const { return m_state == state_type::Reading; }
    bool isAbandoned() const { return m_state == state_type::Abandoned; }

    // Earliest time at which tick() may change the state, if any.
    std::optional<mono_time> nextTick() const;

private:
    presence_options m_options;
    state_type m_state = state_type::Reading;
    std::size_t m_bufferedBytes = 0;
    // End of the stall timeout (Blocked) or of the linger time (Lingering).
    mono_time m_stateDeadline;
};

} // namespace balsamspring

// Decides how long the VM that relays a topic may take to answer, so that the records that this VM knows never get
// older than a limit, although a relay may stop answering at any moment.
//
// Load pattern: the relaying VM is suspended, or cut off from the store alone, while servers leave and configurations
// change. A read that it does not answer is repeated at the store.
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/base/time.h"

#include <optional>

namespace balsamspring {

struct read_schedule_options {
    // Age of the newest proof at which the store itself is read. None: the records may be of any age.
    std::optional<duration> proofLimit;
    // Maximum time for which the relay may hold a read until a record arrives.
    duration maxRelayWait = std::chrono::milliseconds(1000);
    // Time beyond the wait after which the relay is considered unreachable.
    duration relayMargin = std::chrono::milliseconds(250);
    // Allowance for timers that fire late.
    duration timerSlack = std::chrono::milliseconds(100);
};

class read_schedule {
public:
    explicit read_schedule(read_schedule_options options);

    // The store had no newer records at `provenAt` than those that are known.
    void proven(mono_time provenAt);
    // How long the relay may hold a read that starts now. None if its answer could come too late, so that the store has
    // to be read.
    std::optional<duration> relayWait(mono_time now) const;
    // Time until the next read, at most `usual`. It leaves the relay the time for one answer.
    duration pauseBeforeRelay(duration usual, mono_time now) const;

private:
    // Time at which the relay must have been asked. None before the first proof, or without a limit.
    std::optional<mono_time> lastRelayRead() const;

    read_schedule_options m_options;
    std::optional<mono_time> m_provenAt;
};

} // namespace balsamspring

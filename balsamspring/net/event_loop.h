// One thread that runs timers, posted callbacks and socket events.
#pragma once

#include "balsamspring/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace balsamspring {

// Reads CLOCK_BOOTTIME, which goes on while the VM is suspended. Everything that permits something for a limited time
// is aged by this clock.
mono_time bootNow();

// Not thread safe: all calls come from the thread that calls run(), or before run().
class event_loop {
public:
    using timer_id = std::uint64_t;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void run();
    void stop();

    // Runs the callback once, not before the delay is over. The id is never 0.
    timer_id after(duration delay, std::function<void()> callback);
    // Ignores ids of timers that have fired, and 0.
    void cancel(timer_id id);
    // Runs the callback after the present one.
    void post(std::function<void()> callback);
    void onSignal(int signal, std::function<void()> callback);

    struct state;
    state& internals() { return *m_state; }

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

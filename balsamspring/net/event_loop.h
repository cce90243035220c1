// Single-threaded event loop for timers, posted callbacks, signals and socket events.
#pragma once

#include "balsamspring/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace balsamspring {

// Reads CLOCK_BOOTTIME, which advances while the VM is suspended. Every permission that is limited in time is aged by
// this clock, so that it also ages during a suspension.
mono_time bootNow();

// Not thread safe: all calls come from the thread that calls run(), or before run().
class event_loop {
public:
    using timer_id = std::uint64_t;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Blocks until stop() is called or no work is left. May be called again after stop(). A callback that throws a
    // std::exception is logged and counted; the others go on.
    void run();
    // Number of callbacks that have thrown.
    std::uint64_t callbackFailures() const;
    void stop();

    // Runs the callback once after at least `delay`. The returned id is never 0.
    timer_id after(duration delay, std::function<void()> callback);
    // Ignores ids of timers that have fired, and 0.
    void cancel(timer_id id);
    // Runs the callback after the current one has returned.
    void post(std::function<void()> callback);
    // Runs the callback each time that the process receives the signal.
    void onSignal(int signal, std::function<void()> callback);

    struct state;
    state& internals() { return *m_state; }

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

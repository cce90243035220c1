// One thread that runs callbacks at their time, for adapters that need timeouts.
#pragma once

#include "balsamspring/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <thread>

namespace balsamspring {

// Thread safe. Callbacks run on the timer's own thread, so they must be short. Callbacks that are still waiting when
// the timer is destroyed never run.
class timer_thread {
public:
    using timer_id = std::uint64_t;

    timer_thread();
    ~timer_thread();
    timer_thread(const timer_thread&) = delete;
    timer_thread& operator=(const timer_thread&) = delete;

    timer_id after(duration delay, std::function<void()> callback);

    // A callback that has already started is not waited for.
    void cancel(timer_id id);

private:
    struct state;

    // Shared with the thread, because a callback may release the last owner of the timer.
    std::shared_ptr<state> m_state;
    std::thread m_thread;
};

} // namespace balsamspring

// The one thread that owns control state.
#pragma once

#include "balsamspring/base/time.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace balsamspring {

// Runs posted events in order and periodic tasks between them. Thread safe.
class control_thread {
public:
    // Holds at most `queueLimit` events. `dropped` runs on the posting thread for each event above that.
    control_thread(std::size_t queueLimit, std::function<void()> dropped);
    ~control_thread();

    // False when the queue is full or the thread is stopping; the event does not run then.
    bool post(std::function<void(mono_time now)> event);

    // For answers to calls that this thread made: the queue limit does not apply, because their number is bounded by
    // the calls. Dropped once the thread is stopping.
    void postAnswer(std::function<void(mono_time now)> event);

    // Runs after each event and at the time that it returned last. Call before start().
    void onWake(std::function<mono_time(mono_time now)> task) { m_wakeTask = std::move(task); }

    // Call before start().
    void every(duration interval, std::function<void(mono_time now)> task);

    void start();
    // Runs the events that are queued, then ends the thread.
    void stop();

private:
    struct periodic_task {
        duration interval {};
        mono_time next;
        std::function<void(mono_time)> run;
    };

    void loop();
    mono_time nextPeriodic() const;
    void runPeriodic(mono_time now);

    const std::size_t m_queueLimit;
    std::function<void()> m_dropped;
    std::vector<periodic_task> m_periodic;
    std::function<mono_time(mono_time)> m_wakeTask;
    mono_time m_nextWake;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void(mono_time)>> m_events;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace balsamspring

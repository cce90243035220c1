#include "balsamspring/server/control_thread.h"

#include <algorithm>

namespace balsamspring {

namespace {

constexpr duration longestSleep = std::chrono::seconds(1);
// A task that is always due must not take the whole core.
constexpr duration shortestSleep = std::chrono::milliseconds(1);

} // namespace

control_thread::control_thread(std::size_t queueLimit, std::function<void()> dropped)
    : m_queueLimit(queueLimit)
    , m_dropped(std::move(dropped))
{
}

control_thread::~control_thread() { stop(); }

bool control_thread::post(std::function<void(mono_time)> event)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_stopping && m_events.size() < m_queueLimit) {
            m_events.push_back(std::move(event));
            m_wake.notify_one();
            return true;
        }
    }
    m_dropped();
    return false;
}

void control_thread::postAnswer(std::function<void(mono_time)> event)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping)
        return;
    m_events.push_back(std::move(event));
    m_wake.notify_one();
}

void control_thread::every(duration interval, std::function<void(mono_time)> task)
{
    m_periodic.push_back({ interval, monotonicNow() + interval, std::move(task) });
}

void control_thread::start()
{
    m_thread = std::thread([this] { loop(); });
}

void control_thread::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_wake.notify_one();
    }
    if (m_thread.joinable())
        m_thread.join();
}

mono_time control_thread::nextPeriodic() const
{
    mono_time next = monotonicNow() + longestSleep;
    for (const periodic_task& task : m_periodic)
        next = std::min(next, task.next);
    return m_wakeTask ? std::min(next, m_nextWake) : next;
}

void control_thread::runPeriodic(mono_time now)
{
    for (periodic_task& task : m_periodic) {
        if (now < task.next)
            continue;
        // A thread that was held up runs a task once, not once for each missed interval.
        task.next = now + task.interval;
        task.run(now);
    }
}

void control_thread::loop()
{
    for (;;) {
        std::function<void(mono_time)> event;
        {
            std::unique_lock lock(m_mutex);
            const auto sleep = std::max(duration {}, nextPeriodic() - monotonicNow());
            m_wake.wait_for(lock, sleep, [this] { return m_stopping || !m_events.empty(); });
            if (m_stopping && m_events.empty())
                return;
            if (!m_events.empty()) {
                event = std::move(m_events.front());
                m_events.pop_front();
            }
        }
        if (event)
            event(monotonicNow());
        runPeriodic(monotonicNow());
        if (m_wakeTask) {
            const mono_time now = monotonicNow();
            m_nextWake = std::max(m_wakeTask(now), now + shortestSleep);
        }
    }
}

} // namespace balsamspring

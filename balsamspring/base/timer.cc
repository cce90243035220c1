#include "balsamspring/base/timer.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace balsamspring {

struct timer_thread::state {
    using timer_queue = std::multimap<mono_time, std::pair<timer_id, std::function<void()>>>;

    std::mutex mutex;
    std::condition_variable changed;
    timer_queue queue;
    std::unordered_map<timer_id, timer_queue::iterator> byId;
    timer_id lastId = 0;
    bool stopping = false;

    void run();
};

timer_thread::timer_thread()
    : m_state(std::make_shared<state>())
    , m_thread([state = m_state] { state->run(); })
{
}

timer_thread::~timer_thread()
{
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->stopping = true;
    }
    m_state->changed.notify_one();
    if (m_thread.get_id() == std::this_thread::get_id())
        m_thread.detach();
    else
        m_thread.join();
}

timer_thread::timer_id timer_thread::after(duration delay, std::function<void()> callback)
{
    const mono_time due = monotonicNow() + delay;
    bool first = false;
    timer_id id = 0;
    {
        const std::lock_guard lock(m_state->mutex);
        id = ++m_state->lastId;
        const auto place = m_state->queue.emplace(due, std::make_pair(id, std::move(callback)));
        m_state->byId.emplace(id, place);
        first = place == m_state->queue.begin();
    }
    if (first)
        m_state->changed.notify_one();
    return id;
}

void timer_thread::cancel(timer_id id)
{
    std::function<void()> removed; // destroyed after the lock is released
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->byId.find(id);
    if (found == m_state->byId.end())
        return;
    removed = std::move(found->second->second.second);
    m_state->queue.erase(found->second);
    m_state->byId.erase(found);
}

void timer_thread::state::run()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        if (queue.empty()) {
            changed.wait(lock);
            continue;
        }
        const auto first = queue.begin();
        const duration wait = first->first - monotonicNow();
        if (wait > duration::zero()) {
            changed.wait_for(lock, wait);
            continue;
        }
        std::function<void()> callback = std::move(first->second.second);
        byId.erase(first->second.first);
        queue.erase(first);
        lock.unlock();
        callback();
        callback = {}; // may release the last owner of the timer
        lock.lock();
    }
}

} // namespace balsamspring

#include "balsamspring/net/event_loop.h"

#include "balsamspring/base/log.h"
#include "balsamspring/net/event_loop_state.h"

#include <ctime>

#include <boost/asio/post.hpp>

namespace balsamspring {

mono_time bootNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return mono_time(std::chrono::seconds(now.tv_sec) + duration(now.tv_nsec / 1000));
}

event_loop::event_loop()
    : m_state(std::make_unique<state>())
{
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    m_state->context.restart(); // run() may follow stop()
    for (;;) {
        try {
            m_state->context.run();
            return;
        } catch (const std::exception& failure) {
            // The callback that failed is lost. All other work goes on, also the timers that were due with it.
            m_state->callbackFailures += 1;
            logLine(log_level::Error, "callback_failed", { { "why", failure.what() } });
            m_state->arm();
        }
    }
}

std::uint64_t event_loop::callbackFailures() const { return m_state->callbackFailures; }

void event_loop::stop() { m_state->context.stop(); }

event_loop::timer_id event_loop::after(duration delay, std::function<void()> callback)
{
    const timer_id id = m_state->nextTimer++;
    const auto expiry = std::chrono::steady_clock::now() + delay;
    m_state->timers.emplace(state::timer_key(expiry, id), std::move(callback));
    m_state->deadlines.emplace(id, expiry);
    m_state->arm();
    return id;
}

void event_loop::cancel(timer_id id)
{
    const auto found = m_state->deadlines.find(id);
    if (found == m_state->deadlines.end())
        return;
    m_state->timers.erase({ found->second, id });
    m_state->deadlines.erase(found);
}

void event_loop::post(std::function<void()> callback) { boost::asio::post(m_state->context, std::move(callback)); }

void event_loop::onSignal(int signal, std::function<void()> callback)
{
    auto set = std::make_unique<boost::asio::signal_set>(m_state->context, signal);
    auto* signalSet = set.get();
    m_state->signals.push_back(std::move(set));
    signalSet->async_wait([this, signal, callback = std::move(callback)](boost::system::error_code error, int) {
        if (error)
            return;
        callback();
        onSignal(signal, callback);
    });
}

// All timers share one system timer. It is reset only for an earlier expiry, so that cancelling a timer costs no system
// call.
void event_loop::state::arm()
{
    if (timers.empty() || timers.begin()->first.first >= armedFor)
        return;
    armedFor = timers.begin()->first.first;
    systemTimer.expires_at(armedFor);
    systemTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            runExpiredTimers();
    });
}

void event_loop::state::runExpiredTimers()
{
    armedFor = std::chrono::steady_clock::time_point::max();
    const auto now = std::chrono::steady_clock::now();
    while (!timers.empty() && timers.begin()->first.first <= now) {
        const auto first = timers.begin();
        const auto callback = std::move(first->second);
        deadlines.erase(first->first.second);
        timers.erase(first);
        callback();
    }
    arm();
}

} // namespace balsamspring

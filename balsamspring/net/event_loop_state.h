// Implementation of event_loop on Boost.Asio. Internal to net.
#pragma once

#include "balsamspring/net/event_loop.h"

#include <map>
#include <utility>
#include <vector>

// Boost 1.74 uses std::exchange without including <utility>, which therefore stands above.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace balsamspring {

struct event_loop::state {
    state()
        : systemTimer(context)
    {
    }

    using timer_key = std::pair<std::chrono::steady_clock::time_point, timer_id>;

    // Sets the system timer if the earliest timer expires before the time it is set for.
    void arm();
    void runExpiredTimers();

    boost::asio::io_context context { 1 };
    boost::asio::steady_timer systemTimer;
    std::map<timer_key, std::function<void()>> timers;
    std::map<timer_id, std::chrono::steady_clock::time_point> deadlines;
    std::vector<std::unique_ptr<boost::asio::signal_set>> signals;
    std::chrono::steady_clock::time_point armedFor = std::chrono::steady_clock::time_point::max();
    timer_id nextTimer = 1;
    std::uint64_t callbackFailures = 0;
};

} // namespace balsamspring

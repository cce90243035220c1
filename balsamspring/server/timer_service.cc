#include "balsamspring/server/timer_service.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>
#include <pplx/threadpool.h>

namespace balsamspring {

void runAfter(duration delay, std::function<void()> task)
{
    auto& service = crossplat::threadpool::shared_instance().service();
    auto timer = std::make_shared<boost::asio::steady_timer>(service, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code& status) {
        if (!status)
            task();
    });
}

void runSoon(std::function<void()> task) { crossplat::threadpool::shared_instance().service().post(std::move(task)); }

} // namespace balsamspring

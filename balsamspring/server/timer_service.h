// Delayed calls on the pool that also runs the HTTP traffic.
#pragma once

#include "balsamspring/base/time.h"

#include <functional>

namespace balsamspring {

// Runs `task` once on a traffic thread after `delay`. The task must not block.
void runAfter(duration delay, std::function<void()> task);

// Runs `task` soon on a traffic thread.
void runSoon(std::function<void()> task);

} // namespace balsamspring

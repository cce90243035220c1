// Embeds one component of the library: a queue that admits work by predicted completion.
#include <chrono>
#include <cstdio>
#include <vector>

#include <balsamspring/admission/pool_scheduler.h>

using namespace balsamspring;
using namespace std::chrono_literals;

int main()
{
    pool_scheduler scheduler;
    const mono_time now = monotonicNow();
    const std::vector<stage_forecast> stages { { .median = 100ms, .p90 = 200ms, .p99 = 300ms } };
    pool_request request;
    request.team = team_id("example");
    request.deadline = now + 1s;
    request.stages = stages;
    int refused = 0;
    for (std::uint64_t id = 1; id <= 100; ++id) {
        if (!scheduler.admit(request, now).admitted) {
            ++refused;
            continue;
        }
        queued_work work;
        work.id = id;
        work.team = request.team;
        work.predicted = stages.front().median;
        work.enqueued = now;
        work.latestStart = request.deadline - stages.front().p90;
        scheduler.enqueue(work);
        scheduler.dispatch(now, [&](const queued_work&) {
            return scheduler.running() < 4 ? start_result::Started : start_result::PoolFull;
        });
    }
    std::printf("started %zu, waiting %zu, refused %d\n", scheduler.running(), scheduler.waiting(), refused);
    return refused ? 0 : 1;
}

#include "balsamspring/admission/cost_accounts.h"
#include "balsamspring/admission/pool_scheduler.h"
#include "balsamspring/admission/team_quotas.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

const mono_time start = mono_time(1h);

queued_work work(std::uint64_t id, const char* team, std::uint32_t priority = 1, mono_time enqueued = start)
{
    return { .id = id,
        .team = team_id(team),
        .priority = priority,
        .predicted = 100ms,
        .enqueued = enqueued,
        .latestStart = start + 1h };
}

std::vector<std::uint64_t> serve(fair_queue& queue, std::size_t count, mono_time now = start)
{
    std::vector<std::uint64_t> served;
    queue.dispatch(now, [&](const queued_work& item) {
        if (served.size() == count)
            return start_result::PoolFull;
        served.push_back(item.id);
        return start_result::Started;
    });
    return served;
}

} // namespace

TEST_CASE("a team with a long backlog does not delay another team")
{
    fair_queue queue;
    for (std::uint64_t id = 1; id <= 100; ++id)
        queue.push(work(id, "large"));
    serve(queue, 10);
    queue.push(work(200, "small"));
    queue.push(work(201, "small"));
    const auto served = serve(queue, 4);
    REQUIRE(std::count(served.begin(), served.end(), 200) == 1);
    REQUIRE(std::count(served.begin(), served.end(), 201) == 1);
}

TEST_CASE("a length class without free capacity does not block other classes")
{
    fair_queue queue;
    queued_work longWork = work(1, "a");
    longWork.lengthClass = length_class::Long;
    queue.push(longWork);
    queued_work shortWork = work(2, "a");
    shortWork.lengthClass = length_class::Short;
    queue.push(shortWork);
    std::vector<std::uint64_t> served;
    queue.dispatch(start, [&](const queued_work& item) {
        if (item.lengthClass == length_class::Long)
            return start_result::ClassFull;
        served.push_back(item.id);
        return start_result::Started;
    });
    REQUIRE(served == std::vector<std::uint64_t> { 2 });
    REQUIRE(queue.size() == 1);
}

TEST_CASE("started work is served before new work of the same priority")
{
    fair_queue queue;
    queue.push(work(1, "a"));
    queued_work started = work(2, "a");
    started.started = true;
    queue.push(started);
    REQUIRE(serve(queue, 2) == std::vector<std::uint64_t> { 2, 1 });
}

TEST_CASE("starved low-priority work is served after the starvation bound, up to its share")
{
    fair_queue queue({ .starvationBound = 2s, .starvedShare = 0.05 });
    std::uint64_t id = 1000;
    for (std::uint64_t low = 0; low < 100; ++low)
        queue.push(work(low, "low", 7));
    std::size_t lowServed = 0;
    for (int step = 0; step < 1000; ++step) {
        const mono_time now = start + 10ms * step;
        queue.push(work(++id, "high", 0, now));
        queue.push(work(++id, "high", 0, now));
        const auto served = serve(queue, 1, now);
        lowServed += served.front() < 100;
        if (now < start + 2s)
            REQUIRE(lowServed == 0);
    }
    REQUIRE(lowServed >= 35);
    REQUIRE(lowServed <= 51);
}

TEST_CASE("work whose latest start has passed is removed and never started")
{
    fair_queue queue;
    queued_work late = work(1, "a");
    late.latestStart = start + 1s;
    queue.push(late);
    queue.push(work(2, "a"));
    REQUIRE(queue.takeExpired(start + 2s).size() == 1);
    REQUIRE(serve(queue, 5) == std::vector<std::uint64_t> { 2 });
}

TEST_CASE("removing all work leaves no backlog")
{
    fair_queue queue;
    for (std::uint64_t id = 1; id <= 50; ++id)
        queue.push(work(id, id % 2 ? "a" : "b", id % 3));
    for (std::uint64_t id = 1; id <= 50; ++id)
        REQUIRE(queue.remove(id).has_value());
    REQUIRE_FALSE(queue.remove(1).has_value());
    REQUIRE(queue.workAhead(length_class::Medium, 100) == duration::zero());
    REQUIRE(queue.waitingWeight(length_class::Medium, 4) == 0);
}

TEST_CASE("admission rejects a request that cannot meet its deadline and returns a retry delay")
{
    pool_scheduler scheduler;
    const std::vector<stage_forecast> stages { { .median = 100ms, .p90 = 200ms, .p99 = 300ms } };
    const pool_request request { .team = team_id("a"), .deadline = start + 1s, .stages = stages };
    REQUIRE(scheduler.admit(request, start).admitted);
    for (std::uint64_t id = 1; id <= 200; ++id)
        scheduler.enqueue(work(id, "a"));
    int freeSlots = 4;
    scheduler.dispatch(
        start, [&](const queued_work&) { return freeSlots-- > 0 ? start_result::Started : start_result::PoolFull; });
    const admission_decision admission = scheduler.admit(request, start);
    REQUIRE_FALSE(admission.admitted);
    REQUIRE(admission.retryAfter >= 1s);
    SECTION("the backlog of one team does not cause rejection of another team")
    {
        pool_request other = request;
        other.team = team_id("b");
        REQUIRE(scheduler.admit(other, start).admitted);
    }
}

TEST_CASE(
    "the planner reallocates saved time, skips skippable stages and starts no stage that cannot meet the deadline")
{
    const std::vector<stage_forecast> stages { { 1s, 2s, 3s, false }, { 500ms, 1s, 2s, true }, { 1s, 2s, 3s, false } };
    const std::span<const stage_forecast> all(stages);
    REQUIRE(planStage(all, 10s).budget == 4s);
    REQUIRE(planStage(all.subspan(2), 9s).budget == 9s);
    REQUIRE(planStage(all.subspan(1), 1500ms).decision == stage_decision::Skip);
    REQUIRE(planStage(all, 1900ms).decision == stage_decision::TooLate);
    REQUIRE(planStage(all.subspan(2), -1s).decision == stage_decision::TooLate);
}

TEST_CASE("a team's limit holds across all VMs and a restart adds no burst")
{
    duration retryAfter {};
    double admitted = 0;
    for (int vm = 0; vm < 9; ++vm) {
        team_quotas quotas;
        quotas.setLimit(team_id("a"), 90);
        quotas.setLiveVms(9, start);
        for (mono_time now = start; now < start + 10s; now += 1ms)
            admitted += quotas.tryAdmit(team_id("a"), now, retryAfter);
    }
    REQUIRE(admitted >= 890);
    REQUIRE(admitted <= 900 + 9);

    team_quotas restarted;
    restarted.setLimit(team_id("a"), 90);
    REQUIRE(restarted.tryAdmit(team_id("a"), start, retryAfter));
    REQUIRE_FALSE(restarted.tryAdmit(team_id("a"), start, retryAfter));
}

TEST_CASE("an increase in the number of VMs takes effect immediately and a decrease only after a delay")
{
    team_quotas quotas({ .shrinkDelay = 30s });
    quotas.setLiveVms(9, start);
    quotas.setLiveVms(12, start + 1s);
    REQUIRE(quotas.effectiveVms(start + 1s) == 12);
    quotas.setLiveVms(6, start + 2s);
    quotas.setLiveVms(5, start + 20s);
    REQUIRE(quotas.effectiveVms(start + 31s) == 12);
    REQUIRE(quotas.effectiveVms(start + 50s) == 5);
    quotas.setLiveVms(7, start + 51s);
    REQUIRE(quotas.effectiveVms(start + 51s) == 7);
}

TEST_CASE("length classes are learned from samples, and straggler limits are kept per class")
{
    stage_estimator estimator;
    const stage_ref stage { pipeline_id("report"), 3 };
    REQUIRE(estimator.classify(stage, "") == length_class::Medium);
    REQUIRE(estimator.classify(stage, "long") == length_class::Long);
    for (int i = 0; i < 100; ++i)
        estimator.record(stage, length_class::Long, 10s, start + i * 100ms);
    REQUIRE(estimator.classify(stage, "") == length_class::Long);
    REQUIRE(estimator.stragglerLimit(stage, length_class::Long) > 40s);
    REQUIRE_FALSE(estimator.stragglerLimit(stage, length_class::Short).has_value());
}

TEST_CASE("cost accounts stay bounded with 2,500 teams and preserve the total number of calls")
{
    cost_accounts accounts({ .maximumTeams = 200 });
    for (int i = 0; i < 2500; ++i)
        accounts.record(team_id(std::to_string(i)), { pipeline_id("p"), 0 }, { .calls = 1, .service = 1ms * i });
    REQUIRE(accounts.byTeam().size() <= 200);
    std::uint64_t calls = accounts.otherTeams().calls;
    for (const auto& [team, entry] : accounts.byTeam())
        calls += entry.calls;
    REQUIRE(calls == 2500);
}

TEST_CASE("urgent work is not rejected because of a less urgent backlog of the same team")
{
    pool_scheduler scheduler;
    for (std::uint64_t id = 1; id <= 400; ++id)
        scheduler.enqueue(work(id, "a", 3));
    int freeSlots = 4;
    const auto startWhileSlotsFree = [&](const queued_work&) {
        return freeSlots-- > 0 ? start_result::Started : start_result::PoolFull;
    };
    scheduler.dispatch(start, startWhileSlotsFree);
    freeSlots = 4;
    scheduler.dispatch(start + 1s, startWhileSlotsFree);
    const std::vector<stage_forecast> stages { { .median = 100ms, .p90 = 200ms, .p99 = 300ms } };
    pool_request request { .team = team_id("a"), .priority = 0, .deadline = start + 2s, .stages = stages };
    REQUIRE(scheduler.admit(request, start + 1s).admitted);
    request.priority = 3;
    REQUIRE_FALSE(scheduler.admit(request, start + 1s).admitted);
}

// Admits requests to one pool by predicted completion time, and schedules the admitted work.
//
//     pool_scheduler scheduler({});
//     if (!scheduler.admit(request, now).admitted) ... // reject with not_run
//     scheduler.enqueue(work);
//     scheduler.dispatch(now, [&](const queued_work& work) { return startOnServer(work); });
//     scheduler.finished(work.lengthClass);
#pragma once

#include "balsamspring/admission/deadline_planner.h"
#include "balsamspring/admission/fair_queue.h"

#include <array>
#include <cstdint>
#include <span>

namespace balsamspring {

struct pool_scheduler_options {
    fair_queue_options queue;
    duration rateHalfLife = std::chrono::seconds(1); // half-life of the measured drain rate
    duration demandHalfLife = std::chrono::seconds(5); // half-life of the offered load of each class
    // Multiplies the predicted wait, because an early rejection costs less than a request that misses its deadline.
    double waitSafetyFactor = 1.1;
    duration minimumRetryAfter = std::chrono::milliseconds(100);
    duration maximumRetryAfter = std::chrono::seconds(30);
};

struct pool_request {
    team_id team;
    std::uint32_t weight = 1;
    std::uint32_t priority = 1;
    length_class lengthClass = length_class::Medium;
    bool started = false;
    mono_time deadline;
    std::span<const stage_forecast> stages; // the stage at this pool and all later stages
    duration laterWaits {}; // predicted waits at the pools of later stages
};

struct admission_decision {
    bool admitted = true;
    duration predictedWait {};
    duration retryAfter {}; // time until the same request would probably be admitted; set only on rejection
};

// Not thread safe.
class pool_scheduler {
public:
    explicit pool_scheduler(pool_scheduler_options options = {});

    // Admits the request if it will probably complete by its deadline. Skippable stages are not counted, because they
    // are skipped when time is short.
    admission_decision admit(const pool_request& request, mono_time now);

    void enqueue(queued_work work);
    std::optional<queued_work> remove(std::uint64_t id) { return m_queue.remove(id); }
    std::vector<queued_work> takeExpired(mono_time now) { return m_queue.takeExpired(now); }

    // Offers waiting work of classes with free capacity to `start`. Returns the number of items started.
    std::size_t dispatch(mono_time now, const fair_queue::start_function& start);

    // Reports that work started by `dispatch` no longer occupies its server.
    void finished(length_class lengthClass);

    // Moves a running item to another class, for work that takes much longer than is usual in its class.
    void reclassify(length_class from, length_class to);

    // Predicts how long new work would wait before it starts. Zero if the last dispatch did not block the class.
    duration predictedWait(
        const team_id& team, std::uint32_t weight, length_class lengthClass, std::uint32_t level, mono_time now) const;

    std::size_t waiting() const { return m_queue.size(); }
    std::size_t running() const;

private:
    // Load of one length class and the rate at which its waiting work starts. Rates are in seconds of service per
    // second.
    struct drain_state {
        std::uint32_t running = 0;
        double demand = 0; // offered load
        mono_time demandUpdatedAt;
        bool blocked = false; // the last dispatch could not start all work of this class
        double rate = 0;
        double startedService = 0; // seconds of service started since `rateUpdatedAt`
        mono_time rateUpdatedAt;
    };

    // Returns the slots reserved for shorter classes: the offered load of each, at most one third of the pool each.
    double reservedCapacity(std::size_t classIndex) const;
    bool hasCapacity(length_class lengthClass) const;
    void addDemand(length_class lengthClass, duration predicted, mono_time now);
    void updateParallelism(bool poolFull);
    void updateRate(drain_state& state, mono_time now) const;
    double drainRate(const drain_state& state) const;

    pool_scheduler_options m_options;
    fair_queue m_queue;
    std::array<drain_state, lengthClassCount> m_drains;
    double m_parallelism = 0; // estimated number of running items when the pool is full; 0 while unknown
};

} // namespace balsamspring

// Queue of the work that waits for one pool.
//
// Work is ordered by priority level, with work of started requests ahead of new requests of the same priority. Within a
// level, start-time fair queueing by predicted service time applies first between length classes, then by weight
// between the teams of a class. Long work with a distant deadline, which is admitted at longer waits than short work,
// therefore does not take the share of short work. Work of a length class without free capacity does not block other
// classes.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/length_class.h"
#include "balsamspring/base/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace balsamspring {

struct queued_work {
    std::uint64_t id = 0; // unique in the queue
    team_id team;
    std::uint32_t weight = 1;
    std::uint32_t priority = 1; // 0 is the most urgent
    length_class lengthClass = length_class::Medium;
    bool started = false; // an earlier stage of the request has run
    duration predicted {}; // service time
    mono_time enqueued;
    mono_time latestStart; // a later start cannot meet the deadline
};

enum class start_result : std::uint8_t {
    Started, // the work leaves the queue
    ClassFull, // no free capacity for this length class
    PoolFull, // no free capacity for any work
};

struct fair_queue_options {
    // Work that has waited longer is starved and served ahead of more urgent levels.
    duration starvationBound = std::chrono::seconds(2);
    double starvedShare = 0.05; // maximum share of service for starved work
    // Service per unit of weight that a team below its share may receive in one burst.
    duration credit = std::chrono::seconds(4);
};

// Not thread safe.
class fair_queue {
public:
    using start_function = std::function<start_result(const queued_work&)>;

    explicit fair_queue(fair_queue_options options = {});

    void push(queued_work work);

    // Removes work whose caller has disconnected or whose request was cancelled. Returns nullopt for an unknown id.
    std::optional<queued_work> remove(std::uint64_t id);

    // Removes and returns the work whose latest start has passed.
    std::vector<queued_work> takeExpired(mono_time now);

    // Offers work to `start` in service order until no more work can start. Returns the number of items started.
    std::size_t dispatch(mono_time now, const start_function& start);

    std::size_t size() const { return m_entries.size(); }

    // Returns the predicted service time of the waiting work of the class in this and all more urgent levels.
    duration workAhead(length_class lengthClass, std::uint32_t level) const;

    // Returns how far the start tag of new work of the team is ahead of the virtual time of its class, in seconds of
    // service per unit of weight. Zero for a team that has used no more than its share.
    double virtualLag(const team_id& team, length_class lengthClass, std::uint32_t level) const;

    // Estimates the wait of new work of a team from the rate at which the team's waiting work is being started. Returns
    // nullopt if the team has no waiting work, has waited too briefly for an estimate, or none of its work has started.
    std::optional<duration> observedWait(
        const team_id& team, length_class lengthClass, std::uint32_t level, mono_time now) const;

    // Returns the sum of the weights of the teams that have waiting work of the class in the level.
    std::uint32_t waitingWeight(length_class lengthClass, std::uint32_t level) const;

    // Returns the priority level in which work is queued. Lower levels are served first.
    static std::uint32_t levelOf(std::uint32_t priority, bool started);

private:
    struct queue_position {
        double startTag = 0;
        std::uint64_t id = 0;

        friend auto operator<=>(const queue_position&, const queue_position&) = default;
    };

    struct entry {
        queued_work work;
        queue_position position;
    };

    // Waiting work of one team in a class, and the rate at which the team was served while it waited.
    struct team_backlog {
        std::uint32_t weight = 1;
        std::size_t count = 0;
        duration waiting {};
        duration started {}; // predicted service time of the work started since `windowStart`
        mono_time windowStart;
    };

    // Fair queue of the teams in one length class of a level.
    struct class_state {
        double virtualTime = 0;
        double startTag = 0; // start tag of this class among the classes of its level
        duration backlog {};
        std::uint32_t waitingWeight = 0;
        std::unordered_map<team_id, double> finishTags;
        std::unordered_map<team_id, team_backlog> teams; // only teams with waiting work
        std::set<queue_position> waiting;
    };

    struct level_state {
        double virtualTime = 0;
        std::array<class_state, lengthClassCount> classes;
        std::set<std::pair<mono_time, std::uint64_t>> byAge;
    };

    double nextStartTag(const class_state& state, const team_id& team) const;

    using blocked_classes = std::array<bool, lengthClassCount>;

    void erase(std::uint64_t id);
    const class_state* findClass(length_class lengthClass, std::uint32_t level) const;
    static void addBacklog(class_state& state, const queued_work& work);
    static void removeBacklog(class_state& state, const queued_work& work);
    const entry* nextStarved(mono_time now, const blocked_classes& blocked) const;
    const entry* nextInOrder(const blocked_classes& blocked) const;
    void recordStart(const entry& started, bool starved, mono_time now);

    fair_queue_options m_options;
    std::unordered_map<std::uint64_t, entry> m_entries;
    std::map<std::uint32_t, level_state> m_levels;
    std::set<std::pair<mono_time, std::uint64_t>> m_byLatestStart;
    double m_totalService = 0;
    double m_starvedService = 0;
};

} // namespace balsamspring

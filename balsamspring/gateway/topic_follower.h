// Follows a keyed topic of the platform's log: reads a snapshot of the newest records, then the records after it.
//
// Handles refused, unanswered and slow calls, truncated history, and records that change while a snapshot is read. At
// most one call is in progress at a time; the adapter limits its duration.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/gateway/record_store.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace balsamspring {

struct follower_options {
    std::string topic;
    duration wait {}; // Maximum time for which the store may hold a read until a record arrives.
    duration pause {}; // Delay between two reads.
    duration minRetryDelay = std::chrono::milliseconds(60);
    duration maxRetryDelay = std::chrono::milliseconds(800);
};

struct follower_hooks {
    std::function<mono_time()> now;
    std::function<void(duration, std::function<void()>)> after;
    std::function<void(const store_record&)> onRecord;
    // Called for each key that had a value before and is missing from a complete snapshot.
    std::function<void(const std::string& key)> onMissing;
    // Called when all records that the topic held at `requestedAt` have been reported.
    std::function<void(mono_time requestedAt, std::uint64_t nextOffset)> onCurrent;
    // Called before the records of a snapshot are reported. Reading continues at `nextOffset` after it.
    std::function<void(std::uint64_t nextOffset)> onSnapshot;
    // Called when onRecord or onMissing has thrown for a record. The others are reported all the same.
    std::function<void(const std::string& key, std::string_view why)> onRecordFailure;
    // Called on the first failed call after a successful one.
    std::function<void(const error& cause)> onLost;
    // Called on the first successful call after a failed one, with the time since the previous success.
    std::function<void(duration outage)> onRecovered;
};

class topic_follower {
public:
    // The store, the hooks and the random engine must outlive the follower and its calls.
    topic_follower(follower_options options, const record_store& store, follower_hooks hooks, random_engine& random);

    void start();
    // Offset after the newest record that was reported.
    std::uint64_t nextOffset() const { return m_nextOffset; }
    // Changes the polling options, starting with the next read.
    void setPolling(duration wait, duration pause);
    // Time since the last successful call, or since `start` before the first.
    duration timeSinceSuccess(mono_time now) const { return now - m_lastSuccessAt; }
    bool lost() const { return m_lost; }

private:
    // The end that the topic had at some time.
    struct known_end {
        mono_time at {};
        std::uint64_t offset = 0;
    };

    void readSnapshot(const std::string& afterKey);
    void handleSnapshotPage(const newest_page& page);
    void readTail();
    void handleTailPage(const record_page& page, mono_time requestedAt);
    // Reports what the page proves. Returns whether it reaches the end of the topic.
    bool confirm(const record_page& page, mono_time requestedAt);
    void report(const store_record& record);
    // Runs a hook for a record, so that one record that cannot be handled does not end the following of all.
    void guarded(const std::string& key, const std::function<void()>& hook);
    void handleSuccess();
    void handleFailure(const error& cause, std::function<void()> retry);

    follower_options m_options;
    const record_store& m_store;
    follower_hooks m_hooks;
    random_engine& m_random;
    std::map<std::string, std::uint64_t> m_newestOffset; // Contains only the keys that have a value.
    std::set<std::string> m_snapshotKeys;
    std::uint64_t m_nextOffset = 0;
    std::optional<known_end> m_backlogEnd; // while the pages read do not reach the end of the topic
    mono_time m_snapshotRequestedAt {};
    mono_time m_lastSuccessAt {};
    mono_time m_outageStart {};
    duration m_retryDelay {};
    bool m_firstPage = true;
    bool m_lost = false;
};

} // namespace balsamspring

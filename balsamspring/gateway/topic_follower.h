// Follows a keyed topic of the platform's log: a snapshot of the newest records first, then the records after it.
//
// Survives refused, silent and slow calls, history that is gone, and records that change while a snapshot is read. One
// call is out at a time; the adapter bounds its time.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/gateway/record_store.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace balsamspring {

struct follower_options {
    std::string topic;
    duration wait {}; // how long the store may hold a read until a record is there
    duration pause {}; // between two reads
    duration minRetryDelay = std::chrono::milliseconds(60);
    duration maxRetryDelay = std::chrono::milliseconds(800);
};

struct follower_hooks {
    std::function<mono_time()> now;
    std::function<void(duration, std::function<void()>)> after;
    std::function<void(const store_record&)> onRecord;
    // Keys that a complete snapshot does not hold although records had named them before.
    std::function<void(const std::string& key)> onMissing;
    // Everything up to the end that a read, sent at `askedAt`, saw has been reported.
    std::function<void(mono_time askedAt, std::uint64_t nextOffset)> onCurrent;
    // A snapshot was read; records follow from this offset on.
    std::function<void(std::uint64_t nextOffset)> onSnapshot;
    std::function<void(const error& why)> onLost; // the first failed call after a good one
    std::function<void(duration away)> onRegained;
};

class topic_follower {
public:
    // The store, the hooks and the random engine must outlive the follower and its calls.
    topic_follower(follower_options options, const record_store& store, follower_hooks hooks, random_engine& random);

    void start();
    // Time since the last good answer; measured from the start before the first.
    // Asks more or less often from the next question on.
    void setPace(duration wait, duration pause);
    duration silence(mono_time now) const { return now - m_lastAnswer; }
    bool lost() const { return m_lost; }

private:
    void readSnapshot(const std::string& afterKey);
    void snapshotArrived(const newest_page& page);
    void readTail();
    void tailArrived(const record_page& page, mono_time askedAt);
    void report(const store_record& record);
    void answered();
    void failed(const error& why, std::function<void()> again);

    follower_options m_options;
    const record_store& m_store;
    follower_hooks m_hooks;
    random_engine& m_random;
    std::map<std::string, std::uint64_t> m_newestOffset; // of each key that has a value
    std::set<std::string> m_snapshotKeys;
    std::uint64_t m_next = 0;
    mono_time m_snapshotAskedAt {};
    mono_time m_lastAnswer {};
    mono_time m_lostAt {};
    duration m_retryDelay {};
    bool m_firstPage = true;
    bool m_lost = false;
};

} // namespace balsamspring

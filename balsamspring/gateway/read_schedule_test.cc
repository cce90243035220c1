// Replay of a VM that follows a topic through a relay which stops answering, on virtual time.
#include "balsamspring/base/random.h"
#include "balsamspring/gateway/read_schedule.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

const mono_time start { 1h };

enum class relay_fault : std::uint8_t { Suspended, CutOffFromStore, Both };

struct follower_replay {
    duration changeLimit = 2s; // changes must have taken effect after this time
    double proofAgeFraction = 0.8;
    double storePollFraction = 0.7;
    duration relayPause = 200ms;
    duration relayReadInterval = 260ms; // of the relay at the store
    duration maxRelayProofAge = 1200ms;
    duration unreachableBackoff = 1s;
    duration storeCall = 8ms;
    duration relayCall = 2ms;
    duration timerDelay = 60ms; // at most
    relay_fault fault = relay_fault::Suspended;
    bool singleFault = false; // ends 10 s after the start

    int storeReads = 0;

    // Returns the longest time for which the VM does not know of a change in the store.
    duration play(std::uint64_t seed, duration length = 60s)
    {
        random_engine random(seed);
        read_schedule_options options;
        options.proofLimit = fromSeconds(toSeconds(changeLimit) * proofAgeFraction);
        read_schedule schedule(options);
        mono_time now = start;
        mono_time newestProof = start;
        mono_time backoffUntil = start;
        duration longest {};
        m_faultBegin = start + fromSeconds(uniform(random) * 2);
        m_faultEnd = m_faultBegin + fromSeconds(1 + uniform(random) * 9);
        if (singleFault)
            m_faultEnd = start + 10s;
        schedule.proven(start);
        while (now < start + length) {
            if (now > m_faultEnd && !singleFault) {
                m_faultBegin = now + fromSeconds(uniform(random) * 4);
                m_faultEnd = m_faultBegin + fromSeconds(1 + uniform(random) * 9);
            }
            const auto relayWait = now < backoffUntil ? std::nullopt : schedule.relayWait(now);
            mono_time proof = now;
            bool relayed = false;
            if (relayWait) {
                now += *relayWait + relayCall;
                if (suspended(now)) {
                    now += options.relayMargin;
                    backoffUntil = now + unreachableBackoff;
                } else if (const mono_time relayProof = relayProofAt(now); now - relayProof <= maxRelayProofAge) {
                    relayed = true;
                    proof = relayProof;
                }
            }
            if (!relayed) {
                storeReads += 1;
                proof = now;
                now += storeCall;
            }
            // A change right after the previous proof becomes known now.
            longest = std::max(longest, now - newestProof);
            newestProof = std::max(newestProof, proof);
            schedule.proven(proof);
            const duration usual = relayed ? relayPause : fromSeconds(toSeconds(changeLimit) * storePollFraction);
            now += schedule.pauseBeforeRelay(usual, now) + fromSeconds(toSeconds(timerDelay) * uniform(random));
        }
        return longest;
    }

private:
    bool faulty(mono_time at) const { return at >= m_faultBegin && at < m_faultEnd; }
    bool suspended(mono_time at) const { return fault != relay_fault::CutOffFromStore && faulty(at); }
    mono_time relayProofAt(mono_time at) const
    {
        const mono_time newest = fault != relay_fault::Suspended && faulty(at) ? m_faultBegin : at;
        const auto interval = relayReadInterval.count();
        return mono_time(duration(newest.time_since_epoch().count() / interval * interval));
    }

    mono_time m_faultBegin {};
    mono_time m_faultEnd {};
};

} // namespace

TEST_CASE("schedule: a relay that stops answering at any moment does not delay changes beyond their limit")
{
    // Reads through the relay that were each given up after 1.25 s, and reads of the store 0.7 limits later, added up
    // to 2.65 s while the limit was 2 s.
    for (const duration limit : { 1000ms, 1500ms, 2000ms, 3000ms, 4000ms, 10'000ms }) {
        for (const relay_fault fault : { relay_fault::Suspended, relay_fault::CutOffFromStore, relay_fault::Both }) {
            for (std::uint64_t seed = 1; seed <= 100; ++seed) {
                follower_replay replay;
                replay.changeLimit = limit;
                replay.fault = fault;
                const duration longest = replay.play(seed);
                INFO("limit " << limit.count() << " us, fault " << static_cast<int>(fault) << ", seed " << seed);
                // A tenth of the limit is left for a request on its way to a server.
                REQUIRE(longest <= limit * 9 / 10);
            }
        }
    }
}

TEST_CASE("schedule: without a bound on the age of the proof, changes take longer than their limit")
{
    // Shows that the replay meets the fault that the bound guards against.
    duration longest {};
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        follower_replay replay;
        replay.proofAgeFraction = 100;
        longest = std::max(longest, replay.play(seed));
    }
    CHECK(longest > 2s);
}

TEST_CASE("schedule: a VM returns to the relay when it answers again, and leaves the store alone")
{
    for (const duration limit : { 1000ms, 2000ms, 3000ms, 4000ms }) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            INFO("limit " << limit.count() << " us, seed " << seed);
            follower_replay during;
            during.changeLimit = limit;
            during.singleFault = true;
            during.play(seed, 12s);
            follower_replay after = during;
            after.storeReads = 0;
            after.play(seed, 60s);
            CHECK(after.storeReads <= during.storeReads + 1);
        }
    }
}

TEST_CASE("schedule: a topic without a limit is always read through the relay")
{
    read_schedule schedule({});
    schedule.proven(start);
    CHECK(schedule.relayWait(start + 1h) == std::optional<duration>(1s));
    CHECK(schedule.pauseBeforeRelay(1s, start + 1h) == 1s);
}

TEST_CASE("schedule: a relay that answers is asked about once a second")
{
    read_schedule schedule({ .proofLimit = 1600ms });
    CHECK(schedule.relayWait(start) == std::optional<duration>(1s));
    CHECK(schedule.pauseBeforeRelay(200ms, start) == 200ms);
    schedule.proven(start);
    CHECK(schedule.relayWait(start + 300ms) == std::optional<duration>(1s));
    CHECK(schedule.relayWait(start + 600ms) == std::optional<duration>(750ms));
    CHECK(schedule.pauseBeforeRelay(1400ms, start + 5ms) == 1245ms);
    CHECK(schedule.relayWait(start + 1350ms) == std::optional<duration>(0ms));
    CHECK_FALSE(schedule.relayWait(start + 1351ms));
    CHECK(schedule.pauseBeforeRelay(1400ms, start + 2s) == 0ms);
    // A late answer to an earlier read does not make the records older.
    schedule.proven(start - 1s);
    CHECK(schedule.relayWait(start + 300ms) == std::optional<duration>(1s));
}

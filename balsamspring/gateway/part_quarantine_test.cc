// Single decisions of the quarantine of prompt parts, and its records.
#include "balsamspring/gateway/part_quarantine.h"
#include "balsamspring/gateway/suspect_sharing.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

const mono_time start { 1h };
constexpr fingerprint::value_type harmfulValue = 7;
const fingerprint harmful(harmfulValue);
const fingerprint other(8);

struct quarantine_fixture {
    random_engine random { 1 };
    part_quarantine parts { {}, random };

    // Crashes one second apart, each heard of as a record.
    void crash(fingerprint part, int count, std::uint64_t& offset, mono_time& now)
    {
        for (int i = 0; i < count; ++i) {
            now += 1s;
            parts.apply({ .part = part, .event = part_event::Crash, .crash = fingerprint(100 + offset) }, offset, now);
            offset += 1;
        }
    }

    bool refused(const std::vector<fingerprint>& of, mono_time now) const
    {
        return parts.judge(of, now).decision != part_verdict::admission::Allowed;
    }
};

} // namespace

TEST_CASE("a part is blocked after three crashes, and an answer that goes on clears it")
{
    quarantine_fixture fixture;
    std::uint64_t offset = 0;
    mono_time now = start;
    fixture.crash(harmful, 2, offset, now);
    CHECK_FALSE(fixture.refused({ harmful }, now));
    fixture.crash(harmful, 1, offset, now);
    CHECK(fixture.refused({ other, harmful }, now));
    CHECK_FALSE(fixture.refused({ other }, now));
    // It began before the block.
    fixture.parts.apply({ .part = harmful, .event = part_event::Blocked, .basis = 0 }, offset++, now);
    fixture.parts.proven({ harmful }, now - 10ms, now + 1s);
    CHECK(fixture.refused({ harmful }, now + 1s));
    fixture.parts.proven({ harmful }, now + 10ms, now + 1s);
    CHECK_FALSE(fixture.refused({ harmful }, now + 1s));
    fixture.parts.tick(now + 2s);
    REQUIRE(fixture.parts.takeRecords()
        == std::vector { part_record { .part = harmful, .event = part_event::Cleared, .basis = offset - 1 } });
}

TEST_CASE("an answer between two crashes disproves only the earlier ones")
{
    quarantine_fixture fixture;
    std::uint64_t offset = 0;
    mono_time now = start;
    fixture.crash(harmful, 2, offset, now);
    fixture.parts.proven({ harmful }, now + 10ms, now + 600ms);
    fixture.crash(harmful, 2, offset, now);
    CHECK_FALSE(fixture.refused({ harmful }, now + 5s));
    fixture.crash(harmful, 1, offset, now);
    CHECK(fixture.refused({ harmful }, now + 5s));
}

TEST_CASE("crashes at the same moment count as one, and one crash that several VMs report counts once")
{
    quarantine_fixture fixture;
    for (std::uint64_t i = 0; i < 5; ++i)
        fixture.parts.apply({ .part = harmful, .event = part_event::Crash, .crash = fingerprint(i) }, i, start + 10ms);
    CHECK_FALSE(fixture.refused({ harmful }, start + 5s));
    quarantine_fixture repeated;
    for (std::uint64_t i = 0; i < 5; ++i)
        repeated.parts.apply(
            { .part = harmful, .event = part_event::Crash, .crash = fingerprint(1) }, i, start + i * 1s);
    CHECK_FALSE(repeated.refused({ harmful }, start + 6s));
}

TEST_CASE("a part with a recent proof is blocked only after a time in which other VMs can report a newer one")
{
    quarantine_fixture fixture;
    std::uint64_t offset = 0;
    mono_time now = start;
    fixture.parts.proven({ harmful }, now, now);
    fixture.crash(harmful, 3, offset, now);
    CHECK_FALSE(fixture.refused({ harmful }, now + 900ms));
    CHECK(fixture.refused({ harmful }, now + 1s));
    fixture.parts.apply({ .part = harmful, .event = part_event::Cleared, .basis = offset - 1 }, offset, now + 1100ms);
    CHECK_FALSE(fixture.refused({ harmful }, now + 1200ms));
}

TEST_CASE("a proof of a part whose block is the first record of the topic is published")
{
    quarantine_fixture fixture;
    fixture.parts.apply({ .part = harmful, .event = part_event::Blocked }, 0, start);
    fixture.parts.proven({ harmful }, start + 1s, start + 2s);
    fixture.parts.tick(start + 3s);
    REQUIRE(fixture.parts.takeRecords()
        == std::vector { part_record { .part = harmful, .event = part_event::Cleared, .basis = 0 } });
}

TEST_CASE("a VM that starts learns blocked parts from a snapshot in any order")
{
    const std::vector<std::pair<std::uint64_t, part_record>> records {
        { 4, { .part = harmful, .event = part_event::Crash, .crash = fingerprint(1) } },
        { 5, { .part = harmful, .event = part_event::Blocked, .basis = 4 } },
        { 6, { .part = harmful, .event = part_event::Cleared, .basis = 3 } },
        { 7, { .part = harmful, .event = part_event::Probed, .round = 1 } },
        { 8, { .part = other, .event = part_event::Blocked, .basis = 7 } },
        { 9, { .part = other, .event = part_event::Cleared, .basis = 8 } },
    };
    std::vector<std::size_t> order { 0, 1, 2, 3, 4, 5 };
    do {
        quarantine_fixture fixture;
        for (const std::size_t i : order)
            fixture.parts.apply(records[i].second, records[i].first, start);
        REQUIRE(fixture.refused({ harmful }, start));
        REQUIRE_FALSE(fixture.refused({ other }, start));
        REQUIRE(fixture.parts.probeClaim(harmful).round == 2);
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a block that was decided without knowledge of a proof has no effect")
{
    quarantine_fixture fixture;
    fixture.parts.apply({ .part = harmful, .event = part_event::Cleared, .basis = 5 }, 6, start);
    fixture.parts.apply({ .part = harmful, .event = part_event::Blocked, .basis = 5 }, 7, start);
    CHECK_FALSE(fixture.refused({ harmful }, start));
    fixture.parts.apply({ .part = harmful, .event = part_event::Blocked, .basis = 6 }, 8, start);
    CHECK(fixture.refused({ harmful }, start));
}

TEST_CASE("a blocked part is probed at growing intervals, and not together with another one")
{
    quarantine_fixture fixture;
    std::vector<duration> probes;
    fixture.parts.apply({ .part = harmful, .event = part_event::Blocked }, 1, start);
    fixture.parts.apply({ .part = other, .event = part_event::Blocked }, 2, start);
    for (mono_time now = start; now < start + 200s; now += 100ms) {
        CHECK(fixture.parts.judge({ harmful, other }, now).decision == part_verdict::admission::Refused);
        const part_verdict verdict = fixture.parts.judge({ harmful }, now);
        if (verdict.decision != part_verdict::admission::Probe)
            continue;
        probes.push_back(now - start);
        fixture.parts.probeClaimed(harmful, true, now);
    }
    CHECK(probes == std::vector<duration> { 2s, 10s, 42s, 170s });
    // Another VM was faster.
    CHECK(fixture.parts.judge({ other }, start + 3s).decision == part_verdict::admission::Probe);
    fixture.parts.apply({ .part = other, .event = part_event::Probed, .round = 1 }, 3, start + 3s);
    CHECK(fixture.parts.judge({ other }, start + 4s).decision == part_verdict::admission::Refused);
}

TEST_CASE("evidence expires, and memory is bounded")
{
    quarantine_fixture fixture;
    std::uint64_t offset = 0;
    mono_time now = start;
    fixture.crash(harmful, 3, offset, now);
    fixture.parts.tick(now + 2s);
    CHECK(fixture.refused({ harmful }, now + 2s));
    fixture.parts.tick(now + 11min);
    CHECK_FALSE(fixture.refused({ harmful }, now + 11min));
    CHECK(fixture.parts.takeExpired().size() == 6);
    CHECK(fixture.parts.size() == 0);
    random_engine random(1);
    part_quarantine small({ .capacity = 10 }, random);
    for (std::uint64_t i = 0; i < 1000; ++i) {
        small.crashed(fingerprint(i), { fingerprint(i) }, start, start);
        small.crashed(fingerprint(i), { fingerprint(0) }, start, start);
        small.proven({ fingerprint(i + 5000) }, start, start);
    }
    CHECK(small.size() == 10);
    CHECK(small.takeRecords().size() == 10 + 15);
}

TEST_CASE("records of parts are encoded and decoded, and malformed ones are ignored")
{
    for (const part_record& record : { part_record { .part = harmful, .event = part_event::Crash, .crash = other },
             part_record { .part = harmful, .event = part_event::Blocked, .basis = 77 },
             part_record { .part = harmful, .event = part_event::Cleared, .basis = 5 },
             part_record { .part = harmful, .event = part_event::Probed, .round = 3 } }) {
        const keyed_value encoded = encodePartRecord(record);
        const auto decoded = decodePartRecord(encoded.key, encoded.value);
        REQUIRE(decoded);
        CHECK(*decoded == record);
    }
    for (const auto& [key, value] : std::vector<std::pair<std::string, std::string>> { { "", "" }, { "part:", "1" },
             { "part:0000000000000007", "1" }, { "part:0000000000000007:", "1" },
             { "part:0000000000000007:crash", "1" }, { "part:0000000000000007:crash:12", "1" },
             { "part:0000000000000007:crash:000000000000000g", "1" }, { "part:0000000000000007:unknown", "1" },
             { "part:0000000000000007:blocked:x", "1" }, { "part:0000000000000007:blocked", "-1" },
             { "part:0000000000000007:probed", "99999999999999999999999" }, { "part:000000000000007:blocked", "1" },
             { "0000000000000007", "suspect" }, { std::string("part:\0\xff", 7), "1" } }) {
        INFO(key);
        CHECK_FALSE(decodePartRecord(key, value));
    }
}

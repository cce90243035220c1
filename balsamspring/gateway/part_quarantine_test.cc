// Tests of the quarantine of prompt parts: single decisions, and replays of fleets on virtual time.
#include "balsamspring/gateway/part_quarantine.h"
#include "balsamspring/gateway/suspect_sharing.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <set>

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

// Requests of a fleet with shared parts in their prompts, on virtual time.
struct fleet_options {
    std::uint64_t seed = 1;
    std::size_t vms = 9;
    std::size_t servers = 12;
    double requestsPerSecond = 40;
    double harmfulShare = 0.02;
    std::size_t harmfulParts = 1;
    // The harmful part is the first one of the prompt. Otherwise a part that sound requests share comes before it.
    bool harmfulFirst = false;
    // From this time on the harmful parts crash servers; before it they are sound.
    duration harmfulFrom {};
    duration length = 40s;
    duration contact = 3s;
    duration readInterval = 250ms;
    // Crashes per second that no request causes.
    double otherCrashes = 0;
    // At these times, half of the servers crash at once.
    std::vector<duration> waves {};
    // The store answers nothing from `storeDown` for `storeDownFor`.
    duration storeDown = -1s;
    duration storeDownFor {};
    // At these times, half of the VMs restart and know nothing.
    std::vector<duration> restarts {};
    part_quarantine_options quarantine {};
};

struct fleet_result {
    unsigned crashes = 0; // caused by requests
    // Requests with a harmful part sent to servers later than `contact` after the fifth crash of that part (of the last
    // one, if there are fewer), for the part that had most.
    unsigned sentAfter = 0;
    // Sound requests after twice that time that began at the first attempt, and all of them.
    unsigned soundBegun = 0;
    unsigned sound = 0;
    // Sound requests that were refused for one of their parts at any time.
    unsigned soundRefused = 0;
    unsigned soundInAll = 0;
    std::size_t records = 0;
};

class fleet {
public:
    explicit fleet(const fleet_options& options)
        : m_options(options)
        , m_random(options.seed)
        , m_vms(options.vms)
        , m_servers(options.servers)
        , m_crashTimes(options.harmfulParts)
        , m_sentTimes(options.harmfulParts)
    {
        for (vm& each : m_vms)
            restart(each);
    }

    fleet_result run()
    {
        const mono_time end = start + m_options.length;
        double due = 0;
        for (m_now = start; m_now < end; m_now += step) {
            due += m_options.requestsPerSecond * toSeconds(step);
            const auto arrivals = static_cast<unsigned>(due);
            due -= arrivals;
            for (unsigned i = 0; i < arrivals; ++i)
                arrive();
            for (const duration wave : m_options.waves) {
                if (m_now == start + wave)
                    crashHalf();
            }
            for (const duration time : m_options.restarts) {
                for (std::size_t i = 0; m_now == start + time && i < m_vms.size(); i += 2)
                    restart(m_vms[i]);
            }
            if (uniform(m_random) < m_options.otherCrashes * toSeconds(step))
                crashServer(uniformBelow(m_random, static_cast<std::uint32_t>(m_servers.size())));
            advanceRequests();
            for (std::size_t i = 0; i < m_vms.size(); ++i)
                exchange(i);
        }
        return summarize();
    }

private:
    static constexpr duration step = 10ms;
    static constexpr std::size_t soundOnly = 1000;

    struct request {
        std::size_t vm = 0;
        std::vector<fingerprint> parts;
        std::size_t harmful = soundOnly; // index of the harmful part
        std::size_t server = 0;
        mono_time sentAt {};
        mono_time beginsAt {};
        unsigned attempt = 1;
        bool begun = false;
        bool proven = false;
        bool counted = false;
    };
    struct vm {
        std::unique_ptr<part_quarantine> parts;
        std::size_t read = 0;
    };
    struct server {
        mono_time upAt {};
        std::uint64_t generation = 0;
    };

    void restart(vm& each)
    {
        each.parts = std::make_unique<part_quarantine>(m_options.quarantine, m_random);
        each.read = 0;
    }

    bool storeUp() const
    {
        return m_now < start + m_options.storeDown || m_now >= start + m_options.storeDown + m_options.storeDownFor;
    }

    duration between(duration low, duration high)
    {
        return low + fromSeconds(toSeconds(high - low) * uniform(m_random));
    }

    void arrive()
    {
        request added;
        added.vm = uniformBelow(m_random, static_cast<std::uint32_t>(m_vms.size()));
        const fingerprint shared(1 + uniformBelow(m_random, 2));
        // Few requests have a subject of their own, most share a frequent one.
        const double drawn = uniform(m_random);
        const fingerprint subject(100 + static_cast<std::uint64_t>(200 * std::pow(drawn, 3)));
        if (uniform(m_random) < m_options.harmfulShare) {
            added.harmful = uniformBelow(m_random, static_cast<std::uint32_t>(m_options.harmfulParts));
            const fingerprint part(10'000 + added.harmful);
            added.parts = m_options.harmfulFirst ? std::vector { part, shared, subject }
                                                 : std::vector { shared, part, subject };
        } else {
            added.parts = { shared, subject };
            m_result.soundInAll += 1;
        }
        send(std::move(added));
    }

    void send(request added)
    {
        vm& at = m_vms[added.vm];
        const part_verdict verdict = at.parts->judge(added.parts, m_now);
        bool allowed = verdict.decision == part_verdict::admission::Allowed;
        if (verdict.decision == part_verdict::admission::Probe && storeUp()) {
            // The store appends the claim only if the VM has read all records.
            const part_record claim = at.parts->probeClaim(verdict.part);
            allowed = at.read == m_topic.size();
            if (allowed)
                m_topic.push_back(claim);
            at.parts->probeClaimed(verdict.part, allowed, m_now);
        }
        const bool counts = added.harmful == soundOnly && added.attempt == 1;
        if (counts)
            m_soundSent.push_back({ m_now, false });
        if (!allowed) {
            m_result.soundRefused += counts;
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (m_servers[i].upAt <= m_now)
                up.push_back(i);
        }
        if (up.empty())
            return;
        added.server = up[uniformBelow(m_random, static_cast<std::uint32_t>(up.size()))];
        added.sentAt = m_now;
        added.beginsAt = m_now + between(100ms, 500ms);
        added.begun = added.proven = false;
        if (added.harmful != soundOnly)
            m_sentTimes[added.harmful].push_back(m_now);
        if (counts)
            m_soundIndex[m_nextId] = m_soundSent.size() - 1;
        m_requests.emplace(m_nextId++, std::move(added));
    }

    void advanceRequests()
    {
        std::vector<std::size_t> crashing;
        for (auto entry = m_requests.begin(); entry != m_requests.end();) {
            auto& [id, each] = *entry;
            if (!each.begun && m_now >= each.beginsAt) {
                each.begun = true;
                if (each.harmful != soundOnly && m_now >= start + m_options.harmfulFrom) {
                    crashing.push_back(each.server);
                    m_crashTimes[each.harmful].push_back(m_now);
                    m_result.crashes += 1;
                } else if (const auto sound = m_soundIndex.find(id); sound != m_soundIndex.end()) {
                    m_soundSent[sound->second].begun = true;
                }
            }
            if (each.begun && !each.proven && m_now >= each.beginsAt + 500ms) {
                each.proven = true;
                m_vms[each.vm].parts->proven(each.parts, each.beginsAt, m_now);
            }
            entry = each.begun && m_now >= each.beginsAt + 1s ? m_requests.erase(entry) : std::next(entry);
        }
        for (const std::size_t index : crashing)
            crashServer(index);
    }

    void crashHalf()
    {
        for (std::size_t i = 0; i < m_servers.size(); i += 2)
            crashServer(i);
    }

    void crashServer(std::size_t index)
    {
        server& crashed = m_servers[index];
        if (crashed.upAt > m_now)
            return;
        const fingerprint crash(1'000'000 * (index + 1) + crashed.generation);
        crashed.generation += 1;
        crashed.upAt = m_now + 3300ms;
        std::vector<request> again;
        for (auto entry = m_requests.begin(); entry != m_requests.end();) {
            request& each = entry->second;
            if (each.server != index) {
                ++entry;
                continue;
            }
            if (!each.proven)
                m_vms[each.vm].parts->crashed(crash, each.parts, each.sentAt, m_now);
            if (each.attempt == 1) {
                each.attempt = 2;
                again.push_back(each);
            }
            entry = m_requests.erase(entry);
        }
        for (request& each : again)
            send(std::move(each));
    }

    // A VM appends what it has found, and reads the topic at its interval.
    void exchange(std::size_t index)
    {
        vm& each = m_vms[index];
        const duration phase = m_options.readInterval * static_cast<int>(index) / static_cast<int>(m_vms.size());
        if ((m_now - start) % m_options.readInterval != phase / step * step || !storeUp())
            return;
        for (; each.read < m_topic.size(); ++each.read)
            each.parts->apply(m_topic[each.read], each.read, m_now);
        each.parts->tick(m_now);
        for (const part_record& record : each.parts->takeRecords())
            m_topic.push_back(record);
    }

    fleet_result summarize()
    {
        m_result.records = m_topic.size();
        mono_time allKnown = start;
        for (std::size_t i = 0; i < m_options.harmfulParts; ++i) {
            if (m_crashTimes[i].empty())
                continue;
            const mono_time last = m_crashTimes[i][std::min<std::size_t>(4, m_crashTimes[i].size() - 1)];
            const mono_time known = last + m_options.contact;
            const auto after = std::count_if(
                m_sentTimes[i].begin(), m_sentTimes[i].end(), [&](mono_time sent) { return sent > known; });
            m_result.sentAfter = std::max(m_result.sentAfter, static_cast<unsigned>(after));
            allKnown = std::max(allKnown, known + m_options.contact);
        }
        for (const auto& [sentAt, begun] : m_soundSent) {
            if (sentAt < allKnown || sentAt > start + m_options.length - 1s)
                continue;
            m_result.sound += 1;
            m_result.soundBegun += begun;
        }
        return m_result;
    }

    struct sound_request {
        mono_time sentAt;
        bool begun;
    };

    fleet_options m_options;
    random_engine m_random;
    std::vector<vm> m_vms;
    std::vector<server> m_servers;
    std::vector<std::vector<mono_time>> m_crashTimes; // by harmful part
    std::vector<std::vector<mono_time>> m_sentTimes;
    std::map<std::size_t, request> m_requests;
    std::map<std::size_t, std::size_t> m_soundIndex; // id to index in m_soundSent
    std::vector<sound_request> m_soundSent;
    std::vector<part_record> m_topic;
    std::size_t m_nextId = 0;
    mono_time m_now {};
    fleet_result m_result;
};

} // namespace

TEST_CASE("crashing part: requests that share it stop reaching servers, and sound ones go on")
{
    struct variant {
        const char* name;
        fleet_options options;
    };
    std::vector<variant> variants { { "nine VMs", {} }, { "first part", { .harmfulFirst = true } },
        { "three parts at once", { .harmfulShare = 0.06, .harmfulParts = 3 } },
        { "a third of all requests", { .harmfulShare = 0.3 } }, { "harmful since 10 s", { .harmfulFrom = 10s } },
        { "large fleet", { .vms = 195, .servers = 99, .requestsPerSecond = 300, .harmfulShare = 0.02, .contact = 5s } },
        { "beside other crashes", { .otherCrashes = 0.5 } },
        { "beside waves of crashes", { .waves = { 4s, 9s, 9200ms, 15s } } },
        { "beside restarts of half of the VMs", { .restarts = { 5s, 8s, 11s, 20s } } } };
    for (variant& each : variants) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            INFO(each.name << ", seed " << seed);
            each.options.seed = seed;
            const fleet_result result = fleet(each.options).run();
            INFO("crashes " << result.crashes << ", records " << result.records);
            CHECK(result.crashes > 0);
            // The users' bound.
            CHECK(result.sentAfter <= 3);
            CHECK(result.soundBegun * 2 >= result.sound);
            CHECK(result.sound > 100);
        }
    }
}

TEST_CASE("crashing part: evidence from before and during an outage of the store counts after it")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        fleet_options options { .seed = seed, .harmfulShare = 0.05, .storeDown = 3s, .storeDownFor = 6s };
        // The bound holds from `contact` after the end of the outage.
        options.contact = 12s;
        const fleet_result result = fleet(options).run();
        CHECK(result.sentAfter <= 3);
        CHECK(result.soundBegun * 2 >= result.sound);
    }
}

TEST_CASE("sound parts are not blocked when many servers crash without a harmful request")
{
    for (const double otherCrashes : { 0.5, 3.0 }) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            INFO(otherCrashes << " crashes a second, seed " << seed);
            fleet_options options { .seed = seed, .vms = 82, .servers = 112, .requestsPerSecond = 380 };
            options.harmfulShare = 0;
            options.otherCrashes = otherCrashes;
            options.waves = { 5s, 12s, 12500ms, 13s, 25s };
            const fleet_result result = fleet(options).run();
            INFO("records " << result.records);
            // One request in a hundred is refused at most.
            CHECK(result.soundRefused * 100 <= result.soundInAll);
        }
    }
}

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

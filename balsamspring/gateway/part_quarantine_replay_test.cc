// Replays of fleets whose servers crash, on virtual time.
#include "balsamspring/gateway/part_quarantine.h"

#include <algorithm>
#include <cmath>
#include <memory>

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

const mono_time start { 1h };

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

// Randomized, seeded simulations of several VMs in virtual time, with concurrent proposals, lost and delayed appends,
// retention, restarts, pauses, log outages and delayed peer messages.
#include "balsamspring/config/config_digest.h"
#include "balsamspring/config/config_follower.h"
#include "balsamspring/platform/memory_log.h"

#include <array>
#include <cstdlib>
#include <set>

#include <catch2/catch.hpp>
#include <fmt/core.h>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 100ms;
constexpr duration retention = 40s;
constexpr int vmCount = 4;
constexpr int faultSteps = 900;
constexpr int settleSteps = 900;

config_sources sourcesOf(std::uint32_t number, bool isValidAtSouth)
{
    const std::string base = fmt::format("[pools.p]\nkind = \"service\"\n[pipelines.q]\ndeadline_ms = {}\n"
                                         "[[pipelines.q.stages]]\nname = \"s\"\nkind = \"call\"\npool = \"p\"\n"
                                         "operation = \"o\"\n",
        1 + number % 3'000'000);
    const auto site = [](std::string_view address) {
        return fmt::format("[pools.p.servers.a]\naddress = \"{}\"\nzone = \"z\"\n", address);
    };
    return { { "base.toml", base },
        { { "north", { "north.toml", site("127.0.0.1:1") } },
            { "south", { "south.toml", site(isValidAtSouth ? "127.0.0.1:2" : "nowhere") } } } };
}

// Creates a proposal without the validation of makeProposal.
schema::config_proposal rawProposal(const config_sources& sources, std::uint64_t base, const std::string& id)
{
    schema::config_proposal proposal;
    proposal.set_base_version(base);
    proposal.set_id(id);
    *proposal.mutable_payload() = toPayload(sources);
    proposal.set_digest(configDigest(sources).value());
    return proposal;
}

// A log that reports a timeout for some appends and applies them later.
class delayed_append_log : public log_client {
public:
    delayed_append_log(memory_log& log, random_engine& random, const mono_time& now)
        : m_log(log)
        , m_random(random)
        , m_now(now)
    {
    }

    void append(
        std::string_view stream, std::vector<std::string> records, duration timeout, append_callback done) override
    {
        if (!delaysAppends || uniform(m_random) >= 0.2) {
            m_log.append(stream, std::move(records), timeout, std::move(done));
            return;
        }
        m_delayedAppends.emplace(m_now + fromSeconds(uniform(m_random) * 20), std::move(records.front()));
        done(makeError(error_code::Timeout, "append was not acknowledged"));
    }

    void read(
        std::string_view stream, log_offset from, std::size_t maxRecords, duration timeout, read_callback done) override
    {
        m_log.read(stream, from, maxRecords, timeout, std::move(done));
    }

    void tick()
    {
        while (!m_delayedAppends.empty() && m_delayedAppends.begin()->first <= m_now) {
            m_log.appendRaw(configStream, m_delayedAppends.begin()->second);
            m_delayedAppends.erase(m_delayedAppends.begin());
        }
    }

    bool delaysAppends = true;

private:
    memory_log& m_log;
    random_engine& m_random;
    const mono_time& m_now;
    std::multimap<mono_time, std::string> m_delayedAppends;
};

class simulation {
public:
    simulation(std::uint64_t seed, config_mechanisms mechanisms)
        : m_random(seed)
        , m_mechanisms(mechanisms)
        , m_memory(seed)
        , m_log(m_memory, m_random, m_now)
    {
        m_memory.setFaults(m_faults);
        for (int i = 0; i < vmCount; ++i)
            restart(i);
    }

    // Returns the violated invariant, or an empty string.
    std::string run()
    {
        for (int i = 0; i < faultSteps && m_violation.empty(); ++i) {
            injectFaults();
            advance();
        }
        m_memory.setFaults({});
        m_log.delaysAppends = false;
        m_isLogOut = false;
        for (vm& each : m_vms)
            each.pausedUntil = m_now;
        for (int i = 0; i < settleSteps && m_violation.empty(); ++i)
            advance();
        checkFinalState();
        return m_violation;
    }

    std::size_t versionCount() const { return m_acceptedByVersion.size(); }
    int snapshotStarts() const { return m_snapshotStarts; }

private:
    struct vm {
        std::unique_ptr<config_versions> versions;
        std::unique_ptr<config_follower> follower;
        mono_time pausedUntil;
        std::uint64_t highest = 0; // Over all incarnations.
        std::uint64_t incarnation = 0;
        bool isStarting = false;
    };

    struct message {
        int to;
        std::uint64_t incarnation;
        std::function<void(config_versions&)> deliver;
    };

    void reportViolation(std::string text)
    {
        if (m_violation.empty())
            m_violation = std::move(text);
    }

    static vm_id vmIdOf(int index) { return vm_id(std::to_string(index)); }

    int randomVm() { return static_cast<int>(uniformBelow(m_random, vmCount)); }
    bool withProbability(double probability) { return uniform(m_random) < probability; }
    duration randomDuration(double seconds) { return fromSeconds(uniform(m_random) * seconds); }

    void restart(int index)
    {
        vm& each = m_vms[static_cast<std::size_t>(index)];
        each.follower.reset();
        ++each.incarnation;
        each.isStarting = true;
        each.pausedUntil = m_now;
        config_versions_options options;
        options.site = index % 2 ? "north" : "south";
        options.retention = retention;
        options.mechanisms = m_mechanisms;
        options.load = [this](const config_sources& sources) {
            return load(sources);
        };
        config_versions_hooks hooks;
        hooks.appendRecord = [this, index](std::string record) {
            m_vms[static_cast<std::size_t>(index)].follower->appendOnce(std::move(record));
        };
        hooks.versionChanged = [this, index](const config_handle& handle) {
            onVersionChanged(index, *handle);
        };
        hooks.fetchFromPeer = [this, index](const vm_id& peer) {
            fetchSnapshot(index, std::stoi(peer.value()));
        };
        each.versions = std::make_unique<config_versions>(options, hooks, random_engine(m_random()), m_now);
        each.follower = std::make_unique<config_follower>(config_follower_options {}, m_log, *each.versions,
            control_hooks { [](const std::function<void()>& task) { task(); },
                [this] {
                    return m_now;
                } },
            random_engine(m_random()));
    }

    checked<site_configurations> load(const config_sources& sources)
    {
        const std::string key = sources.base.text + sources.overlays.find("south")->second.text;
        const auto found = m_loaded.find(key);
        return found != m_loaded.end() ? found->second : m_loaded.emplace(key, loadAllSites(sources)).first->second;
    }

    void onVersionChanged(int index, const config_in_force& version)
    {
        vm& each = m_vms[static_cast<std::size_t>(index)];
        const std::uint64_t number = version.version.value();
        if (number < each.highest)
            reportViolation(fmt::format("VM {} reverted from version {} to {}", index, each.highest, number));
        each.highest = std::max(each.highest, number);
        m_snapshotStarts += each.isStarting && m_tails.front().second.value() > 0;
        each.isStarting = false;
        for (const schema::accepted_proposal& entry : each.versions->history()) {
            const auto [known, isNew] = m_acceptedByVersion.emplace(entry.version(), entry.id());
            if (known->second != entry.id())
                reportViolation(fmt::format(
                    "version {} was assigned to both {} and {}", entry.version(), known->second, entry.id()));
            const std::uint64_t base = m_baseOf.at(entry.id());
            const auto [accepted, isFirst] = m_acceptedByBase.emplace(base, entry.id());
            if (accepted->second != entry.id())
                reportViolation(fmt::format(
                    "base version {} has two accepted proposals, {} and {}", base, accepted->second, entry.id()));
        }
    }

    void fetchSnapshot(int to, int from)
    {
        const auto record = m_vms[static_cast<std::size_t>(from)].versions->snapshotRecord();
        if (record)
            send(to, [record = *record, this](config_versions& v) { v.peerSnapshotReceived(record, m_now); });
    }

    void send(int to, std::function<void(config_versions&)> deliver)
    {
        m_messages.emplace(m_now + randomDuration(withProbability(0.2) ? 10 : 0.2),
            message { to, m_vms[static_cast<std::size_t>(to)].incarnation, std::move(deliver) });
    }

    void propose()
    {
        const int proposalCount = withProbability(0.3) ? 2 : 1;
        const std::uint64_t base = m_vms[static_cast<std::size_t>(randomVm())].versions->version().value();
        for (int i = 0; i < proposalCount; ++i) {
            const std::string id = fmt::format("p{}", ++m_proposals);
            auto proposal = rawProposal(sourcesOf(m_random(), !withProbability(0.1)), base, id);
            if (withProbability(0.05))
                proposal.set_digest("other");
            m_baseOf[id] = base;
            const int copies = withProbability(0.2) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
                m_log.append(configStream, { encodeRecord(proposal) }, 1s, [](const result<log_offset>&) {});
        }
    }

    void injectFaults()
    {
        if (withProbability(0.02))
            propose();
        if (withProbability(0.005))
            m_memory.appendRaw(configStream, "not a record");
        if (withProbability(0.008))
            restart(randomVm());
        if (withProbability(0.001)) {
            for (int i = 0; i < vmCount; ++i)
                restart(i);
        }
        // Pauses one VM at a time, so that another one can publish the snapshot.
        if (withProbability(0.004) && m_now >= m_pauseEnds) {
            m_pauseEnds = m_now + randomDuration(60);
            m_vms[static_cast<std::size_t>(randomVm())].pausedUntil = m_pauseEnds;
        }
        if (m_isLogOut ? m_now >= m_outageEnds : withProbability(0.003)) {
            m_isLogOut = !m_isLogOut;
            m_outageEnds = m_now + randomDuration(6);
            log_faults faults = m_faults;
            faults.out = m_isLogOut;
            m_memory.setFaults(faults);
        }
    }

    void advance()
    {
        m_now += step;
        m_log.tick();
        applyRetention();
        for (int i = 0; i < vmCount; ++i) {
            vm& each = m_vms[static_cast<std::size_t>(i)];
            if (m_now < each.pausedUntil)
                continue;
            each.follower->tick(m_now);
            if (!withProbability(0.1))
                continue;
            const int to = randomVm();
            send(to,
                [i, version = each.versions->version(), digest = each.versions->digest(), this](
                    config_versions& v) { v.peerReported(vmIdOf(i), version, digest, m_now); });
        }
        deliver();
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            const message item = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            vm& each = m_vms[static_cast<std::size_t>(item.to)];
            if (each.incarnation != item.incarnation)
                continue;
            if (m_now < each.pausedUntil)
                m_messages.emplace(each.pausedUntil, item);
            else
                item.deliver(*each.versions);
        }
    }

    void applyRetention()
    {
        const log_offset tail = tailOf();
        m_tails.emplace_back(m_now, tail);
        while (m_tails.front().first < m_now - retention) {
            m_memory.trim(configStream, m_tails.front().second);
            m_tails.pop_front();
        }
    }

    log_offset tailOf()
    {
        log_offset tail = m_tails.empty() ? log_offset(0) : m_tails.back().second;
        m_memory.read(configStream, tail, 1'000'000, 1s, [&](const result<log_page>& page) {
            if (page)
                tail = page->next;
        });
        return tail;
    }

    void checkFinalState()
    {
        const config_versions& first = *m_vms.front().versions;
        const std::uint64_t expected = m_acceptedByVersion.empty() ? 0 : m_acceptedByVersion.rbegin()->first;
        for (int i = 0; i < vmCount; ++i) {
            const config_versions& each = *m_vms[static_cast<std::size_t>(i)].versions;
            const auto expectedCondition = expected ? config_condition::Current : config_condition::Empty;
            if (each.condition() != expectedCondition)
                reportViolation(fmt::format("VM {} is {} after the faults ended", i, toString(each.condition())));
            if (each.version().value() < expected || each.digest() != first.digest())
                reportViolation(fmt::format(
                    "VM {} has version {} after the faults ended, not {}", i, each.version().value(), expected));
        }
    }

    random_engine m_random;
    config_mechanisms m_mechanisms;
    log_faults m_faults { .loseAck = 0.1, .dropAppend = 0.1, .duplicate = 0.1 };
    mono_time m_now;
    memory_log m_memory;
    delayed_append_log m_log;
    std::array<vm, vmCount> m_vms;
    std::map<std::string, checked<site_configurations>> m_loaded;
    std::multimap<mono_time, message> m_messages;
    std::deque<std::pair<mono_time, log_offset>> m_tails;
    std::map<std::uint64_t, std::string> m_acceptedByVersion; // Proposal id by version, over all VMs.
    std::map<std::string, std::uint64_t> m_baseOf;
    std::map<std::uint64_t, std::string> m_acceptedByBase; // Proposal id by base version.
    mono_time m_pauseEnds;
    mono_time m_outageEnds;
    bool m_isLogOut = false;
    int m_proposals = 0;
    int m_snapshotStarts = 0;
    std::string m_violation;
};

std::uint64_t historyCount()
{
    const char* text = std::getenv("BALSAMSPRING_HISTORIES");
    return text ? std::strtoull(text, nullptr, 10) : 200;
}

// Runs seeds until one gives a violation, and prints it.
bool findsViolation(std::string_view mechanism, config_mechanisms mechanisms)
{
    constexpr std::uint64_t limit = 200;
    for (std::uint64_t seed = 1; seed <= limit; ++seed) {
        const std::string violation = simulation(seed, mechanisms).run();
        if (violation.empty())
            continue;
        fmt::print("{} off: found by seed {} after {} histories: {}\n", mechanism, seed, seed, violation);
        return true;
    }
    return false;
}

} // namespace

TEST_CASE("versions never decrease, one proposal per base is accepted and all VMs converge")
{
    const std::uint64_t count = historyCount();
    std::size_t versions = 0;
    int starts = 0;
    const mono_time start = monotonicNow();
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        simulation history(seed, {});
        const std::string violation = history.run();
        versions += history.versionCount();
        starts += history.snapshotStarts();
        INFO("seed " << seed << ": " << violation);
        REQUIRE(violation.empty());
    }
    const double seconds = toSeconds(monotonicNow() - start);
    fmt::print("{} histories of {} VMs, {} versions, {} starts from snapshots, {:.1f} histories/s\n", count, vmCount,
        versions, starts, static_cast<double>(count) / seconds);
    // Fails when the simulations create too few versions or snapshot starts to be meaningful.
    CHECK(versions > count);
    CHECK(starts > static_cast<int>(count));
}

TEST_CASE("disabling any of the mechanisms leads to a detected violation")
{
    CHECK(findsViolation("as_of check", { .checkAsOf = false }));
    CHECK(findsViolation("base_version check", { .checkBaseVersion = false }));
    CHECK(findsViolation("only-higher adoption", { .adoptOnlyHigher = false }));
}

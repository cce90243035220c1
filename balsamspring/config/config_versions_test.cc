#include "balsamspring/config/config_digest.h"
#include "balsamspring/config/config_follower.h"
#include "balsamspring/platform/memory_log.h"

#include <catch2/catch.hpp>
#include <fmt/core.h>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

config_sources sourcesOf(int deadline, const std::string& southAddress = "127.0.0.1:2")
{
    const auto site = [](const std::string& address) {
        return fmt::format("[pools.p.servers.a]\naddress = \"{}\"\nzone = \"z\"\n", address);
    };
    return { { "base.toml",
                 fmt::format("[pools.p]\nkind = \"service\"\n[pipelines.q]\ndeadline_ms = {}\n"
                             "[[pipelines.q.stages]]\nname = \"s\"\nkind = \"call\"\npool = \"p\"\noperation = \"o\"\n",
                     deadline) },
        { { "north", { "north.toml", site("127.0.0.1:1") } }, { "south", { "south.toml", site(southAddress) } } } };
}

schema::config_proposal proposalOf(std::uint64_t base, const std::string& id, int deadline)
{
    return makeProposal(sourcesOf(deadline), config_version(base), id, "operator").value();
}

// One VM that reads a log in virtual time.
struct test_vm {
    explicit test_vm(log_client& log, const std::string& site = "north")
        : versions({ .site = site, .retention = 400s },
            { .appendRecord = [this](std::string record) { follower.appendOnce(std::move(record)); },
                .proposalDecided = [this](const proposal_outcome& outcome) { decided.push_back(outcome); },
                .fetchFromPeer =
                    [this](const vm_id&) {
                        ++fetches;
                    } },
            random_engine(1), now)
        , follower({}, log, versions, thread(), random_engine(2))
        , publisher({}, log, versions, follower, thread(), random_engine(3))
    {
    }

    control_hooks thread()
    {
        return { [](const std::function<void()>& task) { task(); },
            [this] {
                return now;
            } };
    }

    void run(duration time)
    {
        for (const mono_time end = now + time; now < end; now += 100ms) {
            follower.tick(now);
            publisher.tick(now);
        }
    }

    mono_time now;
    std::vector<proposal_outcome> decided;
    int fetches = 0;
    config_versions versions;
    config_follower follower;
    config_publisher publisher;
};

// A log that accepts calls and never invokes their callbacks.
class hanging_log : public log_client {
public:
    void append(std::string_view, std::vector<std::string>, duration, append_callback) override { }
    void read(std::string_view, log_offset, std::size_t, duration, read_callback) override { ++reads; }

    int reads = 0;
};

std::string snapshotOf(std::uint64_t version, std::uint64_t asOf, int deadline)
{
    const auto proposal = proposalOf(0, "x", deadline);
    schema::config_snapshot snapshot;
    snapshot.set_version(version);
    *snapshot.mutable_payload() = proposal.payload();
    snapshot.set_digest(proposal.digest());
    snapshot.set_as_of(asOf);
    return encodeRecord(snapshot);
}

} // namespace

TEST_CASE("of two concurrent proposals one is accepted and the other is rejected with both versions in its message")
{
    memory_log log;
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1)));
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "b", 2)));
    test_vm vm(log);
    vm.run(2s);
    REQUIRE(vm.versions.version() == config_version(1));
    REQUIRE(vm.versions.outcomeOf("b")->message == "based on version 0, current is 1");
    REQUIRE(vm.versions.inForce()->configuration->pipelines().at("q").deadline_ms() == 1);
}

TEST_CASE("a proposal whose acknowledgement is lost or whose record appears twice is accepted once")
{
    memory_log log;
    test_vm vm(log);
    vm.run(2s);
    log.setFaults({ .loseAck = 1, .duplicate = 1 });
    REQUIRE(vm.publisher.publish(proposalOf(0, "a", 1), 20s, vm.now));
    vm.run(8s);
    REQUIRE(vm.publisher.find("a")->phase == publication_phase::Decided);
    REQUIRE(vm.publisher.find("a")->outcome.version == config_version(1));
    REQUIRE(vm.versions.version() == config_version(1));
    REQUIRE(vm.publisher.publish(proposalOf(0, "a", 1), 20s, vm.now));
    REQUIRE(vm.publisher.publish(proposalOf(1, "a", 2), 20s, vm.now).error().code == error_code::AlreadyExists);
    REQUIRE(vm.publisher.publish(proposalOf(0, "b", 2), 20s, vm.now).error().code == error_code::Conflict);
}

TEST_CASE("a proposal that is invalid for one site is refused at every site")
{
    memory_log log;
    auto proposal = proposalOf(0, "a", 1);
    const config_sources sources = sourcesOf(1, "nowhere");
    *proposal.mutable_payload() = toPayload(sources);
    proposal.set_digest(configDigest(sources).value());
    log.appendRaw(configStream, encodeRecord(proposal));
    for (const char* site : { "north", "south" }) {
        test_vm vm(log, site);
        vm.run(2s);
        REQUIRE(vm.versions.outcomeOf("a")->verdict == proposal_verdict::Invalid);
        REQUIRE(vm.versions.outcomeOf("a")->message.find("south.toml:2:1") != std::string::npos);
        REQUIRE(vm.versions.condition() == config_condition::Empty);
    }
}

TEST_CASE("a start after retention needs a snapshot that reaches the first readable record")
{
    memory_log log;
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1))); // 0
    log.appendRaw(configStream, encodeRecord(proposalOf(1, "b", 2))); // 1
    log.appendRaw(configStream, snapshotOf(1, 0, 1)); // 2, by a writer that had not read record 1
    log.appendRaw(configStream, encodeRecord(proposalOf(2, "c", 3))); // 3
    log.trim(configStream, log_offset(2));
    test_vm vm(log);
    vm.run(3s);
    REQUIRE(vm.versions.condition() == config_condition::Unknown);
    REQUIRE(vm.versions.inForce() == nullptr);
    log.appendRaw(configStream, snapshotOf(2, 2, 2)); // 4
    vm.run(3s);
    REQUIRE(vm.versions.version() == config_version(3));
    REQUIRE(vm.versions.condition() == config_condition::Current);
}

TEST_CASE("a running VM that missed removed records keeps its version until a snapshot arrives")
{
    memory_log log;
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1)));
    test_vm vm(log);
    vm.run(2s);
    log.appendRaw(configStream, encodeRecord(proposalOf(1, "b", 2)));
    log.appendRaw(configStream, encodeRecord(proposalOf(2, "c", 3)));
    log.trim(configStream, log_offset(2));
    vm.run(2s);
    REQUIRE(vm.versions.version() == config_version(1));
    REQUIRE(vm.versions.condition() == config_condition::Behind);
    REQUIRE(isReady(vm.versions.condition()));
    log.appendRaw(configStream, snapshotOf(3, 2, 3));
    vm.run(2s);
    REQUIRE(vm.versions.version() == config_version(3));
    REQUIRE(vm.versions.condition() == config_condition::Current);
}

TEST_CASE("a snapshot of a peer at the same version closes a gap, and fetches from peers are rate limited")
{
    memory_log log;
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1)));
    test_vm vm(log);
    vm.run(2s);
    log.appendRaw(configStream, "removed");
    log.appendRaw(configStream, encodeRecord(proposalOf(1, "b", 2)));
    log.trim(configStream, log_offset(2));
    vm.run(2s);
    for (int second = 0; second < 100; ++second) {
        vm.versions.peerReported(vm_id("p"), config_version(1), vm.versions.digest(), vm.now);
        vm.run(1s);
    }
    REQUIRE(vm.fetches == 1);
    vm.versions.peerSnapshotReceived(snapshotOf(1, 0, 1), vm.now); // The peer lags, too.
    REQUIRE(vm.versions.condition() == config_condition::Behind);
    vm.versions.peerSnapshotReceived(snapshotOf(1, 1, 1), vm.now);
    vm.run(2s);
    REQUIRE(vm.versions.version() == config_version(2));
    REQUIRE(vm.versions.condition() == config_condition::Current);
}

TEST_CASE("a VM that starts during a log outage is not ready and adopts no version from peers")
{
    memory_log log;
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1)));
    log.setFaults({ .out = true });
    test_vm vm(log);
    vm.run(20s);
    vm.versions.peerReported(vm_id("p"), config_version(7), "d", vm.now);
    vm.versions.peerSnapshotReceived(snapshotOf(7, 9, 1), vm.now);
    REQUIRE(vm.fetches == 0);
    REQUIRE(vm.versions.condition() == config_condition::Unknown);
    log.setFaults({});
    vm.run(6s);
    REQUIRE(vm.versions.version() == config_version(1));
}

TEST_CASE("a running VM adopts a higher version of a peer and ignores a lower one")
{
    memory_log log;
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1)));
    test_vm vm(log);
    vm.run(2s);
    vm.versions.peerReported(vm_id("p"), config_version(0), "", vm.now);
    REQUIRE(vm.fetches == 0);
    vm.versions.peerReported(vm_id("p"), config_version(3), "d", vm.now);
    REQUIRE(vm.fetches == 1);
    vm.versions.peerSnapshotReceived(snapshotOf(3, 0, 3), vm.now);
    REQUIRE(vm.versions.version() == config_version(3));
    vm.versions.peerSnapshotReceived(snapshotOf(2, 0, 2), vm.now);
    REQUIRE(vm.versions.version() == config_version(3));
    vm.versions.peerReported(vm_id("p"), config_version(3), "other", vm.now);
    REQUIRE(vm.versions.condition() == config_condition::Diverged);
}

TEST_CASE("a record of an unknown schema blocks proposals until a snapshot covers it; a corrupt one is skipped")
{
    memory_log log;
    log.appendRaw(configStream, "garbage");
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1)));
    log.appendRaw(configStream, encodeRecord(9, schema::config_record::proposal, "x"));
    log.appendRaw(configStream, encodeRecord(proposalOf(1, "b", 2)));
    test_vm vm(log);
    vm.run(2s);
    REQUIRE(vm.versions.corruptRecords() == 1);
    REQUIRE(vm.versions.version() == config_version(1));
    REQUIRE(vm.versions.condition() == config_condition::SchemaUnknown);
    REQUIRE_FALSE(isReady(vm.versions.condition()));
    log.appendRaw(configStream, snapshotOf(2, 2, 5)); // The unknown record became version 2.
    vm.run(2s);
    REQUIRE(vm.versions.version() == config_version(2));
    REQUIRE(vm.versions.condition() == config_condition::Current);
}

TEST_CASE("snapshots are appended before retention ends and contain the history that identifies retries")
{
    memory_log log;
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1)));
    test_vm first(log);
    first.run(120s);
    log.trim(configStream, log_offset(1));
    test_vm second(log);
    second.run(2s);
    REQUIRE(second.versions.version() == config_version(1));
    REQUIRE(second.versions.outcomeOf("a")->message == "accepted as version 1");
    REQUIRE(second.versions.history().front().author() == "operator");
}

TEST_CASE("during an outage the version stays in force and is marked stale")
{
    memory_log log;
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1)));
    test_vm vm(log);
    vm.run(2s);
    log.setFaults({ .out = true });
    vm.run(4s);
    REQUIRE(vm.versions.condition() == config_condition::Current);
    vm.run(3600s);
    REQUIRE(vm.versions.condition() == config_condition::Stale);
    REQUIRE(vm.versions.inForce()->version == config_version(1));
    log.setFaults({});
    vm.run(6s);
    REQUIRE(vm.versions.condition() == config_condition::Current);
}

TEST_CASE("reads of a log that never answers are abandoned and retried with backoff")
{
    hanging_log log;
    test_vm vm(log);
    vm.run(100s);
    // Each attempt takes the hang timeout of 3 s and a backoff of at most 5 s.
    REQUIRE(log.reads >= 100 / 8);
    REQUIRE(log.reads <= 100 / 3 + 1);
}

TEST_CASE("after all VMs and all snapshots were lost an operator restores a version that every VM adopts")
{
    memory_log log;
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1)));
    log.appendRaw(configStream, encodeRecord(proposalOf(1, "b", 2)));
    log.trim(configStream, log_offset(2));
    test_vm first(log);
    REQUIRE_FALSE(first.versions.restoreRecord(sourcesOf(2), config_version(3), "ann"));
    first.run(2s);
    REQUIRE(first.versions.condition() == config_condition::Unknown);
    log.appendRaw(configStream, *first.versions.restoreRecord(sourcesOf(2), config_version(3), "ann"));
    test_vm second(log);
    for (test_vm* vm : { &first, &second }) {
        vm->run(3s);
        REQUIRE(vm->versions.version() == config_version(3));
        REQUIRE(vm->versions.condition() == config_condition::Current);
        REQUIRE_FALSE(vm->versions.restoreRecord(sourcesOf(2), config_version(4), "ann"));
    }
}

TEST_CASE("a snapshot that claims to cover records after its own is rejected")
{
    memory_log log;
    log.appendRaw(configStream, "removed");
    log.appendRaw(configStream, snapshotOf(5, 9, 1));
    log.trim(configStream, log_offset(1));
    test_vm vm(log);
    vm.run(3s);
    REQUIRE(vm.versions.condition() == config_condition::Unknown);
    REQUIRE(vm.versions.corruptRecords() == 1);
}

TEST_CASE("a proposal that was given up can be published again, and a VM behind the base answers Unavailable")
{
    memory_log log;
    test_vm vm(log);
    vm.run(2s);
    log.setFaults({ .dropAppend = 1 });
    REQUIRE(vm.publisher.publish(proposalOf(0, "a", 1), 5s, vm.now));
    vm.run(6s);
    REQUIRE(vm.publisher.find("a")->phase == publication_phase::GivenUp);
    log.setFaults({});
    REQUIRE(vm.publisher.publish(proposalOf(0, "a", 1), 5s, vm.now));
    vm.run(2s);
    REQUIRE(vm.publisher.find("a")->outcome.verdict == proposal_verdict::Accepted);
    REQUIRE(vm.publisher.publish(proposalOf(4, "b", 1), 5s, vm.now).error().code == error_code::Unavailable);
}

TEST_CASE("a VM whose site has no overlay reports SiteUnknown and has no configuration")
{
    memory_log log;
    log.appendRaw(configStream, encodeRecord(proposalOf(0, "a", 1)));
    test_vm vm(log, "west");
    vm.run(2s);
    REQUIRE(vm.versions.condition() == config_condition::SiteUnknown);
    REQUIRE(vm.versions.inForce()->configuration == nullptr);
}

TEST_CASE("the digest ignores comments and file names, and the difference lists changed keys")
{
    config_sources other = sourcesOf(1);
    other.base.text = "# comment\n" + other.base.text + "\n";
    other.base.file = "renamed.toml";
    REQUIRE(configDigest(other).value() == configDigest(sourcesOf(1)).value());
    REQUIRE(configDigest(sourcesOf(2)).value() != configDigest(sourcesOf(1)).value());
    const auto changes = diffConfigurations(
        loadConfiguration(sourcesOf(1), "north").value(), loadConfiguration(sourcesOf(2), "north").value());
    REQUIRE(changes == std::vector<config_change> { { "pipelines.q.deadline_ms", "1", "2" } });
}

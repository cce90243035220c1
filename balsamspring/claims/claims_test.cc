#include "balsamspring/claims/claim_runtime.h"
#include "balsamspring/platform/memory_log.h"

#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

const team_id team("ledger");

// One VM with an in-memory log and a virtual clock. Posted functions run within `advance`.
struct test_vm {
    explicit test_vm(memory_log& log, const std::string& name = "vm1", internal::claim_mechanisms mechanisms = {})
        : claims(log, options(), "secret", { vm_id(name), incarnation(1) },
            { [this](std::function<void()> task) { tasks.push_back(std::move(task)); },
                [this] {
                    return now;
                } },
            random_engine(7), mechanisms)
    {
        advance(20ms);
    }

    static claim_options options()
    {
        claim_options options;
        options.partitions = 1;
        return options;
    }

    void advance(duration time)
    {
        for (const mono_time end = now + time; now < end; now += 1ms) {
            claims.tick();
            while (!tasks.empty()) {
                const auto task = std::move(tasks.front());
                tasks.pop_front();
                task();
            }
        }
    }

    keyed_call call(const std::string& key, const std::string& body = "{}")
    {
        return { key, team, "transfer", body, now + 6s,
            [this](const send_permit&, send_callback done) {
                ++sends;
                if (autoAnswer)
                    done(sendAnswer);
                else
                    pendingSend = std::move(done);
            },
            [this](const claim_answer& answer) {
                answers.push_back(answer);
            } };
    }

    mono_time now;
    std::deque<std::function<void()>> tasks;
    send_result sendAnswer = call_outcome { 200, "done" };
    bool autoAnswer = true;
    send_callback pendingSend;
    int sends = 0;
    std::vector<claim_answer> answers;
    claim_runtime claims;
};

} // namespace

TEST_CASE("a call key is valid only for the team it was issued to, and any altered character invalidates it")
{
    const call_key_signer signer("secret");
    const std::string text = signer.issue(team, { 3, { log_offset(17), 5 } });
    REQUIRE(signer.verify(team, text)->id.offset == log_offset(17));
    REQUIRE_FALSE(signer.verify(team_id("other"), text).has_value());
    REQUIRE_FALSE(call_key_signer("other").verify(team, text).has_value());
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == '7' ? '8' : '7';
        if (changed != text)
            REQUIRE_FALSE(signer.verify(team, changed).has_value());
    }
    REQUIRE_FALSE(signer.verify(team, "").has_value());
    REQUIRE_FALSE(signer.verify(team, std::string(1 << 20, '.')).has_value());
}

TEST_CASE("a call is sent once, and later requests with its key get the recorded result")
{
    memory_log log;
    test_vm vm(log);
    const std::string key = vm.claims.issueKey(team).value();
    vm.claims.run(vm.call(key));
    vm.advance(100ms);
    vm.claims.run(vm.call(key));
    vm.advance(100ms);
    REQUIRE(vm.sends == 1);
    REQUIRE(vm.answers.size() == 2);
    for (const claim_answer& answer : vm.answers) {
        REQUIRE(answer.work == work_state::Completed);
        REQUIRE(answer.body == "done");
    }
}

namespace {

const key_id testKey { log_offset(0), 1 };

// Applies the records, starting at offset 0, and returns the resulting phase of `testKey`.
key_phase phaseAfter(const std::vector<claim_log_entry>& entries, internal::claim_mechanisms mechanisms = {})
{
    claim_book book(mechanisms);
    log_page page;
    for (const claim_log_entry& entry : entries)
        page.records.push_back({ log_offset(page.records.size()), encode(entry) });
    page.next = log_offset(entries.size());
    book.apply(log_offset(0), page, mono_time());
    return book.state(testKey).phase;
}

claim_log_entry claimBy(std::uint64_t nonce) { return { testKey, claim_entry { "digest", nonce, vm_id("vm1"), {} } }; }
claim_log_entry closeBy(std::uint64_t nonce) { return { testKey, close_entry { nonce } }; }
claim_log_entry outcomeBy(std::uint64_t nonce) { return { testKey, outcome_entry { nonce, 200, "done", false } }; }
claim_log_entry settled(bool ran) { return { testKey, settlement_entry { "operator", ran, "" } }; }

} // namespace

TEST_CASE("each sequence of records leads to one defined phase")
{
    using enum key_phase;
    struct row {
        const char* name;
        std::vector<claim_log_entry> records;
        key_phase phase;
        bool internal::claim_mechanisms::*mechanism; // disabling it changes the phase; null for rows without a switch
    };
    const std::vector<row> rows {
        { "a duplicated claim record is ignored", { claimBy(1), claimBy(1) }, Claimed, nullptr },
        { "a later claim is void", { claimBy(1), claimBy(2), closeBy(2) }, Claimed,
            &internal::claim_mechanisms::duplicateIsVoid },
        { "a close of a free key is final", { closeBy(0), claimBy(1), outcomeBy(1) }, Closed, nullptr },
        { "a close after a claim is valid only from its holder", { claimBy(1), closeBy(0) }, Claimed,
            &internal::claim_mechanisms::closeOnlyByHolder },
        { "the holder closes its claim", { claimBy(1), closeBy(1), outcomeBy(1) }, Closed, nullptr },
        { "an outcome is valid only from the holder", { claimBy(1), outcomeBy(2) }, Claimed,
            &internal::claim_mechanisms::outcomeOnlyByHolder },
        { "an outcome is final", { claimBy(1), outcomeBy(1), closeBy(1), settled(false) }, Completed, nullptr },
        { "a settlement without a claim is ignored", { settled(true) }, Free, nullptr },
        { "a second settlement is ignored", { claimBy(1), settled(true), settled(false) }, SettledRan, nullptr },
        { "an outcome overrides a settlement", { claimBy(1), settled(false), outcomeBy(1) }, Completed,
            &internal::claim_mechanisms::outcomeOverSettlement },
        { "a close does not override a settlement that the call ran", { claimBy(1), settled(true), closeBy(1) },
            SettledRan, nullptr },
    };
    for (const row& row : rows) {
        INFO(row.name);
        CHECK(phaseAfter(row.records) == row.phase);
        if (!row.mechanism)
            continue;
        internal::claim_mechanisms disabled;
        disabled.*row.mechanism = false;
        CHECK(phaseAfter(row.records, disabled) != row.phase);
    }
}

TEST_CASE("keys whose records may have been trimmed from the log are discarded and reported as expired")
{
    claim_book book;
    log_page page { { { log_offset(0), encode(claimBy(1)) } }, log_offset(0), log_offset(1), true };
    book.apply(log_offset(0), page, mono_time());
    REQUIRE(book.size() == 1);
    // The next page starts after a gap and contains a claim by a VM that has not read the first claim.
    log_page laterPage { { { log_offset(9), encode(claimBy(2)) } }, log_offset(9), log_offset(10), true };
    book.apply(log_offset(1), laterPage, mono_time());
    REQUIRE(book.size() == 0);
    REQUIRE(book.coverage(testKey) == key_coverage::Expired);
}

TEST_CASE("a record of an unknown schema makes the keys issued before it unreadable, and a corrupt record is skipped")
{
    claim_book book;
    log_page page { { { log_offset(0), "\xff" }, { log_offset(1), std::string("\x08\x63", 2) } }, log_offset(0),
        log_offset(2), true };
    book.apply(log_offset(0), page, mono_time());
    REQUIRE(book.counters().corrupt == 1);
    REQUIRE(book.coverage(testKey) == key_coverage::Unreadable);
    REQUIRE(book.coverage({ log_offset(2), 1 }) == key_coverage::Covered);
}

TEST_CASE("two VMs that receive calls with the same key concurrently send only one of them")
{
    memory_log log;
    test_vm first(log, "vm1");
    test_vm second(log, "vm2");
    const std::string key = first.claims.issueKey(team).value();
    first.claims.run(first.call(key));
    second.claims.run(second.call(key));
    for (int i = 0; i < 1200; ++i) {
        first.advance(1ms);
        second.advance(1ms);
    }
    REQUIRE(first.sends + second.sends == 1);
    REQUIRE(first.claims.book(0)->digest() == second.claims.book(0)->digest());
}

TEST_CASE("a call is sent once despite a lost append acknowledgement or a duplicated record")
{
    for (const log_faults& faults : { log_faults { .loseAck = 1 }, log_faults { .duplicate = 1 } }) {
        memory_log log;
        test_vm vm(log);
        const std::string key = vm.claims.issueKey(team).value();
        log.setFaults(faults);
        vm.claims.run(vm.call(key));
        vm.advance(100ms);
        REQUIRE(vm.sends == 1);
        REQUIRE(vm.answers.at(0).work == work_state::Completed);
    }
}

TEST_CASE("the outcome of a call is recorded after a log outage, by retries")
{
    for (const bool retry : { true, false }) {
        memory_log log;
        test_vm vm(log, "vm1", { .outcomeRetry = retry });
        vm.autoAnswer = false;
        const std::string key = vm.claims.issueKey(team).value();
        vm.claims.run(vm.call(key));
        vm.advance(100ms);
        REQUIRE(vm.sends == 1);
        log.setFaults({ .out = true });
        vm.pendingSend(call_outcome { 200, "done" });
        vm.advance(3s);
        vm.claims.drain();
        REQUIRE_FALSE(vm.claims.drained());
        log.setFaults({});
        vm.advance(3s);
        REQUIRE(vm.claims.drained() == retry);
        REQUIRE((!vm.answers.empty() && vm.answers[0].work == work_state::Completed) == retry);
    }
}

TEST_CASE("a late response of a backend server is recorded, and not_run is not reported before it")
{
    memory_log log;
    test_vm vm(log);
    vm.autoAnswer = false;
    const std::string key = vm.claims.issueKey(team).value();
    vm.claims.run(vm.call(key));
    vm.advance(100ms);
    vm.pendingSend(makeError(error_code::Timeout, "no answer"));
    vm.advance(100ms);
    REQUIRE(vm.answers.at(0).work == work_state::Running);
    REQUIRE(vm.answers.at(0).thisAttempt == work_state::Unknown);
    vm.pendingSend(call_outcome { 200, "late" });
    vm.advance(100ms);
    vm.claims.run(vm.call(key));
    vm.advance(100ms);
    REQUIRE(vm.answers.at(1).work == work_state::Completed);
    REQUIRE(vm.answers.at(1).body == "late");
    REQUIRE(vm.sends == 1);
}

TEST_CASE("a holder that was paused beyond its send window closes its claim and does not send")
{
    for (const bool windowEnabled : { true, false }) {
        memory_log log;
        test_vm vm(log, "vm1", { .sendWindow = windowEnabled });
        const std::string key = vm.claims.issueKey(team).value();
        keyed_call call = vm.call(key);
        call.deadline = vm.now + 1h;
        vm.claims.run(std::move(call));
        vm.advance(6ms); // the claim is appended
        vm.now += 60s;
        vm.advance(100ms);
        REQUIRE((vm.sends == 0) == windowEnabled);
    }
}

TEST_CASE("the claim of a crashed VM has state unknown until an operator settles it")
{
    memory_log log;
    std::string key;
    {
        test_vm crashedVm(log);
        crashedVm.autoAnswer = false;
        key = crashedVm.claims.issueKey(team).value();
        crashedVm.claims.run(crashedVm.call(key));
        crashedVm.advance(100ms);
    }
    test_vm vm(log, "vm2");
    const auto recordAnswer = [&](const claim_answer& answer) {
        vm.answers.push_back(answer);
    };
    vm.claims.settle(key, team, { "operator", true, "" }, vm.now + 1s, recordAnswer);
    vm.advance(100ms);
    REQUIRE(vm.answers.at(0).reason == "settled_too_early");
    vm.now += 11min;
    vm.advance(2s);
    vm.claims.state(key, team, vm.now + 1s, recordAnswer);
    vm.advance(100ms);
    REQUIRE(vm.answers.at(1).work == work_state::Unknown);
    vm.claims.settle(key, team, { "operator", true, "" }, vm.now + 1s, recordAnswer);
    vm.advance(100ms);
    REQUIRE(vm.answers.at(2).work == work_state::Completed);
}

TEST_CASE("a refused call with a free key is reported as not_run only after its close is on the log")
{
    memory_log log;
    test_vm vm(log);
    const std::string key = vm.claims.issueKey(team).value();
    const auto recordAnswer = [&](const claim_answer& answer) {
        vm.answers.push_back(answer);
    };
    vm.claims.refuse(key, team, vm.now + 1s, recordAnswer);
    vm.advance(100ms);
    REQUIRE(vm.answers.at(0).work == work_state::NotRun);
    vm.claims.run(vm.call(key));
    vm.advance(100ms);
    REQUIRE(vm.answers.at(1).work == work_state::NotRun);
    const std::string otherKey = vm.claims.issueKey(team).value();
    log.setFaults({ .out = true });
    vm.claims.refuse(otherKey, team, vm.now + 1s, recordAnswer);
    vm.advance(2s);
    REQUIRE(vm.answers.at(2).work == work_state::Unknown);
}

TEST_CASE("a key reused with another body is rejected without disclosing the result")
{
    memory_log log;
    test_vm vm(log);
    const std::string key = vm.claims.issueKey(team).value();
    vm.claims.run(vm.call(key));
    vm.advance(100ms);
    vm.claims.run(vm.call(key, "other"));
    vm.advance(100ms);
    REQUIRE(vm.answers.at(1).reason == "key_reused");
    REQUIRE(vm.answers.at(1).body.empty());
}

TEST_CASE("calls are refused immediately during a log outage")
{
    memory_log log;
    test_vm vm(log);
    const std::string key = vm.claims.issueKey(team).value();
    log.setFaults({ .out = true });
    vm.advance(5s);
    REQUIRE_FALSE(vm.claims.ready());
    vm.claims.run(vm.call(key));
    REQUIRE(vm.answers.at(0).reason == "log_unavailable");
    REQUIRE(vm.answers.at(0).work == work_state::Unknown);
    REQUIRE(vm.answers.at(0).thisAttempt == work_state::NotRun);
}

TEST_CASE("records of several calls share one append")
{
    append_batcher batcher(5ms, 64);
    const mono_time start;
    for (std::uint64_t i = 0; i < 63; ++i)
        batcher.add("record", { i, false }, start);
    REQUIRE_FALSE(batcher.take(start + 4ms).has_value());
    batcher.add("record", { 63, false }, start + 4ms);
    REQUIRE(batcher.take(start + 4ms)->records.size() == 64);
    batcher.add("record", { 64, false }, start + 10ms);
    REQUIRE(batcher.dueTime() == start + 15ms);
    REQUIRE(batcher.take(start + 15ms)->records.size() == 1);
}

TEST_CASE("options that allow a settlement while a holder may still send are rejected")
{
    claim_options options;
    REQUIRE(check(options).has_value());
    options.timing.settleWait = options.timing.sendWindow;
    REQUIRE_FALSE(check(options).has_value());
    options = {};
    options.staleAfter = options.platformTimeout;
    REQUIRE_FALSE(check(options).has_value());
}

TEST_CASE("a call with a key that has expired from the log is answered with unknown, not with not_run")
{
    memory_log log;
    test_vm vm(log);
    const std::string key = vm.claims.issueKey(team).value();
    log.appendRaw("claims-0", "x");
    log.trim("claims-0", log_offset(1));
    vm.advance(2s);
    vm.claims.run(vm.call(key));
    REQUIRE(vm.answers.at(0).work == work_state::Unknown);
    REQUIRE(vm.answers.at(0).reason == "key_expired");
    REQUIRE(vm.sends == 0);
}

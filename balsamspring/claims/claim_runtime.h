// Runs the non-idempotent calls of one VM, coordinated with the other VMs through the platform's log.
//
//     claim_runtime claims(log, options, secret, { vm, incarnation }, { post, monotonicNow });
//     claims.tick();              // at nextWake(), at the latest every 100 ms
//     claims.run({ key, team, "transfer", body, deadline, send, done });
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/claims/append_batcher.h"
#include "balsamspring/claims/claim_holder.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring {

struct claim_options {
    std::uint32_t partitions = 8;
    claim_timing timing;
    duration linger = std::chrono::milliseconds(5); // time for which a record waits for others to share its append
    std::size_t batchRecords = 64;
    duration readInterval = std::chrono::milliseconds(10); // between reads while a request waits for the tail
    duration idleInterval = std::chrono::seconds(1); // between reads otherwise
    duration staleAfter = std::chrono::seconds(4); // a partition whose tail was not read for this time is not ready
    duration platformTimeout = std::chrono::seconds(2); // per platform call
    std::size_t pageRecords = 1000;
};

// Error `InvalidArgument` for options that do not uphold the guarantees.
result<void> check(const claim_options& options);

struct claim_identity {
    vm_id vm;
    incarnation vmIncarnation;
};

struct claim_runtime_hooks {
    std::function<void(std::function<void()>)> post; // runs the function asynchronously on the control thread
    std::function<mono_time()> now;
};

struct keyed_call {
    std::string key;
    team_id team;
    std::string operation;
    std::string body;
    mono_time deadline;
    send_function send; // may invoke its callback on any thread
    claim_callback done;
};

// To be used, constructed and destroyed on the control thread only. Callbacks run on the control thread. The log client
// must outlive the object; replies that arrive after its destruction are dropped.
class claim_runtime {
public:
    claim_runtime(log_client& log, const claim_options& options, std::string secret, claim_identity self,
        claim_runtime_hooks hooks, random_engine random, internal::claim_mechanisms mechanisms = {});
    ~claim_runtime();
    claim_runtime(const claim_runtime&) = delete;
    claim_runtime& operator=(const claim_runtime&) = delete;

    // Refuses a key that fails verification with `not_run`. Any other refusal reports `unknown`, and `not_run` for this
    // attempt only, with reason `log_unavailable`, `draining` or `key_expired`.
    void run(keyed_call call);

    // For a call that admission refuses: closes the key, so that `not_run` can be reported.
    void refuse(const std::string& key, const team_id& team, mono_time deadline, claim_callback done);

    // Queries the state of the call that the key identifies, without a change to it.
    void state(const std::string& key, const team_id& team, mono_time deadline, claim_callback done);

    // Records the verdict of an operator. Reasons of a refusal: `settled_too_early`, `no_claim`. The answer contains
    // the state after the settlement.
    void settle(const std::string& key, const team_id& team, const settlement_entry& verdict, mono_time deadline,
        claim_callback done);

    // Error `Unavailable` while no partition is ready.
    result<std::string> issueKey(const team_id& team);

    // Whether the partition has been read from its earliest offset to the tail and is not stale.
    bool ready(std::uint32_t partition) const;

    // Whether all partitions are ready.
    bool ready() const;

    // Refuses new calls from now on. `drained` returns true once every outcome and close is recorded.
    void drain() { m_draining = true; }
    bool drained() const;

    void tick();
    mono_time nextWake() const;

    // Null for an unknown partition.
    const claim_book* book(std::uint32_t partition) const;

private:
    struct partition;

    // Verifies the key and finds its partition. On an error, `done` has been called with the refusal.
    result<partition*> resolveKey(const std::string& key, const team_id& team, const claim_callback& done, key_id& id);
    void addPartition(std::uint32_t number);
    void flush(partition& part, mono_time now);
    void readIfDue(partition& part, mono_time now);
    void onPage(std::uint32_t number, std::uint64_t read, log_offset from, const result<log_page>& page);
    std::uint64_t newNonce();
    bool isReady(const partition& part, mono_time now) const;
    mono_time nextReadTime(const partition& part) const;
    claim_holder_hooks holderHooks(std::uint32_t number);

    log_client& m_log;
    claim_options m_options;
    call_key_signer m_signer;
    claim_identity m_self;
    claim_runtime_hooks m_hooks;
    random_engine m_random;
    internal::claim_mechanisms m_mechanisms;
    std::map<std::uint32_t, std::unique_ptr<partition>> m_partitions;
    std::uint64_t m_nonceCount = 0;
    bool m_draining = false;
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

} // namespace balsamspring

// State machine by which this VM processes the calls, queries, refusals and settlements of one partition.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/claims/append_batcher.h"
#include "balsamspring/claims/claim_book.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace balsamspring {

struct claim_timing {
    duration sendWindow = std::chrono::seconds(2); // the call may be sent for this time from the append of its claim
    duration outcomeWait = std::chrono::seconds(30); // a claim without an outcome is reported as running for this time
    duration settleWait = std::chrono::minutes(10); // minimum age of a claim for a settlement
    duration appendRetry = std::chrono::seconds(1); // between appends of an outcome or close until it is read back
    std::uint32_t maxSends = 3; // servers tried under one claim, each only after a definite refusal by the previous one
};

// Result for the caller of a non-idempotent call.
struct claim_answer {
    work_state work = work_state::Unknown; // state of the call that the key identifies
    work_state thisAttempt = work_state::NotRun; // state of the attempt by this request alone
    std::string reason = {}; // empty with a result, otherwise for example "log_unavailable" or "key_reused"
    std::uint32_t status = 0; // of the service; set if `work` is Completed and not by a settlement
    std::string body = {};
    bool bodyOmitted = false; // the body exceeds `maxRecordedBody`
    bool conflict = false; // the records of the holder contradict a settlement
};

using claim_callback = std::function<void(const claim_answer&)>;

// Permission to send the call once, to one server.
struct send_permit {
    mono_time sendBefore; // the adapter checks this again immediately before it writes to the socket
    std::uint32_t attempt = 0; // number of servers tried before
};

struct call_outcome {
    std::uint32_t status = 0;
    std::string body;
};

// Error `Refused`: the call definitely did not run and may be sent to another server. `NotFound`: the call definitely
// did not run, and no other server is available. Any other error: the call may have run, and the callback may be
// invoked a second time with a late result.
using send_result = result<call_outcome>;
using send_callback = std::function<void(send_result)>;
using send_function = std::function<void(const send_permit&, send_callback)>;

struct claim_run_request {
    key_id key;
    std::string bodyDigest;
    mono_time deadline;
    send_function send;
    claim_callback done;
};

struct settle_request {
    key_id key;
    settlement_entry verdict;
    mono_time deadline;
    claim_callback done;
};

struct claim_holder_hooks {
    // The result of the append is passed to `onAppended`.
    std::function<void(append_owner, const claim_log_entry&)> append;
    // Each result of the send is passed to `onSendResult`.
    std::function<void(std::uint64_t owner, const send_permit&, const send_function&)> send;
    std::function<std::uint64_t()> newNonce; // unique over all VMs and restarts, never 0
};

// Not thread safe. Calls `done` of each request exactly once, except for requests that are still open at destruction.
class claim_holder {
public:
    claim_holder(const claim_book& book, vm_id vm, incarnation vmIncarnation, claim_timing timing,
        claim_holder_hooks hooks, internal::claim_mechanisms mechanisms = {});

    void run(claim_run_request request, mono_time now);
    void query(const key_id& key, mono_time deadline, claim_callback done, mono_time now);
    // Closes a key that is still free, and reports `not_run` once the close has been read back.
    void refuse(const key_id& key, mono_time deadline, claim_callback done, mono_time now);
    void settle(settle_request request, mono_time now);

    void onReadStarted() { ++m_readsStarted; }
    // To be called after the book has applied a page of the most recent read.
    void onPageApplied(bool atTail, mono_time now);
    void onAppended(append_owner owner, const result<log_offset>& answer, mono_time now);
    void onSendResult(std::uint64_t owner, const send_result& answer, mono_time now);
    void onTick(mono_time now);

    std::optional<mono_time> nextWake() const;
    // Whether a request waits for records at the tail of the log, so that it should be read soon.
    bool needsTailRead() const;
    // Number of calls whose outcome or close is not yet recorded. A draining VM waits for them.
    std::size_t unrecordedCount() const;
    std::size_t openCount() const { return m_requests.size(); }

private:
    enum class step : std::uint8_t {
        AwaitTail, // until a read that started after the arrival of the request reaches the tail
        AwaitClaim, // until the claim of this request has been read back
        Sending,
        OutcomeUnknown, // sent, but failed without a definite result; a late result is recorded
        Recording, // until the outcome is on the log
        Closing, // until the close of a winning claim that is not used has been read back
        Abandoned, // the wait for the claim has timed out; the claim may still appear on the log
        Refusing, // until the close of a free key has been read back
        Settling, // until the settlement has been read back
    };
    enum class kind : std::uint8_t { Run, Query, Refuse, Settle };

    struct request {
        kind requestKind = kind::Query;
        step currentStep = step::AwaitTail;
        key_id key;
        std::string bodyDigest;
        mono_time receivedAt;
        mono_time deadline;
        send_function send;
        claim_callback done;
        settlement_entry verdict;
        std::uint64_t nonce = 0;
        std::uint64_t requiredRead = 0; // number of the first read that is recent enough for this request
        mono_time claimStarted;
        mono_time retryAt;
        std::uint32_t sendCount = 0;
        bool appendFailed = false; // an append of the outcome failed; only a read shows whether it is on the log
        std::optional<outcome_entry> outcome;
    };

    void start(request item, mono_time now);
    // Advances the request as far as the state of the key allows. Returns whether the request is finished.
    bool advance(std::uint64_t id, request& item, mono_time now);
    bool advanceUncovered(request& item, key_coverage coverage);
    bool advanceFromTail(std::uint64_t id, request& item, mono_time now);
    bool advanceClaim(std::uint64_t id, request& item, mono_time now);
    bool advanceFinalRecord(request& item, mono_time now);
    // Handles the deadline and the send window. Returns whether the request is finished.
    bool checkTimeout(request& item, mono_time now);

    void appendClaim(std::uint64_t id, request& item, mono_time now);
    // Appends the outcome or the close of the claim, and schedules the retry.
    void appendFinalRecord(std::uint64_t id, request& item, mono_time now);
    void sendOrClose(std::uint64_t id, request& item, mono_time now);
    void awaitTail(request& item);
    bool isWinner(const request& item) const;
    bool maySend(const request& item, mono_time now) const;

    claim_answer answerFor(const request& item, mono_time now) const;
    static void reply(request& item, const claim_answer& answer);
    static void replyUnknown(request& item, std::string reason);
    static work_state attemptState(const request& item);

    const claim_book& m_book;
    vm_id m_vm;
    incarnation m_incarnation;
    claim_timing m_timing;
    claim_holder_hooks m_hooks;
    internal::claim_mechanisms m_mechanisms;
    std::map<std::uint64_t, request> m_requests;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_readsStarted = 0;
    std::uint64_t m_lastTailRead = 0; // number of the last read that reached the tail
};

} // namespace balsamspring

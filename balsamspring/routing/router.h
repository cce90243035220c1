// Chooses backend servers and limits retries and hedges. One object serves all pools of a VM.
//
//     random_engine random(seed);
//     router routing({ .zone = zone_id("a") }, random);
//     routing.setServers(pool, servers, now);
//     if (auto server = routing.pick(query, now))
//         routing.started(attempt, *server, query, now);
//     ...
//     routing.firstToken(attempt, facts, now);
//     routing.finished(attempt, route_outcome::Succeeded, std::nullopt, now);
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/routing/router_types.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

namespace balsamspring {

namespace internal {
class pool_state;
struct server_state;
} // namespace internal

// Not thread safe; all calls are short and do no I/O. `now` must not decrease. Unknown attempts are ignored, so
// late events are harmless.
class router {
public:
    // Throws std::invalid_argument when `options.check()` reports findings. `random` must outlive the router.
    router(router_options options, random_engine& random, router_hooks hooks = {});
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    // Replaces the servers of a pool by those of this VM's subset (see subset.h). Servers that remain keep their state.
    // A server reported as leaving stays in that state for `leavingHold`, even when the list says otherwise.
    void setServers(const pool_id& pool, const std::vector<routed_server>& servers, mono_time now);

    // Records a peer's report that a server is leaving. Generation 0 means the current one.
    void markLeaving(const backend_id& server, std::uint64_t generation, mono_time now);

    // Chooses a server. Call `started` under the same lock when the call is sent.
    tl::expected<backend_id, pick_refusal> pick(const route_query& query, mono_time now);

    // Records that a call was sent. Hedges spend their budget here, retries in mayRetry(). `hedged` is the attempt that
    // a hedge competes with.
    void started(attempt_id attempt, const backend_id& server, const route_query& query, mono_time now,
        attempt_kind kind = attempt_kind::First, attempt_id hedged = {});

    // Records that the first frame of a stream arrived.
    attempt_verdict firstToken(attempt_id attempt, const server_facts& facts, mono_time now);

    // Counts a running attempt that takes much longer than its class towards the limit of another class.
    void reclassify(attempt_id attempt, length_class length);

    // Records that further tokens arrived. May be called once for a batch of tokens.
    void progress(attempt_id attempt, std::size_t tokens, mono_time now);

    // Records the end of an attempt. Calls pass the facts from their reply here; streams passed them with the first
    // token. After a failure, `accepted` is false while a competing attempt still runs.
    attempt_verdict finished(
        attempt_id attempt, route_outcome outcome, const std::optional<server_facts>& facts, mono_time now);

    // Time after the start at which a hedge is due; nullopt while there are too few latency samples.
    std::optional<duration> hedgeDelay(attempt_id attempt) const;

    // Returns whether a hedge may start now. Only idempotent work is hedged, and only once.
    bool mayHedge(attempt_id attempt, bool idempotent) const;

    // Spends a token of the retry budget and returns the backoff before the next attempt, with full jitter. `attempts`
    // is the number of failed attempts so far. Only this layer retries, and never non-idempotent work that may have
    // run.
    tl::expected<duration, retry_refusal> mayRetry(
        const pool_id& pool, std::uint32_t attempts, mono_time deadline, mono_time now);

    // Time without a frame after which this attempt counts as stalled.
    duration stallTimeout(attempt_id attempt) const;

    // Returns the stalled attempts, sorted by id.
    std::vector<attempt_id> stalledAttempts(mono_time now) const;

    const router_stats& stats() const { return m_stats; }
    std::vector<server_status> status(const pool_id& pool, mono_time now) const;

private:
    struct attempt_state;

    void evaluate(internal::pool_state& pool, mono_time now);
    void applyFacts(internal::server_state& server, const server_facts& facts, mono_time now);
    void recordTokenGap(attempt_state& attempt, mono_time now);
    void applyOutcome(attempt_state& attempt, route_outcome outcome, mono_time now);
    // Called when an attempt has an answer. Marks its competing attempt as superseded and asks the caller to cancel it.
    attempt_verdict resolveHedge(attempt_id id, attempt_state& attempt);
    std::shared_ptr<internal::pool_state> findPool(const pool_id& pool) const;
    const attempt_state* find(attempt_id attempt) const;

    router_options m_options;
    random_engine& m_random;
    router_hooks m_hooks;
    router_stats m_stats;
    std::unordered_map<pool_id, std::shared_ptr<internal::pool_state>> m_pools;
    std::unordered_map<attempt_id, attempt_state> m_attempts;
};

} // namespace balsamspring

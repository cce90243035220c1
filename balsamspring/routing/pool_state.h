// State of one pool and its servers. Internal to the router.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/routing/latency_window.h"
#include "balsamspring/routing/load_estimate.h"
#include "balsamspring/routing/router_types.h"
#include "balsamspring/routing/token_budget.h"

#include <array>
#include <memory>
#include <span>
#include <vector>

namespace balsamspring::internal {

struct server_state {
    server_state(routed_server listedEntry, const router_options& options);

    // Applies an entry of the membership view.
    void update(const routed_server& listed, duration leavingHold, mono_time now);

    // Applies the facts from a reply and returns which of them are new.
    struct state_changes {
        bool leaving = false;
        bool restarted = false;
    };
    state_changes record(const server_facts& facts, duration leavingHold, mono_time now);

    // Records that generation `leavingGeneration` is leaving; 0 means the current one.
    void recordLeaving(std::uint64_t leavingGeneration, duration leavingHold, mono_time now);
    bool isLeaving(mono_time now) const;

    routed_server entry;
    std::uint64_t hash = 0;
    load_estimate load;
    concurrency_limit limit;
    server_health health;
    std::uint64_t generation = 0;
    std::uint64_t retiredGeneration = 0; // replaced by `generation`; late reports about it are ignored
    bool leaving = false;
    mono_time leavingUntil {};
    bool exclusive = false; // a crash suspect runs without other calls of this VM
    mono_time drainUntil {}; // until then, or until a crash suspect starts, the server accepts no other new calls

private:
    void replaceGeneration(std::uint64_t next);
};

using server_list = std::vector<server_state*>;
using pick_result = tl::expected<server_state*, pick_refusal>;

// Time to first token of a stream, duration of a whole call, or time between tokens of a stream.
enum class latency_kind : std::uint8_t { FirstToken, Call, TokenGap, Count };

class pool_state {
public:
    pool_state(const router_options& options, random_engine& random);

    void setServers(const std::vector<routed_server>& listed, mono_time now);
    std::shared_ptr<server_state> find(const backend_id& id) const;
    const std::vector<std::shared_ptr<server_state>>& servers() const { return m_servers; }

    pick_result pick(const route_query& query, mono_time now);

    // Records a latency sample of one server.
    void record(server_state& server, latency_kind kind, length_class length, duration latency, mono_time now);

    // Returns the latency relative to the pool's median; the ratio is 0 while there are too few samples for a median.
    relative_latency relative(latency_kind kind, length_class length, duration latency) const;

    // Medians in seconds, by baseline.
    std::vector<double> medians() const;

    // What the first reply of this pool's servers is: FirstToken for streams, otherwise Call.
    latency_kind replyKind(length_class length) const;
    const latency_window& window(latency_kind kind, length_class length) const;

    outlier_detector detector;
    token_budget retries;
    token_budget hedges;
    mono_time nextEvaluation {};

private:
    tl::expected<server_list, pick_refusal> candidates(const route_query& query, mono_time now);
    server_list healthy(const server_list& servers);
    server_state* pickByAffinity(const server_list& servers, std::uint64_t key, mono_time now) const;
    server_state* pickByLoad(const server_list& servers, mono_time now);
    server_state* pickByZone(const server_list& servers, mono_time now);
    pick_result pickExclusive(const server_list& servers, mono_time now);
    double spillShare(const server_list& local, mono_time now) const;

    const router_options& m_options;
    random_engine& m_random;
    std::vector<std::shared_ptr<server_state>> m_servers;
    std::vector<std::array<latency_window, lengthClassCount>> m_windows; // by kind and class
};

} // namespace balsamspring::internal

// Event-driven model of one pool of servers on virtual time, for policy benchmarks.
#pragma once

#include "balsamspring/backend/backend_client.h"
#include "balsamspring/base/random.h"
#include "balsamspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <unordered_map>
#include <vector>

namespace balsamspring::bench {

// Actions in the order of their time; those of equal time in the order of their insertion.
class event_queue {
public:
    mono_time now() const { return m_now; }
    void at(mono_time when, std::function<void()> action);
    void after(duration delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }
    void runUntil(mono_time end);

private:
    struct event {
        mono_time when {};
        std::uint64_t number = 0;
        std::function<void()> action;

        friend bool operator<(const event& a, const event& b)
        {
            return a.when != b.when ? a.when > b.when : a.number > b.number;
        }
    };

    mono_time m_now {};
    std::uint64_t m_lastNumber = 0;
    std::priority_queue<event> m_events;
};

struct pool_model_options {
    std::size_t servers = 12;
    std::size_t slots = 8; // calls that a server runs at once
    std::vector<double> meanService { 0.1, 0.5, 2.0 }; // seconds, by length class
    double sigma = 0.6; // of the logarithm of the service time
    std::size_t cachedPrefixes = 0; // per server, least recently used goes first; 0 turns the cache off
    double missFactor = 2; // on the service time of a call whose prefix is not cached
    duration reportAge {}; // age of the load in a reply
};

enum class model_outcome : std::uint8_t { Succeeded, Unreachable };

struct model_call {
    attempt_id attempt;
    std::size_t server = 0; // an index past the pool is a server that does not exist
    std::size_t length = 0; // index into `meanService`
    std::uint64_t prefix = 0;
};

struct model_reply {
    model_outcome outcome = model_outcome::Succeeded;
    server_info serverInfo;
    bool cacheHit = false;
};

// Servers with slots and a FIFO queue each.
class pool_model {
public:
    using reply_handler = std::function<void(const model_reply&)>;

    struct server_counters {
        std::uint64_t calls = 0;
        std::uint64_t served = 0;
        std::uint64_t hits = 0;
    };

    pool_model(pool_model_options options, event_queue& events, random_engine& random);

    void call(const model_call& call, reply_handler done);

    // Ends a call without a reply.
    void cancel(attempt_id attempt);

    // Applies to calls that begin from now on.
    void setSlowdown(std::size_t server, double factor) { m_servers[server].slowdown = factor; }

    // A failed server loses its calls and refuses new ones.
    void setFailed(std::size_t server, bool failed);

    // The server says in its replies that it is leaving; it still serves.
    void setLeaving(std::size_t server) { m_servers[server].leaving = true; }

    void resetCalls(std::size_t server) { m_servers[server].counters.calls = 0; }
    std::size_t size() const { return m_servers.size(); }
    const server_counters& counters(std::size_t server) const { return m_servers[server].counters; }
    std::uint64_t lostCalls() const { return m_lostCalls; } // sent to servers that do not exist

private:
    struct job {
        model_call call;
        reply_handler done;
        bool running = false;
        bool cacheHit = false;
    };
    struct load_sample {
        mono_time at {};
        server_load load;
    };
    struct server {
        std::deque<attempt_id> queue;
        std::size_t running = 0;
        std::size_t queued = 0;
        double slowdown = 1;
        bool failed = false;
        bool leaving = false;
        std::list<std::uint64_t> recentPrefixes;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
        std::deque<load_sample> history;
        server_counters counters;
    };

    void startNext(server& target);
    void finish(attempt_id attempt);
    void refuse(reply_handler done);
    bool lookUpPrefix(server& target, std::uint64_t prefix);
    server_load reportedLoad(server& target);
    double drawService(std::size_t length);

    pool_model_options m_options;
    event_queue& m_events;
    random_engine& m_random;
    std::vector<server> m_servers;
    std::unordered_map<attempt_id, job> m_jobs;
    std::uint64_t m_lostCalls = 0;
};

} // namespace balsamspring::bench

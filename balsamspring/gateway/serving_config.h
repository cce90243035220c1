// The configuration that operators publish: routes, pools of backend servers, teams and limits of callers.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsamspring {

enum class route_kind : std::uint8_t {
    Idempotent,
    AtMostOnce,
    EventStream, // At most once unless the route is resumable.
};

struct weighted_pool {
    pool_id pool;
    double weight = 1;
};

// A stage that processes pieces of a request before its main call.
struct stage_spec {
    pool_id pool;
    std::vector<std::size_t> after; // Indexes of the stages whose results this stage needs.
    std::uint64_t resultBytes = 0; // Approximate size of the result of one piece.
};

struct route_spec {
    std::string name;
    std::string host;
    std::string pathPrefix;
    route_kind kind = route_kind::AtMostOnce;
    std::vector<weighted_pool> pools;
    duration timeout {}; // Maximum time for which a caller waits.
    duration latencyTarget {}; // Time to the response, or to the first event of a stream.
    duration eventGapTarget {};
    unsigned priority = 0; // 0 is the highest priority.
    unsigned maxAttempts = 1; // Number of backend servers to which one request may be sent.
    bool anonymous = false;
    bool cacheAffinity = false; // Prompts share cached prefixes.
    bool resumable = false;
    std::vector<stage_spec> stages;

    bool idempotent() const { return kind == route_kind::Idempotent || (kind == route_kind::EventStream && resumable); }
};

// How the servers of a stage's pool process pieces. All values apply to one server.
struct piece_spec {
    unsigned slots = 1; // Maximum number of calls in progress.
    unsigned queue = 0; // Maximum number of waiting calls.
    unsigned batch = 1; // Maximum number of pieces in a call.
    duration callTime {}; // Fixed time per call.
    duration pieceTime {}; // Additional time per piece.
    std::uint64_t resultCapacity = 0; // Bytes of results that a server retains.
    duration resultLifetime {};
};

struct engine_spec {
    unsigned slots = 1;
    std::uint64_t cacheTokens = 0;
};

struct pool_spec {
    pool_id id;
    unsigned maxConnections = 0; // Per server, for all callers together. 0 if not stated.
    duration coldStart {}; // A server that has started is cold for this long. 0: never.
    double coldRate = 0; // Requests per second that a cold server bears, from all VMs together.
    std::optional<engine_spec> engine;
    std::optional<piece_spec> pieces;
};

struct caller_limits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

struct team_spec {
    team_id id;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; // Overrides the priority of the route.
};

struct serving_config_data {
    config_version version;
    std::vector<route_spec> routes;
    std::vector<pool_spec> pools;
    std::vector<team_spec> teams;
    caller_limits limits;
};

// Immutable after construction. Provides lookups by host and path, by pool and by key.
class serving_config {
public:
    explicit serving_config(serving_config_data data);

    config_version version() const { return m_data.version; }
    const caller_limits& limits() const { return m_data.limits; }
    const serving_config_data& data() const { return m_data; }
    // The route of the host with the longest matching path prefix, or null. The host may include a port.
    const route_spec* match(std::string_view host, std::string_view target) const;
    const pool_spec* pool(const pool_id& id) const;
    // The team that holds the key, or null.
    const team_spec* teamOfKey(const std::string& key) const;

private:
    serving_config_data m_data;
    std::unordered_map<std::string, std::vector<const route_spec*>> m_routesByHost; // Longest prefix first.
    std::map<pool_id, const pool_spec*> m_pools;
    std::unordered_map<std::string, const team_spec*> m_teamByKey;
};

} // namespace balsamspring

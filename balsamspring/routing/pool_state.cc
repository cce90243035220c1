#include "balsamspring/routing/pool_state.h"

#include "balsamspring/base/hash.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace balsamspring::internal {

namespace {

constexpr std::size_t windowSize = 512;
constexpr std::size_t minMedianSamples = 5;
constexpr double burstFactor = 2; // limit on the current load of a server chosen by affinity, relative to the mean
constexpr double spillTolerance = 2; // calls above the bound that are attributed to random variation
constexpr double fullSpillQueueShare = 0.2; // share of queued calls in the own zone above which all calls spill

template <class Predicate> server_list filter(const server_list& servers, Predicate predicate)
{
    server_list result;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(result), predicate);
    return result;
}

bool servesModel(const server_state& server, const model_id& model)
{
    const auto& models = server.entry.models;
    return model.value().empty() || models.empty() || std::find(models.begin(), models.end(), model) != models.end();
}

// Besides its share of calls, a returning server also gets only that share of its concurrency limit, which protects it
// from bursts. The first calls are probes, sent one at a time.
bool hasReturningCapacity(const server_state& server, double initialShare)
{
    const double share = server.health.share();
    const double capacity = share > initialShare ? std::max(1.0, share * server.limit.limit()) : 1;
    return server.load.inFlight() + 1 <= capacity;
}

} // namespace

server_state::server_state(routed_server listedEntry, const router_options& options)
    : entry(std::move(listedEntry))
    , hash(hash64(entry.id.value()))
    , load(options.loadTimeConstant)
    , limit(options.concurrency)
    , generation(entry.generation)
{
}

void server_state::update(const routed_server& listed, duration leavingHold, mono_time now)
{
    const bool known
        = listed.generation == 0 || listed.generation == generation || listed.generation == retiredGeneration;
    if (!known)
        replaceGeneration(listed.generation);
    entry = listed;
    if (listed.leaving)
        recordLeaving(listed.generation, leavingHold, now);
}

server_state::state_changes server_state::record(const server_info& serverInfo, duration leavingHold, mono_time now)
{
    state_changes changes;
    // Ignores a late reply from the process before the restart.
    if (serverInfo.generation != 0 && serverInfo.generation == retiredGeneration)
        return changes;
    if (serverInfo.generation != 0 && serverInfo.generation != generation) {
        changes.restarted = generation != 0;
        replaceGeneration(serverInfo.generation);
    }
    load.report(serverInfo.load, now);
    if (serverInfo.leaving) {
        changes.leaving = !isLeaving(now);
        recordLeaving(serverInfo.generation, leavingHold, now);
    }
    return changes;
}

void server_state::recordLeaving(std::uint64_t leavingGeneration, duration leavingHold, mono_time now)
{
    if (leavingGeneration != 0 && leavingGeneration == retiredGeneration)
        return;
    leaving = true;
    leavingUntil = now + leavingHold;
}

bool server_state::isLeaving(mono_time now) const
{
    // The membership list lags, so its "live" state is trusted only after the hold time.
    const bool listedLeaving = entry.leaving && (entry.generation == 0 || entry.generation != retiredGeneration);
    return leaving && (now < leavingUntil || listedLeaving);
}

void server_state::replaceGeneration(std::uint64_t next)
{
    if (generation != 0) {
        retiredGeneration = generation;
        health = server_health();
        leaving = false;
    }
    generation = next;
}

pool_state::pool_state(const router_options& options, random_engine& random)
    : detector(options.outlier, random)
    , retries(options.retryShare, options.retryBurst, options.retryBurst)
    , hedges(options.hedgeShare, options.hedgeBurst, 0)
    , m_options(options)
    , m_random(random)
{
    const latency_window empty(windowSize);
    m_windows.assign(static_cast<std::size_t>(latency_kind::Count), { empty, empty, empty });
}

void pool_state::setServers(const std::vector<routed_server>& listed, mono_time now)
{
    std::unordered_map<backend_id, std::shared_ptr<server_state>> known;
    for (auto& server : m_servers)
        known.emplace(server->entry.id, std::move(server));
    m_servers.clear();
    for (const auto& entry : listed) {
        auto& server = known[entry.id];
        if (!server)
            server = std::make_shared<server_state>(entry, m_options);
        server->update(entry, m_options.leavingHold, now);
        m_servers.push_back(server);
    }
}

std::shared_ptr<server_state> pool_state::find(const backend_id& id) const
{
    for (const auto& server : m_servers) {
        if (server->entry.id == id)
            return server;
    }
    return nullptr;
}

pick_result pool_state::pick(const route_query& query, mono_time now)
{
    auto servers = candidates(query, now);
    if (!servers)
        return tl::make_unexpected(servers.error());
    if (query.exclusive)
        return pickExclusive(*servers, now);
    // Affinity ignores the zone, so that all VMs have the same first choice for a key. A cached prefix saves more than
    // the millisecond of latency between zones.
    auto* preferred = query.affinityKey != 0 ? pickByAffinity(*servers, query.affinityKey, now) : nullptr;
    if (preferred)
        return preferred;
    // A further attempt does not prefer the own zone, because the zone itself may be at fault.
    return query.exclude.empty() ? pickByZone(*servers, now) : pickByLoad(*servers, now);
}

tl::expected<server_list, pick_refusal> pool_state::candidates(const route_query& query, mono_time now)
{
    server_list servers;
    for (const auto& server : m_servers)
        servers.push_back(server.get());
    if (servers.empty())
        return tl::make_unexpected(pick_refusal::NoServer);
    servers = filter(servers, [&](const server_state* server) { return servesModel(*server, query.model); });
    if (servers.empty())
        return tl::make_unexpected(pick_refusal::ModelNotServed);
    servers = filter(servers, [&](const server_state* server) { return !server->isLeaving(now); });
    if (servers.empty())
        return tl::make_unexpected(pick_refusal::AllLeaving);
    const auto& exclude = query.exclude;
    servers = filter(servers, [&](const server_state* server) {
        return std::find(exclude.begin(), exclude.end(), server->entry.id) == exclude.end();
    });
    if (servers.empty())
        return tl::make_unexpected(pick_refusal::AllExcluded);
    servers = healthy(servers);
    if (servers.empty())
        return tl::make_unexpected(pick_refusal::AllDown);
    servers = filter(servers, [&](const server_state* server) { return server->limit.allows(query.length); });
    if (servers.empty())
        return tl::make_unexpected(pick_refusal::ConcurrencyLimit);
    servers = filter(servers, [&](const server_state* server) {
        return !server->exclusive && (query.exclusive || now >= server->drainUntil);
    });
    if (servers.empty())
        return tl::make_unexpected(pick_refusal::ExclusiveBusy);
    return servers;
}

server_list pool_state::healthy(const server_list& servers)
{
    const double initialShare = m_options.outlier.initialShare;
    auto chosen = filter(servers, [&](const server_state* server) {
        const double share = server->health.share();
        return share >= 1 || (share > 0 && uniform(m_random) < share && hasReturningCapacity(*server, initialShare));
    });
    if (!chosen.empty())
        return chosen;
    chosen = filter(servers, [&](const server_state* server) {
        return server->health.share() > 0 && hasReturningCapacity(*server, initialShare);
    });
    if (!chosen.empty())
        return chosen;
    // Falls back to slow servers, but never to servers that are down.
    return filter(servers, [&](const server_state* server) { return server->health.state() == health_state::Ejected; });
}

server_state* pool_state::pickByAffinity(const server_list& servers, std::uint64_t key, mono_time now) const
{
    double load = 1;
    double mean = 0;
    for (const auto* server : servers) {
        load += server->load.value(now);
        mean += server->load.mean(now);
    }
    const auto size = static_cast<double>(servers.size());
    // With few calls per server, random variation of the calls in flight exceeds the bound. The bound therefore applies
    // to the moving average and a wider one to the current load, so that random variation does not break affinity.
    const double bound = m_options.loadBound * mean / size;
    const double burstBound = std::ceil(burstFactor * load / size);
    const auto withinBound = [&](const server_state& server) {
        if (m_options.loadBound == 0)
            return true;
        return server.load.mean(now) <= bound && server.load.value(now) + 1 <= burstBound;
    };
    server_state* best = nullptr;
    std::uint64_t bestRank = 0;
    for (auto* server : servers) {
        if (!withinBound(*server))
            continue;
        const auto rank = combineHash(key, server->hash);
        if (!best || rank > bestRank) {
            best = server;
            bestRank = rank;
        }
    }
    return best;
}

server_state* pool_state::pickByLoad(const server_list& servers, mono_time now)
{
    const auto size = static_cast<std::uint32_t>(servers.size());
    if (size == 1)
        return servers.front();
    const auto first = uniformBelow(m_random, size);
    const auto second = (first + 1 + uniformBelow(m_random, size - 1)) % size;
    return servers[second]->load.value(now) < servers[first]->load.value(now) ? servers[second] : servers[first];
}

server_state* pool_state::pickByZone(const server_list& servers, mono_time now)
{
    if (!m_options.preferZone)
        return pickByLoad(servers, now);
    const auto local
        = filter(servers, [&](const server_state* server) { return server->entry.zone == m_options.zone; });
    if (local.empty() || uniform(m_random) < spillShare(local, now))
        return pickByLoad(servers, now);
    auto* chosen = pickByLoad(local, now);
    double mean = 0;
    for (const auto* server : local)
        mean += server->load.mean(now) / static_cast<double>(local.size());
    // Calls accumulate on a server that has just become slow before its replies identify it as slow.
    const bool exceedsSpillBound = chosen->load.value(now) > m_options.spillFactor * mean + spillTolerance;
    return exceedsSpillBound ? pickByLoad(servers, now) : chosen;
}

pick_result pool_state::pickExclusive(const server_list& servers, mono_time now)
{
    const auto idle = filter(servers, [](const server_state* server) { return server->load.inFlight() == 0; });
    if (!idle.empty())
        return pickByLoad(idle, now);
    // Only one server at a time drains for a crash suspect, so that suspects cannot block the pool for other work.
    const bool draining
        = std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& server) { return now < server->drainUntil; });
    if (!draining) {
        auto* chosen = *std::min_element(servers.begin(), servers.end(),
            [](const server_state* a, const server_state* b) { return a->load.inFlight() < b->load.inFlight(); });
        chosen->drainUntil = now + m_options.exclusiveDrainTimeout;
    }
    return tl::make_unexpected(pick_refusal::ExclusiveBusy);
}

double pool_state::spillShare(const server_list& local, mono_time now) const
{
    double inFlight = 0;
    double limit = 0;
    double load = 1;
    double queued = 0;
    for (const auto* server : local) {
        inFlight += server->load.inFlight();
        limit += server->limit.limit();
        load += server->load.value(now);
        queued += server->load.queued(now);
    }
    const auto listed = std::count_if(
        m_servers.begin(), m_servers.end(), [&](const auto& server) { return server->entry.zone == m_options.zone; });
    // The remaining servers of the zone do not take over the calls of those that are ejected, down or leaving.
    const double unavailableShare = 1 - static_cast<double>(local.size()) / static_cast<double>(listed);
    // The share increases gradually, because an abrupt switch would overload the zones in turn.
    const double excessUtilization = (inFlight / limit - m_options.spillStart) / (1 - m_options.spillStart);
    return std::clamp(std::max({ excessUtilization, queued / load / fullSpillQueueShare, unavailableShare }), 0.0, 1.0);
}

void pool_state::record(server_state& server, latency_kind kind, length_class length, duration latency, mono_time now)
{
    const auto sample = relative(kind, length, latency);
    if (sample.ratio > 0)
        detector.replied(server.health, sample, now);
    if (kind != latency_kind::TokenGap)
        server.limit.replied(length, latency, now);
    // Slow servers are left out of the baseline that they are compared with.
    if (server.health.state() == health_state::Live)
        m_windows[static_cast<std::size_t>(kind)][static_cast<std::size_t>(length)].add(latency);
}

relative_latency pool_state::relative(latency_kind kind, length_class length, duration latency) const
{
    const auto& samples = window(kind, length);
    if (samples.size() < minMedianSamples)
        return {};
    const double median = std::max(1e-6, toSeconds(samples.quantile(0.5)));
    const auto baseline = static_cast<std::size_t>(kind) * lengthClassCount + static_cast<std::size_t>(length);
    return { toSeconds(latency) / median, median, baseline };
}

std::vector<double> pool_state::medians() const
{
    std::vector<double> list;
    for (const auto& kind : m_windows) {
        for (const auto& samples : kind)
            list.push_back(toSeconds(samples.quantile(0.5)));
    }
    return list;
}

latency_kind pool_state::replyKind(length_class length) const
{
    return window(latency_kind::FirstToken, length).size() > 0 ? latency_kind::FirstToken : latency_kind::Call;
}

const latency_window& pool_state::window(latency_kind kind, length_class length) const
{
    return m_windows[static_cast<std::size_t>(kind)][static_cast<std::size_t>(length)];
}

} // namespace balsamspring::internal

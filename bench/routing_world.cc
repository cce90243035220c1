#include "bench/routing_world.h"

#include "balsamspring/base/hash.h"

#include <algorithm>
#include <deque>
#include <string>

namespace balsamspring::bench {

namespace {

const pool_id poolName("pool");
constexpr std::size_t zones = 4;
constexpr double unansweredLatency = 2; // seconds; the timeout of the requests
constexpr duration gossipDelay = std::chrono::seconds(1);
constexpr duration pumpInterval = std::chrono::milliseconds(20);
constexpr duration baselineRetryDelay = std::chrono::milliseconds(10);

// One request of a caller.
struct work {
    mono_time arrived {};
    mono_time deadline {};
    std::uint64_t prefix = 0;
    std::uint32_t failures = 0;
    std::vector<backend_id> exclude;
    bool measured = false;
    bool done = false;
};

router_options routerOptions(const world_options& options, std::size_t index)
{
    router_options result { .zone = zoneOf(index) };
    options.tune(result);
    return result;
}

backend_id serverName(std::size_t index) { return backend_id(std::to_string(index)); }

} // namespace

zone_id zoneOf(std::size_t index) { return zone_id(std::string(1, static_cast<char>('a' + index % zones))); }

double window_counters::quantile(double fraction) const
{
    auto sorted = latencies;
    sorted.resize(offered, unansweredLatency);
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

class world::vm {
public:
    vm(world& owner, std::size_t index)
        : m_world(owner)
        , m_random(owner.m_options.seed * 100 + index + 1)
        , m_router(routerOptions(owner.m_options, index), m_random,
              { .leaving = [&owner](const backend_id& id, std::uint64_t sign) { owner.spreadLeaving(id, sign); },
                  .restarted = {} })
    {
    }

    void setView(const std::vector<std::size_t>& servers)
    {
        std::vector<routed_server> list;
        list.reserve(servers.size());
        for (const auto server : servers)
            list.push_back({ serverName(server), zoneOf(server), {}, 1, false });
        m_router.setServers(poolName, list, now());
        m_view = servers;
    }

    void arrive(const std::shared_ptr<work>& item) { send(item, attempt_kind::First, {}); }

    router& routing() { return m_router; }

private:
    using work_ptr = std::shared_ptr<work>;

    mono_time now() const { return m_world.events.now(); }
    policy kind() const { return m_world.m_options.kind; }

    void send(const work_ptr& item, attempt_kind attempt, attempt_id hedged)
    {
        if (trySend(item, attempt, hedged) || attempt == attempt_kind::Hedge)
            return;
        m_waiting.emplace_back(item, attempt);
        if (m_waiting.size() == 1)
            m_world.events.after(pumpInterval, [this] { pump(); });
    }

    // True when the call was sent or its deadline has passed.
    bool trySend(const work_ptr& item, attempt_kind attempt, attempt_id hedged)
    {
        if (item->done || now() >= item->deadline)
            return true;
        const route_query query { .pool = poolName, .affinityKey = item->prefix, .exclude = item->exclude };
        const auto server = choose(query);
        if (!server)
            return false;
        const attempt_id id(++m_world.m_lastAttempt);
        m_router.started(id, serverName(*server), query, now(), attempt, hedged);
        m_world.countCall();
        m_world.pool.call({ id, *server, 0, item->prefix },
            [this, item, id, server = *server](const model_reply& reply) { onReply(item, id, server, reply); });
        if (attempt == attempt_kind::First)
            scheduleHedge(item, id, *server);
        return true;
    }

    std::optional<std::size_t> choose(const route_query& query)
    {
        if (kind() == policy::Baseline)
            return m_view[m_next++ % m_view.size()];
        if (kind() == policy::Random)
            return m_view[uniformBelow(m_random, static_cast<std::uint32_t>(m_view.size()))];
        if (kind() == policy::LeastLoaded)
            return leastLoaded();
        const auto chosen = m_router.pick(query, now());
        if (!chosen)
            return std::nullopt;
        return std::stoul(chosen->value());
    }

    std::size_t leastLoaded() const
    {
        const auto status = m_router.status(poolName, now());
        const auto best = std::min_element(status.begin(), status.end(),
            [](const server_status& a, const server_status& b) { return a.inFlight < b.inFlight; });
        return std::stoul(best->id.value());
    }

    void scheduleHedge(const work_ptr& item, attempt_id id, std::size_t server)
    {
        const auto delay = m_router.hedgeDelay(id);
        if (kind() != policy::Router || !delay)
            return;
        m_world.events.after(*delay, [this, item, id, server] {
            if (item->done || !m_router.mayHedge(id, true))
                return;
            item->exclude.push_back(serverName(server));
            send(item, attempt_kind::Hedge, id);
            item->exclude.pop_back();
        });
    }

    void onReply(const work_ptr& item, attempt_id id, std::size_t server, const model_reply& reply)
    {
        const bool answered = reply.outcome == model_outcome::Succeeded;
        const auto outcome = answered ? route_outcome::Succeeded : route_outcome::Unreachable;
        const auto serverInfo = answered ? std::optional(reply.serverInfo) : std::nullopt;
        const auto verdict = m_router.finished(id, outcome, serverInfo, now());
        if (verdict.cancel) {
            m_world.pool.cancel(*verdict.cancel);
            m_router.finished(*verdict.cancel, route_outcome::Cancelled, std::nullopt, now());
        }
        if (answered && verdict.accepted)
            complete(*item);
        else if (verdict.accepted)
            retry(item, server);
        drainQueue();
    }

    void complete(work& item)
    {
        if (item.done)
            return;
        item.done = true;
        if (!item.measured || now() > item.deadline)
            return;
        ++m_world.m_window.answered;
        m_world.m_window.latencies.push_back(toSeconds(now() - item.arrived));
    }

    void retry(const work_ptr& item, std::size_t server)
    {
        if (item->done)
            return;
        if (kind() == policy::Baseline) {
            if (now() + baselineRetryDelay < item->deadline)
                m_world.events.after(baselineRetryDelay, [this, item] { send(item, attempt_kind::Retry, {}); });
            return;
        }
        const auto backoff = m_router.mayRetry(poolName, ++item->failures, item->deadline, now());
        if (!backoff)
            return;
        item->exclude.assign(1, serverName(server));
        m_world.events.after(*backoff, [this, item] { send(item, attempt_kind::Retry, {}); });
    }

    void pump()
    {
        drainQueue();
        if (!m_waiting.empty())
            m_world.events.after(pumpInterval, [this] { pump(); });
    }

    void drainQueue()
    {
        while (!m_waiting.empty() && trySend(m_waiting.front().first, m_waiting.front().second, {}))
            m_waiting.pop_front();
    }

    world& m_world;
    random_engine m_random;
    router m_router;
    std::vector<std::size_t> m_view;
    std::size_t m_next = 0;
    std::deque<std::pair<work_ptr, attempt_kind>> m_waiting;
};

world::world(const world_options& options)
    : random(options.seed)
    , faultRandom(options.seed + 1000)
    , pool(options.pool, events, random)
    , m_options(options)
    , m_seenPrefixes(static_cast<std::size_t>(options.prefixes))
{
    double sum = 0;
    for (std::size_t rank = 1; rank <= m_seenPrefixes.size(); ++rank)
        m_prefixWeights.push_back(sum += 1.0 / static_cast<double>(rank));
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < pool.size(); ++i)
        all.push_back(i);
    for (std::size_t i = 0; i < options.vms; ++i) {
        m_vms.push_back(std::make_unique<vm>(*this, i));
        m_vms.back()->setView(all);
        m_runningVms.push_back(i);
    }
}

world::~world() = default;

void world::setView(std::size_t vm, const std::vector<std::size_t>& servers) { m_vms[vm]->setView(servers); }

void world::stopVm(std::size_t vm)
{
    m_runningVms.erase(std::remove(m_runningVms.begin(), m_runningVms.end(), vm), m_runningVms.end());
}

void world::run()
{
    arrive();
    events.runUntil(mono_time(m_options.measureTo + m_options.timeout));
}

void world::arrive()
{
    const auto now = events.now();
    auto item = std::make_shared<work>();
    item->arrived = now;
    item->deadline = now + m_options.timeout;
    item->prefix = drawPrefix();
    item->measured = now >= mono_time(m_options.measureFrom) && now < mono_time(m_options.measureTo);
    ++m_requests;
    m_window.offered += item->measured ? 1 : 0;
    const auto choice = uniformBelow(random, static_cast<std::uint32_t>(m_runningVms.size()));
    m_vms[m_runningVms[choice]]->arrive(item);
    events.after(fromSeconds(exponential(random, 1 / m_options.requestRate)), [this] { arrive(); });
}

void world::countCall()
{
    const auto now = events.now();
    if (now >= mono_time(m_options.measureFrom) && now < mono_time(m_options.measureTo))
        ++m_window.sent;
}

std::uint64_t world::drawPrefix()
{
    if (m_prefixWeights.empty())
        return 0;
    const double drawn = uniform(random) * m_prefixWeights.back();
    const auto place = std::upper_bound(m_prefixWeights.begin(), m_prefixWeights.end() - 1, drawn);
    const auto index = static_cast<std::size_t>(place - m_prefixWeights.begin());
    m_seenPrefixes[index] = true;
    return combineHash(m_options.seed, index + 1);
}

void world::spreadLeaving(const backend_id& server, std::uint64_t generation)
{
    events.after(gossipDelay, [this, server, generation] {
        for (const auto& vm : m_vms)
            vm->routing().markLeaving(server, generation, events.now());
    });
}

double world::extraCalls() const { return static_cast<double>(m_lastAttempt) / static_cast<double>(m_requests) - 1; }

double world::prefixHits() const
{
    double hits = 0;
    double served = 0;
    for (std::size_t i = 0; i < pool.size(); ++i) {
        hits += static_cast<double>(pool.counters(i).hits);
        served += static_cast<double>(pool.counters(i).served);
    }
    const auto distinct = std::count(m_seenPrefixes.begin(), m_seenPrefixes.end(), true);
    return hits / (served - static_cast<double>(distinct));
}

double world::otherZoneShare() const
{
    double count = 0;
    for (const auto& vm : m_vms)
        count += static_cast<double>(vm->routing().stats().otherZone);
    return count / static_cast<double>(m_lastAttempt);
}

double world::imbalance() const
{
    double most = 0;
    double total = 0;
    for (std::size_t i = 0; i < pool.size(); ++i) {
        const auto served = static_cast<double>(pool.counters(i).served);
        most = std::max(most, served);
        total += served;
    }
    return most * static_cast<double>(pool.size()) / total;
}

} // namespace balsamspring::bench

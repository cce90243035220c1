#include "balsamspring/routing/router.h"
#include "balsamspring/routing/subset.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

const pool_id pool("engines");

std::vector<routed_server> serverList(std::size_t count)
{
    std::vector<routed_server> list;
    for (std::size_t i = 0; i < count; ++i)
        list.push_back({ backend_id("s" + std::to_string(i)), zone_id(i % 2 == 0 ? "a" : "b"), {}, 1, false });
    return list;
}

// A router with `count` servers in two zones and a simulated clock.
struct fixture {
    explicit fixture(std::size_t count, router_options options = { .zone = zone_id("a") })
        : routing(std::move(options), random)
    {
        routing.setServers(pool, serverList(count), now);
    }

    attempt_id start(const backend_id& server, const route_query& query = { .pool = pool })
    {
        const attempt_id id(++lastAttempt);
        routing.started(id, server, query, now);
        return id;
    }

    health_state health(const std::string& name)
    {
        for (const auto& server : routing.status(pool, now)) {
            if (server.id.value() == name)
                return server.health;
        }
        return health_state::Down;
    }

    // Runs one call to completion and advances the clock by its latency.
    void call(const backend_id& server, duration latency, route_outcome outcome = route_outcome::Succeeded)
    {
        const auto id = start(server);
        now += latency;
        routing.finished(id, outcome, server_facts { 1, {}, false }, now);
    }

    random_engine random { 7 };
    mono_time now { 1s };
    std::uint64_t lastAttempt = 0;
    router routing;
};

} // namespace

TEST_CASE("a server reported as leaving gets no new calls for 30 s unless it restarts")
{
    fixture f(2);
    const backend_id leaving("s0");
    SECTION("reply")
    {
        f.routing.finished(f.start(leaving), route_outcome::Succeeded, server_facts { 1, {}, true }, f.now);
    }
    SECTION("refused call") { f.routing.finished(f.start(leaving), route_outcome::Draining, std::nullopt, f.now); }
    SECTION("peer") { f.routing.markLeaving(leaving, 1, f.now); }
    SECTION("list")
    {
        auto servers = serverList(2);
        servers[0].leaving = true;
        f.routing.setServers(pool, servers, f.now);
    }
    // The membership list lags and still reports the server as live.
    f.routing.setServers(pool, serverList(2), f.now);
    for (int i = 0; i < 290; ++i) {
        REQUIRE(f.routing.pick({ .pool = pool }, f.now)->value() == "s1");
        f.now += 100ms;
    }
    auto restarted = serverList(2);
    restarted[0].generation = 2;
    f.routing.setServers(pool, restarted, f.now);
    f.routing.markLeaving(leaving, 1, f.now); // late report about the old process
    REQUIRE(f.routing.pick({ .pool = pool }, f.now)->value() == "s0");
}

TEST_CASE("subsets are balanced, prefer the own zone and change little when a VM or server is removed")
{
    std::vector<placed_vm> vms;
    std::vector<placed_server> servers;
    vms.reserve(400);
    servers.reserve(600);
    for (int i = 0; i < 400; ++i)
        vms.push_back({ vm_id("vm" + std::to_string(i)), zone_id(std::to_string(i % 6)) });
    for (int i = 0; i < 600; ++i)
        servers.push_back({ backend_id("s" + std::to_string(i)), zone_id(std::to_string(i % 6)) });
    const auto namesOf = [](const placed_vm& vm, const std::vector<placed_vm>& all, const auto& list) {
        std::set<std::string> names;
        for (const auto index : chooseSubset(vm, all, list, {}))
            names.insert(list[index].id.value());
        return names;
    };
    std::map<std::string, int> uses;
    std::vector<std::set<std::string>> before;
    for (int i = 0; i < 400; i += 8) {
        before.push_back(namesOf(vms[i], vms, servers));
        REQUIRE(before.back().size() == 20);
        const auto local = std::count_if(before.back().begin(), before.back().end(),
            [&](const std::string& name) { return std::stoi(name.substr(1)) % 6 == i % 6; });
        REQUIRE(local >= 10);
        REQUIRE(local < 20);
    }
    // Counts all subsets of a smaller pool, in which the mean per server is 40 * 20 / 60.
    const std::vector<placed_vm> fewVms(vms.begin(), vms.begin() + 40);
    const std::vector<placed_server> fewServers(servers.begin(), servers.begin() + 60);
    for (const auto& vm : fewVms) {
        for (const auto& name : namesOf(vm, fewVms, fewServers))
            ++uses[name];
    }
    for (const auto& [name, count] : uses)
        REQUIRE(count <= 15);
    REQUIRE(uses.size() == 60);
    vms.erase(vms.begin() + 200);
    servers.erase(servers.begin() + 300);
    std::size_t unchanged = 0;
    for (std::size_t k = 0; k < 25; ++k) {
        for (const auto& name : namesOf(vms[k * 8], vms, servers))
            unchanged += before[k].count(name);
    }
    REQUIRE(unchanged >= 25 * 20 * 8 / 10);
}

TEST_CASE("a slow server is ejected after a few slow calls and its traffic is restored gradually")
{
    fixture f(8);
    for (int i = 0; i < 80; ++i)
        f.call(backend_id("s" + std::to_string(i % 8)), 10ms);
    for (int i = 0; i < 5; ++i)
        f.call(backend_id("s2"), 100ms);
    f.now += 100ms;
    REQUIRE(f.routing.pick({ .pool = pool }, f.now));
    REQUIRE(f.health("s2") == health_state::Ejected);
    for (int i = 0; i < 200; ++i)
        REQUIRE(f.routing.pick({ .pool = pool }, f.now)->value() != "s2");
    f.now += 1s;
    REQUIRE(f.routing.pick({ .pool = pool }, f.now));
    REQUIRE(f.health("s2") == health_state::Returning);
    int probes = 0;
    for (int i = 0; i < 1000; ++i)
        probes += f.routing.pick({ .pool = pool }, f.now)->value() == "s2" ? 1 : 0;
    REQUIRE(probes > 0);
    REQUIRE(probes < 60); // an equal share in its zone would be 250
    for (int i = 0; i < 4; ++i)
        f.call(backend_id("s2"), 10ms);
    REQUIRE(f.health("s2") == health_state::Live);
}

TEST_CASE("a slowdown of the whole pool ejects no server, and one of half the pool ejects at most 30%")
{
    fixture f(10);
    const int slowServers = GENERATE(10, 5);
    for (int i = 0; i < 100; ++i)
        f.call(backend_id("s" + std::to_string(i % 10)), 10ms);
    for (int i = 0; i < 400; ++i) {
        f.call(backend_id("s" + std::to_string(i % 10)), i % 10 < slowServers ? 100ms : 10ms);
        (void)f.routing.pick({ .pool = pool }, f.now);
        const auto status = f.routing.status(pool, f.now);
        const auto ejected = std::count_if(status.begin(), status.end(),
            [](const server_status& server) { return server.health == health_state::Ejected; });
        REQUIRE(ejected <= (slowServers == 10 ? 0 : 3));
    }
}

TEST_CASE("a server that never answers is ejected because of its overdue calls in flight")
{
    fixture f(8);
    for (int i = 0; i < 80; ++i)
        f.call(backend_id("s" + std::to_string(i % 8)), 10ms);
    for (int i = 0; i < 5; ++i)
        f.start(backend_id("s3"));
    f.now += 50ms;
    REQUIRE(f.routing.pick({ .pool = pool }, f.now));
    REQUIRE(f.health("s3") == health_state::Ejected);
}

TEST_CASE("when all servers are down, calls are refused until a probe is due, then one probe per server is sent")
{
    fixture f(2);
    for (int i = 0; i < 6; ++i)
        f.routing.finished(
            f.start(backend_id("s" + std::to_string(i % 2))), route_outcome::Unreachable, std::nullopt, f.now);
    REQUIRE(f.routing.pick({ .pool = pool }, f.now).error() == pick_refusal::AllDown);
    f.now += 250ms;
    std::set<std::string> probed;
    for (int i = 0; i < 2; ++i) {
        const auto server = f.routing.pick({ .pool = pool }, f.now);
        REQUIRE(server);
        probed.insert(server->value());
        f.start(*server);
    }
    REQUIRE(probed.size() == 2);
    REQUIRE(f.routing.pick({ .pool = pool }, f.now).error() == pick_refusal::AllDown);
}

TEST_CASE(
    "idempotent work is hedged once, within 5% of calls; the losing attempt is cancelled and its late answer dropped")
{
    fixture f(4);
    for (int i = 0; i < 100; ++i)
        f.call(backend_id("s" + std::to_string(i % 4)), 10ms);
    int hedges = 0;
    for (int i = 0; i < 100; ++i) {
        const auto first = f.start(backend_id("s0"));
        REQUIRE(f.routing.hedgeDelay(first) == 10ms);
        REQUIRE_FALSE(f.routing.mayHedge(first, false));
        f.now += 10ms;
        if (!f.routing.mayHedge(first, true)) {
            f.routing.finished(first, route_outcome::Succeeded, std::nullopt, f.now);
            continue;
        }
        ++hedges;
        const attempt_id hedge(++f.lastAttempt);
        f.routing.started(hedge, backend_id("s1"), { .pool = pool }, f.now, attempt_kind::Hedge, first);
        REQUIRE_FALSE(f.routing.mayHedge(first, true));
        const auto hedgeVerdict = f.routing.finished(hedge, route_outcome::Succeeded, std::nullopt, f.now);
        REQUIRE(hedgeVerdict.accepted);
        REQUIRE(hedgeVerdict.cancel == first);
        REQUIRE_FALSE(f.routing.finished(first, route_outcome::Succeeded, std::nullopt, f.now).accepted);
    }
    REQUIRE(hedges == 10); // 200 first calls
}

TEST_CASE("retries are limited to 10% of successes, the attempt limit and the deadline, and use full jitter")
{
    router_options options { .zone = zone_id("a"), .retryBurst = 1 };
    fixture f(2, options);
    REQUIRE(f.routing.mayRetry(pool, 4, f.now + 10s, f.now).error() == retry_refusal::AttemptLimit);
    REQUIRE(f.routing.mayRetry(pool, 1, f.now, f.now).error() == retry_refusal::PastDeadline);
    duration longest {};
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        f.call(backend_id("s0"), 1ms);
        const auto backoff = f.routing.mayRetry(pool, 1, f.now + 10s, f.now);
        if (!backoff) {
            REQUIRE(backoff.error() == retry_refusal::BudgetEmpty);
            continue;
        }
        ++granted;
        REQUIRE(*backoff < 50ms);
        longest = std::max(longest, *backoff);
    }
    REQUIRE(granted >= 95);
    REQUIRE(granted <= 101);
    REQUIRE(longest > 40ms);
}

TEST_CASE("part of the concurrency limit is reserved for short calls")
{
    concurrency_limit limit({ .initial = 10 });
    while (limit.allows(length_class::Long))
        limit.started(length_class::Long);
    while (limit.allows(length_class::Medium))
        limit.started(length_class::Medium);
    int shortCalls = 0;
    for (; limit.allows(length_class::Short); ++shortCalls)
        limit.started(length_class::Short);
    REQUIRE(shortCalls == 2);
}

TEST_CASE("the concurrency limit decreases when latency rises and increases again when latency recovers")
{
    concurrency_limit limit({ .initial = 32 });
    mono_time now { 1s };
    const auto run = [&](duration latency) {
        for (int i = 0; i < 500; ++i) {
            now += 10ms;
            limit.replied(length_class::Short, latency, now);
        }
    };
    for (int i = 0; i < 32; ++i)
        limit.started(length_class::Short);
    run(10ms);
    const double grownLimit = limit.limit();
    REQUIRE(grownLimit > 32);
    run(60ms);
    const double reducedLimit = limit.limit();
    REQUIRE(reducedLimit < grownLimit / 2);
    run(10ms);
    REQUIRE(limit.limit() > reducedLimit);
}

TEST_CASE("a crash suspect runs exclusively on a server, and a busy pool drains one server for it")
{
    fixture f(2);
    const auto first = f.start(backend_id("s0"));
    const auto second = f.start(backend_id("s1"));
    const route_query suspect { .pool = pool, .exclusive = true };
    REQUIRE(f.routing.pick(suspect, f.now).error() == pick_refusal::ExclusiveBusy);
    const auto other = f.routing.pick({ .pool = pool }, f.now); // the server that is not draining
    REQUIRE(other);
    const auto draining = other->value() == "s0" ? second : first;
    f.routing.finished(draining, route_outcome::Succeeded, std::nullopt, f.now);
    const auto drained = f.routing.pick(suspect, f.now);
    REQUIRE(drained);
    REQUIRE(*drained != *other);
    const auto running = f.start(*drained, suspect);
    for (int i = 0; i < 20; ++i)
        REQUIRE(f.routing.pick({ .pool = pool }, f.now) == *other);
    f.routing.finished(running, route_outcome::Unreachable, std::nullopt, f.now);
    REQUIRE(f.routing.pick({ .pool = pool, .exclude = { *other } }, f.now) == *drained);
}

TEST_CASE("a stream without a frame for 8 median token gaps, and at least 1 s, is stalled")
{
    fixture f(1);
    const auto gap = GENERATE(10ms, 400ms);
    for (int i = 0; i < 40; ++i) {
        const auto stream = f.start(backend_id("s0"));
        f.routing.firstToken(stream, { 1, {}, false }, f.now);
        f.now += gap * 10;
        f.routing.progress(stream, 10, f.now);
        f.routing.finished(stream, route_outcome::Succeeded, std::nullopt, f.now);
    }
    const auto stream = f.start(backend_id("s0"));
    f.routing.firstToken(stream, { 1, {}, false }, f.now);
    const auto limit = std::max<duration>(1s, 8 * gap);
    REQUIRE(f.routing.stalledAttempts(f.now + limit).empty());
    REQUIRE(f.routing.stalledAttempts(f.now + limit + 1ms) == std::vector { stream });
}

TEST_CASE(
    "all VMs pick the same server for an affinity key, and another one only if that server is overloaded or excluded")
{
    fixture a(8);
    fixture b(8, { .zone = zone_id("b") });
    for (std::uint64_t key = 1; key < 100; ++key)
        REQUIRE(a.routing.pick({ .pool = pool, .affinityKey = key }, a.now)
            == b.routing.pick({ .pool = pool, .affinityKey = key }, b.now));
    const route_query query { .pool = pool, .affinityKey = 5 };
    const auto preferred = *a.routing.pick(query, a.now);
    const auto second = *a.routing.pick({ .pool = pool, .affinityKey = 5, .exclude = { preferred } }, a.now);
    REQUIRE(second != preferred);
    a.start(preferred, query);
    a.now += 1s;
    REQUIRE(*a.routing.pick(query, a.now) == second);
}

TEST_CASE("all options out of range are reported together")
{
    random_engine random;
    router_options options;
    options.loadBound = 0.5;
    options.retryShare = -1;
    REQUIRE(options.check().items().size() == 2);
    REQUIRE_THROWS_AS(router(options, random), std::invalid_argument);
}

TEST_CASE("a server that generates tokens slowly is ejected while its streams still run")
{
    fixture f(5);
    std::map<attempt_id, duration> streams;
    for (int i = 0; i < 5; ++i) {
        const backend_id server("s" + std::to_string(i));
        for (int n = 0; n < 3; ++n)
            streams[f.start(server)] = server.value() == "s0" ? 200ms : 20ms;
    }
    for (const auto& [id, gap] : streams)
        f.routing.firstToken(id, server_facts { 1, {}, false }, f.now);
    // A server ten times as slow must be ejected within 8 s; the streams themselves would take far longer.
    const mono_time begin = f.now;
    for (; f.now < begin + 8s; f.now += 20ms) {
        for (const auto& [id, gap] : streams) {
            if ((f.now - begin) % gap == duration::zero())
                f.routing.progress(id, 1, f.now);
        }
        (void)f.routing.pick({ .pool = pool }, f.now);
    }
    REQUIRE(f.health("s0") == health_state::Ejected);
    REQUIRE(f.health("s1") == health_state::Live);
}

// Replays of teams that surge, in virtual time, at a pool that batches the work of all teams.
#include "balsamspring/base/random.h"
#include "balsamspring/gateway/piece_queue.h"
#include "balsamspring/gateway/team_shares.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/core.h>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

const mono_time start { 1h };
constexpr std::size_t teamCount = 19;

team_id teamName(std::size_t index) { return team_id(fmt::format("team-{}", index)); }

// A few teams are large: the share of team i is proportional to 1 / (i + 1).
double usualShare(std::size_t index)
{
    double total = 0;
    for (std::size_t i = 0; i < teamCount; ++i)
        total += 1.0 / static_cast<double>(i + 1);
    return 1.0 / static_cast<double>(index + 1) / total;
}

struct surge_options {
    std::size_t team = 1; // the second largest
    double factor = 1;
    double burst = 1; // of all teams, during the surge
    bool isolation = true;
    std::size_t lostServers = 0;
    std::uint64_t seed = 1;
};

struct surge_result {
    std::map<team_id, int> asked;
    std::map<team_id, int> onTime;

    double share(std::size_t team) const
    {
        const auto found = onTime.find(teamName(team));
        return found == onTime.end() ? 0 : static_cast<double>(found->second) / asked.at(teamName(team));
    }
    void add(const surge_result& other)
    {
        for (const auto& [team, count] : other.asked)
            asked[team] += count;
        for (const auto& [team, count] : other.onTime)
            onTime[team] += count;
    }
    // The smallest share, relative to another run, of all teams but `excluded` that asked often enough to tell.
    double worstRelative(const surge_result& base, std::size_t excluded) const
    {
        double worst = 1;
        for (std::size_t team = 0; team < teamCount; ++team) {
            if (team != excluded)
                worst = std::min(worst, share(team) / base.share(team));
        }
        return worst;
    }
};

// Twenty seconds of usual traffic at 70% of the capacity, then ten seconds of a surge. Counts requests of the surge.
surge_result replaySurge(const surge_options& options)
{
    piece_spec spec;
    spec.batch = 22;
    spec.callTime = 150ms;
    spec.pieceTime = 5800us;
    std::vector<server_entry> servers(36);
    std::vector<const server_entry*> list;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = backend_id(fmt::format("s{}", i));
        list.push_back(&servers[i]);
    }
    piece_queue_options queueOptions;
    if (!options.isolation)
        queueOptions.shares.surgeFactor = 1e9;
    piece_queue queue(spec, queueOptions);
    random_engine random(options.seed);
    constexpr unsigned pieces = 8;
    const double capacity
        = static_cast<double>(servers.size()) * spec.batch / toSeconds(spec.callTime + spec.pieceTime * spec.batch);
    const double usualRate = 0.7 * capacity / pieces;
    constexpr duration step = 2ms;
    const mono_time surgeBegin = start + 20s;
    const mono_time surgeEnd = surgeBegin + 10s;
    struct running_call {
        mono_time end;
        piece_queue::call call;
    };
    struct waiting_request {
        team_id team;
        mono_time target;
        unsigned missing = pieces;
        bool counts = false;
    };
    surge_result outcome;
    std::vector<running_call> running;
    std::map<piece_ticket, waiting_request> requests;
    piece_ticket nextTicket = 1;
    for (mono_time now = start; now < surgeEnd + 3s; now += step) {
        std::erase_if(running, [&](const running_call& item) {
            if (item.end > now)
                return false;
            queue.succeeded(item.call.server, item.call.pieces, spec.callTime + spec.pieceTime * item.call.pieces, now);
            for (const auto& part : item.call.parts) {
                waiting_request& request = requests.at(part.ticket);
                request.missing -= part.count;
                if (request.missing == 0 && request.counts && now <= request.target)
                    outcome.onTime[request.team] += 1;
            }
            return true;
        });
        const bool surging = now >= surgeBegin && now < surgeEnd;
        if (surging && options.lostServers > 0)
            list.resize(servers.size() - options.lostServers);
        for (std::size_t team = 0; team < teamCount && now < surgeEnd; ++team) {
            double rate = usualRate * usualShare(team) * (surging ? options.burst : 1);
            if (surging && team == options.team)
                rate *= options.factor;
            // The number of arrivals in one step is small.
            const double mean = rate * toSeconds(step);
            const int arrivals = static_cast<int>(mean) + (uniform(random) < mean - std::floor(mean));
            for (int i = 0; i < arrivals; ++i) {
                piece_group group;
                group.ticket = nextTicket++;
                group.count = pieces;
                group.targetTime = now + 900ms;
                group.deadline = now + 5s;
                group.team = teamName(team);
                group.queuedAt = now;
                requests[group.ticket] = { group.team, group.targetTime, pieces, surging };
                if (surging)
                    outcome.asked[group.team] += 1;
                queue.add(group, list, now);
            }
        }
        queue.takeExpired(now);
        if ((now - start) % 40ms == duration::zero())
            queue.takeInfeasible(list, now);
        while (const auto call = queue.next(list, now))
            running.push_back({ now + spec.callTime + spec.pieceTime * call->pieces, *call });
    }
    return outcome;
}

} // namespace

TEST_CASE("each other team keeps what it gets while one team surges")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto base = replaySurge({ .seed = seed });
        for (const double factor : { 4.0, 7.5, 20.0 }) {
            for (const std::size_t team : { 1U, 6U, 15U }) {
                INFO("factor " << factor << ", team " << team << ", seed " << seed);
                const auto surge = replaySurge({ .team = team, .factor = factor, .seed = seed });
                CHECK(surge.worstRelative(base, team) >= 0.95);
                // The team still gets what it usually gets.
                CHECK(surge.onTime.at(teamName(team)) >= 0.95 * base.onTime.at(teamName(team)));
            }
        }
    }
}

TEST_CASE("each other team keeps what it gets while one team surges and a quarter of the servers is lost")
{
    // A small team asks some fifty times in one replay, too rarely for the bound.
    surge_result base;
    surge_result surge;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        base.add(replaySurge({ .lostServers = 9, .seed = seed }));
        surge.add(replaySurge({ .factor = 7.5, .lostServers = 9, .seed = seed }));
    }
    CHECK(surge.worstRelative(base, 1) >= 0.95);
}

TEST_CASE("without shares one team that surges makes the others late")
{
    const auto base = replaySurge({ .isolation = false });
    const auto surge = replaySurge({ .factor = 7.5, .isolation = false });
    CHECK(surge.worstRelative(base, 1) < 0.7);
}

TEST_CASE("no team is limited when all teams rise alike or when capacity is idle")
{
    team_shares shares;
    random_engine random(1);
    std::map<team_id, int> limited;
    for (mono_time now = start; now < start + 30s; now += 5ms) {
        const double rise = now < start + 20s ? 1 : 2;
        for (std::size_t team = 0; team < teamCount; ++team) {
            if (uniform(random) < 100 * rise * usualShare(team) * 0.005 && !shares.admit(teamName(team), 8, 1200, now))
                limited[teamName(team)] += 1;
        }
    }
    int total = 0;
    for (const auto& [team, count] : limited)
        total += count;
    CHECK(total <= 30); // of 3,000 requests: small teams may exceed their share by chance
    // An idle pool serves a surge.
    team_shares idle;
    for (mono_time now = start; now < start + 5s; now += 10ms)
        CHECK(idle.admit(teamName(0), 8, 100'000, now));
}

TEST_CASE("a new team gets a share during a surge, and idle teams are forgotten")
{
    team_shares shares;
    for (mono_time now = start; now < start + 20s; now += 10ms)
        shares.admit(teamName(now.time_since_epoch() % 20ms == duration::zero()), 8, 1000, now);
    int admitted = 0;
    for (mono_time now = start + 20s; now < start + 25s; now += 10ms) {
        for (int i = 0; i < 8; ++i)
            shares.admit(teamName(0), 8, 1000, now);
        if (now.time_since_epoch() % 100ms == duration::zero())
            admitted += shares.admit(teamName(2), 8, 1000, now);
    }
    CHECK(admitted >= 40); // of 50
    shares.admit(teamName(3), 8, 1000, start + 1h);
    shares.admit(teamName(3), 8, 1000, start + 1h + 1s);
    CHECK(shares.teams() == 1);
}

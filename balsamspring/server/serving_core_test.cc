#include "balsamspring/schema/config.pb.h"
#include "balsamspring/server/serving_core.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

schema::configuration twoPools(int engines)
{
    schema::configuration source;
    auto& services = (*source.mutable_pools())["search"];
    services.set_kind(schema::pool::retriever);
    (*services.mutable_servers())["r1"].set_address("127.0.0.1:1");
    auto& pool = (*source.mutable_pools())["engines"];
    pool.set_kind(schema::pool::engine);
    for (int i = 1; i <= engines; ++i)
        (*pool.mutable_servers())["e" + std::to_string(i)].set_address("127.0.0.1:" + std::to_string(10 + i));
    auto& pipeline = (*source.mutable_pipelines())["report"];
    pipeline.set_deadline_ms(6000);
    auto* retrieve = pipeline.add_stages();
    retrieve->set_name("retrieve");
    retrieve->set_kind(schema::stage::retrieve);
    retrieve->set_pool("search");
    auto* generate = pipeline.add_stages();
    generate->set_name("draft");
    generate->set_kind(schema::stage::generate);
    generate->set_pool("engines");
    generate->set_model("m");
    (*source.mutable_teams())["t"].set_requests_per_second(0);
    (*source.mutable_teams())["limited"].set_requests_per_second(2);
    return source;
}

serving_core_options options()
{
    serving_core_options given;
    given.vm = vm_id("vm1");
    return given;
}

class core_fixture {
public:
    explicit core_fixture(int engines = 3)
        : core(options(), m_random)
    {
        core.configure(*config_snapshot::create(twoPools(engines), config_version(1)), now);
        core.setVms({ { vm_id("vm1"), zone_id("a") } }, now);
    }

    // Asks for a server for the generate stage; the answer may come later.
    attempt_id ask(std::uint64_t content, duration remaining = 5s)
    {
        choose_server_action action;
        action.attempt = attempt_id(++m_attempts);
        action.request = request_id("r" + std::to_string(m_attempts));
        action.team = team_id("t");
        action.pipeline = pipeline_id("report");
        action.priority = 1;
        action.stage = 1;
        action.model = model_id("m");
        action.content = fingerprint(content);
        action.remaining = remaining;
        core.request(action, pool_id("engines"), now);
        m_asked[action.attempt] = action.content;
        collect();
        return action.attempt;
    }

    void collect()
    {
        for (const serving_core::choice& choice : core.takeChoices())
            answers[choice.attempt] = choice.answer;
    }

    void end(attempt_id attempt, attempt_outcome outcome, duration elapsed)
    {
        core.ended({ attempt, 1, *answers.at(attempt), m_asked.at(attempt), outcome, elapsed, 0 }, now);
        collect();
    }

    void tick(duration step)
    {
        now += step;
        core.tick(now);
        collect();
    }

    std::string serverOf(attempt_id attempt) { return answers.at(attempt)->id.value(); }
    std::string refusalOf(attempt_id attempt)
    {
        return answers.contains(attempt) && !answers.at(attempt) ? answers.at(attempt).error().reason : "";
    }

private:
    random_engine m_random { 3 };
    std::uint64_t m_attempts = 0;
    std::map<attempt_id, fingerprint> m_asked;

public:
    mono_time now { 1h };
    serving_core core;
    std::map<attempt_id, server_choice> answers;
};

} // namespace

TEST_CASE("a team over its rate is refused with not_run and a retry hint, other teams are not")
{
    core_fixture fixture;
    const auto admit = [&](const char* team) {
        return fixture.core.admit({ team_id(team), pipeline_id("report"), 1, 6s }, fixture.now);
    };
    REQUIRE_FALSE(admit("limited"));
    const auto refused = admit("limited");
    REQUIRE(refused);
    REQUIRE(refused->reason == "quota_exceeded");
    REQUIRE(refused->work == work_state::NotRun);
    REQUIRE(refused->retryAfter > duration::zero());
    REQUIRE_FALSE(admit("t"));
}

TEST_CASE("content that crashes servers is refused after two crashes and its neighbours never are")
{
    core_fixture fixture(4);
    const auto crash = [&](const std::string& server, std::uint64_t generation) {
        fixture.core.seen(attempt_id(999999), backend_id(server), { generation, {}, false }, fixture.now);
        fixture.collect();
    };
    // Fill all servers so that the harmful content shares its server with others.
    std::vector<attempt_id> others;
    for (std::uint64_t i = 0; i < 12; ++i)
        others.push_back(fixture.ask(100 + i));
    const attempt_id bad = fixture.ask(7);
    const std::string first = fixture.serverOf(bad);
    crash(first, 1);
    fixture.end(bad, attempt_outcome::Failed, 10ms);
    std::vector<std::uint64_t> neighbours;
    for (std::size_t i = 0; i < others.size(); ++i) {
        const bool shared = fixture.serverOf(others[i]) == first;
        if (shared)
            neighbours.push_back(100 + i);
        fixture.end(others[i], shared ? attempt_outcome::Failed : attempt_outcome::Success, 10ms);
    }
    REQUIRE_FALSE(neighbours.empty());
    crash(first, 2);

    const attempt_id second = fixture.ask(7);
    REQUIRE(fixture.answers.contains(second));
    // Nothing joins the server on which the suspect runs.
    const attempt_id next = fixture.ask(500);
    REQUIRE(fixture.serverOf(next) != fixture.serverOf(second));
    crash(fixture.serverOf(second), 10);
    fixture.end(second, attempt_outcome::Failed, 10ms);
    crash(fixture.serverOf(second), 11);
    REQUIRE(fixture.refusalOf(fixture.ask(7)) == "crashes_backend");

    fixture.end(next, attempt_outcome::Success, 10ms);
    for (const std::uint64_t content : neighbours) {
        const attempt_id again = fixture.ask(content);
        for (int i = 0; i < 100 && !fixture.answers.contains(again); ++i)
            fixture.tick(50ms);
        REQUIRE(fixture.refusalOf(again).empty());
        fixture.end(again, attempt_outcome::Success, 10ms);
        REQUIRE(fixture.refusalOf(fixture.ask(content)).empty());
    }
}

TEST_CASE("a leaving server gets no new work")
{
    core_fixture fixture;
    SECTION("sign in a reply")
    {
        std::vector<attempt_id> attempts;
        for (std::uint64_t i = 0; i < 10; ++i)
            attempts.push_back(fixture.ask(i));
        for (const attempt_id id : attempts) {
            if (fixture.serverOf(id) == "e1")
                fixture.core.seen(id, backend_id("e1"), { 1, {}, true }, fixture.now);
        }
    }
    SECTION("news of a peer") { fixture.core.markLeaving(backend_id("e1"), 0, fixture.now); }
    fixture.tick(1s);
    for (std::uint64_t i = 0; i < 30; ++i)
        REQUIRE(fixture.serverOf(fixture.ask(1000 + i)) != "e1");
}

TEST_CASE("work that waits longer than its deadline allows is refused with not_run and never started")
{
    core_fixture fixture(1);
    std::vector<attempt_id> attempts;
    for (std::uint64_t i = 0; i < 200; ++i)
        attempts.push_back(fixture.ask(i, 2s));
    const auto started = static_cast<std::size_t>(std::count_if(attempts.begin(), attempts.end(),
        [&](attempt_id id) { return fixture.answers.contains(id) && fixture.answers.at(id); }));
    REQUIRE(started < attempts.size());
    for (int i = 0; i < 60; ++i)
        fixture.tick(50ms);
    std::size_t refused = 0;
    for (const attempt_id id : attempts) {
        REQUIRE(fixture.answers.contains(id));
        if (fixture.answers.at(id))
            continue;
        ++refused;
        REQUIRE(fixture.answers.at(id).error().work == work_state::NotRun);
    }
    REQUIRE(refused == attempts.size() - started);
    REQUIRE(fixture.core.waiting() == 0);
}

TEST_CASE("abandoned work leaves no place or queue entry behind")
{
    core_fixture fixture(1);
    std::vector<attempt_id> attempts;
    for (std::uint64_t i = 0; i < 100; ++i)
        attempts.push_back(fixture.ask(i));
    for (const attempt_id id : attempts) {
        if (fixture.answers.contains(id))
            fixture.end(id, attempt_outcome::Cancelled, 1ms);
        else
            fixture.core.abandon(id);
    }
    for (const attempt_id id : attempts) {
        if (fixture.answers.contains(id) && fixture.answers.at(id))
            fixture.end(id, attempt_outcome::Cancelled, 1ms);
    }
    REQUIRE(fixture.core.waiting() == 0);
    for (const server_status& status : fixture.core.servers(pool_id("engines"), fixture.now))
        REQUIRE(status.inFlight == 0);
}

TEST_CASE("an early stage may use the time that the later stages usually leave")
{
    // Guards against a short stage that fails with its share of the deadline used up while seconds are left.
    core_fixture fixture;
    const auto config = *config_snapshot::create(twoPools(1), config_version(1));
    const auto plan = config->pipeline(pipeline_id("report"));
    REQUIRE(plan);
    const duration usual = stage_estimator_options {}.prior;
    REQUIRE(fixture.core.budget(*plan, 0, 6s).limit == 6s - usual);
    REQUIRE(fixture.core.budget(*plan, 1, 6s).limit == 6s);
    REQUIRE(fixture.core.budget(*plan, 0, 2 * usual - 1us).exceedsDeadline);
}

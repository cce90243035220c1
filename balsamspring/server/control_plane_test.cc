// Two daemons, the stand-in log, VM list, engine and service in one process over loopback HTTP.
#include "balsamspring/backend/http_backend_client.h"
#include "balsamspring/base/hash.h"
#include "balsamspring/config/config_api.h"
#include "balsamspring/emulator/model_engine.h"
#include "balsamspring/emulator/plain_service.h"
#include "balsamspring/emulator/platform_servers.h"
#include "balsamspring/server/daemon.h"
#include "balsamspring/server/embedded.h"

#include <thread>

#include <catch2/catch.hpp>
#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>

using namespace balsamspring;

namespace {

using nlohmann::json;

struct http_answer {
    unsigned status = 0;
    json body;
};

http_answer exchange(const std::string& method, const std::string& address, const std::string& path,
    const std::string& token, const std::string& body = {}, const std::string& key = {})
{
    web::http::http_request request(method);
    request.set_request_uri(path);
    request.headers().add("Authorization", "Bearer " + token);
    if (!key.empty())
        request.headers().add("Idempotency-Key", key);
    if (!body.empty())
        request.set_body(body, "application/json");
    web::http::client::http_client client(web::uri("http://" + address));
    auto response = client.request(request).get();
    return { response.status_code(), json::parse(response.extract_utf8string(true).get(), nullptr, false) };
}

template <class Condition> bool eventually(const Condition& condition)
{
    for (int i = 0; i < 1000; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

struct test_site {
    test_site()
    {
        log.start();
        vms.start();
        engine.start();
        service.start();
    }

    config_sources configuration(int reportDeadline = 20'000) const
    {
        const std::string text = "[pools.engines]\nkind = \"engine\"\n[pools.engines.servers.engine-a]\naddress = \""
            + engine.address() + "\"\nzone = \"local\"\nmodels = [\"small\"]\n[pools.services]\nkind = \"service\"\n"
            + "[pools.services.servers.service-a]\naddress = \"" + service.address() + "\"\nzone = \"local\"\n"
            + "[pipelines.report]\ndeadline_ms = " + std::to_string(reportDeadline)
            + "\n[[pipelines.report.stages]]\nname = \"draft\"\nkind = \"generate\"\npool = \"engines\"\n"
            + "model = \"small\"\nmax_tokens = 8\n[pipelines.award]\ndeadline_ms = 6000\n"
            + "[[pipelines.award.stages]]\nname = \"record\"\nkind = \"call\"\npool = \"services\"\n"
            + "operation = \"award\"\nnon_idempotent = true\n[teams.demo]\nweight = 1\ntoken_sha256 = [\""
            + sha256Hex(embeddedTeamToken)
            // Less than the deadline of a call, so that a lost answer is `unknown` within the test.
            + "\"]\n[claims]\noutcome_wait_ms = 3000\n";
        return { { "base.toml", text }, {} };
    }

    log_server log;
    vm_list_server vms;
    model_engine engine;
    plain_service service;
};

struct site_daemon {
    site_daemon(test_site& site, int port)
        : address("127.0.0.1:" + std::to_string(port))
        , operatorAddress("127.0.0.1:" + std::to_string(port + 1))
    {
        daemon_options options;
        options.settings = embeddedSettings();
        options.settings.set_vm("vm" + std::to_string(port));
        options.settings.set_caller_address(address);
        options.settings.set_operator_address(operatorAddress);
        options.settings.set_log_address(site.log.address());
        options.settings.set_vm_list_address(site.vms.address());
        options.settings.set_platform_timeout_ms(500);
        options.resumeKey = "test key of 16 bytes";
        options.client = std::make_shared<http_backend_client>();
        daemon = std::make_unique<entry_daemon>(options);
    }
    ~site_daemon() { daemon->drainAndStop(); }
    site_daemon(const site_daemon&) = delete;
    site_daemon& operator=(const site_daemon&) = delete;

    void start() const { REQUIRE(daemon->start().has_value()); }
    bool becomesReady() const
    {
        return eventually([&] { return ready()["non_idempotent"] == true; });
    }
    // Repeats the POST until the proposal is judged, as balsamspringctl does.
    json publish(const std::string& id, std::uint64_t base, const config_sources& sources) const
    {
        const std::string body = toJson(proposal_request { id, config_version(base), "tester", sources });
        json answer;
        eventually([&] {
            const http_answer reply = operators("POST", "/v1/config/proposals", body);
            answer = reply.body;
            return reply.status != 503 && answer.value("state", "") != "pending";
        });
        UNSCOPED_INFO(answer);
        return answer;
    }

    json ready() const { return exchange("GET", operatorAddress, "/readyz", "").body; }
    std::string newKey() const { return exchange("POST", address, "/v1/keys", embeddedTeamToken).body.at("key"); }
    http_answer award(const std::string& key, const std::string& input = "7") const
    {
        return exchange(
            "POST", address, "/v1/pipelines/award/run", embeddedTeamToken, "{\"input\":" + input + "}", key);
    }
    json callState(const std::string& key) const
    {
        return exchange("GET", address, "/v1/calls/" + key, embeddedTeamToken).body;
    }
    http_answer operators(const std::string& method, const std::string& path, const std::string& body = {}) const
    {
        return exchange(method, operatorAddress, path, embeddedOperatorToken, body);
    }

    std::string address;
    std::string operatorAddress;
    std::unique_ptr<entry_daemon> daemon;
};

} // namespace

TEST_CASE("the same key at two daemons at once runs the call once, so that no award is given twice")
{
    test_site site;
    const site_daemon one(site, 19300);
    const site_daemon two(site, 19310);
    one.start();
    two.start();
    REQUIRE(one.publish("first", 0, site.configuration())["state"] == "accepted");
    REQUIRE((one.becomesReady() && two.becomesReady()));
    const std::string key = one.newKey();
    http_answer first;
    std::thread other([&] { first = two.award(key); });
    const http_answer second = one.award(key);
    other.join();
    REQUIRE(site.service.totalExecutions() == 1);
    REQUIRE((first.status == 200 || second.status == 200));
    const http_answer again = two.award(key);
    REQUIRE(again.status == 200);
    REQUIRE(again.body["output"]["execution"] == 1);
    REQUIRE(one.callState(key)["work"] == "completed");
    REQUIRE(one.operators("GET", "/v1/calls/" + key).body["output"]["execution"] == 1);
    REQUIRE(one.award(key, "8").body["error"]["reason"] == "key_reused");
    REQUIRE(site.service.totalExecutions() == 1);
}

TEST_CASE("a call whose answer is lost after it ran is unknown and is not sent again")
{
    test_site site;
    const site_daemon one(site, 19320);
    const site_daemon two(site, 19330);
    one.start();
    two.start();
    REQUIRE(one.publish("first", 0, site.configuration())["state"] == "accepted");
    REQUIRE((one.becomesReady() && two.becomesReady()));
    server_faults faults;
    faults.resetAfterTokens = 0;
    site.service.setFaults(faults);
    const std::string key = one.newKey();
    // `running` until the time that the configuration gives the outcome is over, and `unknown` from then on.
    REQUIRE(one.award(key).body["error"]["work"] == "running");
    // Each VM counts that time from when it read the claim.
    for (const site_daemon* daemon : { &one, &two })
        REQUIRE(eventually([&] { return daemon->callState(key)["work"] == "unknown"; }));
    REQUIRE(site.service.totalExecutions() == 1);
    site.service.setFaults({});
    for (const site_daemon* daemon : { &one, &two }) {
        const http_answer again = daemon->award(key);
        REQUIRE(again.status != 200);
        REQUIRE(again.body["error"]["work"] == "unknown");
    }
    REQUIRE(site.service.totalExecutions() == 1);
    const auto early = one.operators(
        "POST", "/v1/calls/" + key + "/settlement", R"({"operator":"a","verdict":"ran","note":"seen in the ledger"})");
    REQUIRE(early.status == 409);
    REQUIRE(early.body["error"]["reason"] == "settled_too_early");
}

TEST_CASE("while the log is out repeatable work continues and calls under keys are refused at once")
{
    test_site site;
    const site_daemon one(site, 19340);
    one.start();
    REQUIRE(one.publish("first", 0, site.configuration())["state"] == "accepted");
    REQUIRE(one.becomesReady());
    const std::string key = one.newKey();
    site.log.setFaults({ .out = true });
    REQUIRE(eventually([&] { return one.ready()["non_idempotent"] == false; }));
    const json ready = one.ready();
    REQUIRE(ready["repeatable"] == true);
    REQUIRE(ready["reasons"] == json { "log_unavailable" });
    const mono_time begin = monotonicNow();
    const http_answer refused = one.award(key);
    REQUIRE(monotonicNow() - begin < std::chrono::milliseconds(500));
    REQUIRE(refused.body["error"]["reason"] == "log_unavailable");
    REQUIRE(refused.body["error"]["work"] == "unknown");
    REQUIRE(refused.body["error"]["this_attempt"] == "not_run");
    const auto report
        = exchange("POST", one.address, "/v1/pipelines/report/run", embeddedTeamToken, R"({"input":"x"})");
    REQUIRE(report.status == 200);
    site.log.setFaults({});
    REQUIRE(eventually([&] { return one.ready()["non_idempotent"] == true; }));
    REQUIRE(one.award(key).status == 200);
    REQUIRE(site.service.executions("award", R"({"input":7,"stages":{}})") == 1);
}

TEST_CASE("of two operators who publish at once one wins and its version is in force at both daemons")
{
    test_site site;
    const site_daemon one(site, 19350);
    const site_daemon two(site, 19360);
    one.start();
    two.start();
    REQUIRE(one.publish("first", 0, site.configuration())["state"] == "accepted");
    REQUIRE((one.becomesReady() && two.becomesReady()));
    json first;
    std::thread other([&] { first = two.publish("second", 1, site.configuration(15'000)); });
    const json third = one.publish("third", 1, site.configuration(16'000));
    other.join();
    const auto won = [](const json& answer) {
        return answer.value("state", "") == "accepted";
    };
    REQUIRE(won(first) != won(third));
    const auto reports = [&] {
        return std::pair(one.operators("GET", "/v1/config").body, two.operators("GET", "/v1/config").body);
    };
    REQUIRE(eventually([&] {
        const auto [left, right] = reports();
        return left["version"] == 2 && right["version"] == 2 && left["digest"] == right["digest"];
    }));
    REQUIRE(one.operators("GET", "/v1/status").body["config_version"] == 2);
    REQUIRE(two.operators("GET", "/v1/status").body["config_version"] == 2);
    REQUIRE(two.operators("GET", "/v1/config/history").body["history"].size() == 2);
}

TEST_CASE("a daemon that starts while the log is out is not ready, because it cannot know the version in force")
{
    test_site site;
    const site_daemon one(site, 19370);
    one.start();
    REQUIRE(one.publish("first", 0, site.configuration())["state"] == "accepted");
    site.log.setFaults({ .out = true });
    const site_daemon two(site, 19380);
    two.start();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const json ready = two.ready();
    REQUIRE(ready["repeatable"] == false);
    REQUIRE(ready["reasons"] == json { "config_unknown", "log_unavailable" });
    REQUIRE(one.ready()["repeatable"] == true);
    site.log.setFaults({});
    REQUIRE(two.becomesReady());
}

TEST_CASE("a call under one key runs once whichever of five VMs it comes to")
{
    test_site site;
    std::vector<std::unique_ptr<site_daemon>> daemons;
    std::vector<vm_entry> list;
    for (int port = 19400; port < 19450; port += 10) {
        daemons.push_back(std::make_unique<site_daemon>(site, port));
        list.push_back({ vm_id("vm" + std::to_string(port)), "127.0.0.1:" + std::to_string(port + 2), zone_id("local"),
            vm_kind::Entry, vm_state::Live });
    }
    site.vms.setEntries(list);
    for (const auto& daemon : daemons)
        daemon->start();
    REQUIRE(daemons[0]->publish("first", 0, site.configuration())["state"] == "accepted");
    for (const auto& daemon : daemons) {
        REQUIRE(daemon->becomesReady());
    }
    for (std::uint64_t i = 1; i <= 3; ++i) {
        const std::string key = daemons[0]->newKey();
        for (const auto& daemon : daemons) {
            const http_answer answer = daemon->award(key);
            INFO(answer.body.dump());
            REQUIRE(answer.status == 200);
        }
        REQUIRE(site.service.totalExecutions() == i);
    }
}

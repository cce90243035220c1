#include "balsamspring/config/config_api.h"
#include "balsamspring/ctl/ctl.h"
#include "balsamspring/platform/memory_log.h"

#include <array>
#include <fstream>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fmt/core.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

// Records the calls and replies as the test says.
struct scripted_api : operator_api {
    result<operator_reply> call(const std::string& method, const std::string& path, const std::string& body) override
    {
        calls.push_back(method + " " + path + (body.empty() ? "" : " " + body));
        if (respond)
            return respond(method, path, body);
        return operator_reply { 200, R"({"a":"x"})" };
    }

    std::vector<std::string> calls;
    std::function<result<operator_reply>(const std::string&, const std::string&, const std::string&)> respond;
};

// Lets the test keep the object that a command owns.
struct borrowed_api : operator_api {
    explicit borrowed_api(operator_api& target)
        : target(target)
    {
    }

    result<operator_reply> call(const std::string& method, const std::string& path, const std::string& body) override
    {
        return target.call(method, path, body);
    }

    operator_api& target;
};

struct ctl_run {
    exit_code run(const std::vector<std::string>& arguments)
    {
        out.str("");
        err.str("");
        return runCtl(arguments,
            { out, err, [this](const auto&, const auto&, duration) { return std::make_unique<borrowed_api>(api); },
                [this] { return now; }, [this](duration time) { sleep(time); }, [] { return std::string("id-1"); },
                [](const char* name) {
                    return std::string(name) == "USER" ? "ann" : "token";
                } });
    }

    void sleep(duration time)
    {
        now += time;
        if (whileAsleep)
            whileAsleep(now);
    }

    scripted_api api;
    mono_time now;
    std::function<void(mono_time)> whileAsleep;
    std::ostringstream out;
    std::ostringstream err;
};

std::string writeFile(const std::string& name, const std::string& text)
{
    std::ofstream(name) << text;
    return name;
}

std::string baseFile(int deadline)
{
    return writeFile("ctl_test_base.toml",
        fmt::format("[pools.p]\nkind = \"service\"\n[pools.p.servers.a]\naddress = \"127.0.0.1:1\"\nzone = \"z\"\n"
                    "[pipelines.q]\ndeadline_ms = {}\n[[pipelines.q.stages]]\nname = \"s\"\nkind = \"call\"\n"
                    "pool = \"p\"\noperation = \"o\"\n",
            deadline));
}

// The daemon's side of the operator API on a log in memory.
struct daemon_side {
    daemon_side()
        : versions({}, {}, random_engine(1), now)
        , follower({}, log, versions, thread(), random_engine(2))
        , publisher({}, log, versions, follower, thread(), random_engine(3))
    {
        tick(now);
    }

    control_hooks thread()
    {
        return { [](const std::function<void()>& task) { task(); },
            [this] {
                return now;
            } };
    }

    void tick(mono_time time)
    {
        now = time;
        follower.tick(now);
        publisher.tick(now);
    }

    result<operator_reply> respond(const std::string& method, const std::string& path, const std::string& body)
    {
        if (path == "/v1/config/proposals" && method == "POST") {
            api_response answer = handleProposal(publisher, body, 30s, now);
            return operator_reply { answer.status, answer.body };
        }
        if (path == "/v1/config/members") {
            std::vector<config_member> members { { vm_id("v1"), versions.version(), versions.digest() } };
            members.insert(members.end(), others.begin(), others.end());
            return operator_reply { 200, toJson(members) };
        }
        if (path == "/v1/config/history")
            return operator_reply { 200, historyJson(versions.history()) };
        return operator_reply { 200, toJson(reportOf(versions)) };
    }

    mono_time now;
    memory_log log;
    config_versions versions;
    config_follower follower;
    config_publisher publisher;
    std::vector<config_member> others;
};

struct publish_run : ctl_run {
    publish_run()
    {
        api.respond = [this](const auto& method, const auto& path, const auto& body) {
            return daemon.respond(method, path, body);
        };
        whileAsleep = [this](mono_time time) {
            daemon.tick(time);
        };
    }

    daemon_side daemon;
};

} // namespace

TEST_CASE("wrong usage is told with exit code 2 and reaches no VM")
{
    ctl_run ctl;
    const std::vector<std::vector<std::string>> lines { {}, { "fly" }, { "config" }, { "config", "check" },
        { "status", "x" }, { "call", "settle", "k" }, { "call", "settle", "k", "--verdict", "maybe", "--note", "n" },
        { "call", "settle", "k", "--verdict", "ran" }, { "--nonsense" }, { "status", "--timeout", "-1" },
        { "config", "publish", baseFile(1), "--id", "i" } };
    for (const auto& line : lines)
        CHECK(ctl.run(line) == exit_code::Usage);
    CHECK(ctl.api.calls.empty());
    CHECK(ctl.run({ "--help" }) == exit_code::Done);
    CHECK(ctl.out.str().find("Exit codes") != std::string::npos);
    CHECK(ctl.run({ "--version" }) == exit_code::Done);
}

TEST_CASE("each command calls its path and escapes ids")
{
    ctl_run ctl;
    for (const auto& line : std::vector<std::vector<std::string>> { { "status" }, { "backends" }, { "request", "a/b" },
             { "call", "bk1.0.1" }, { "drain" }, { "config", "history" },
             { "call", "settle", "k", "--verdict", "not_run", "--note", "n" } })
        REQUIRE(ctl.run(line) == exit_code::Done);
    REQUIRE(ctl.api.calls
        == std::vector<std::string> { "GET /v1/status", "GET /v1/backends", "GET /v1/requests/a%2Fb",
            "GET /v1/calls/bk1.0.1", "POST /v1/drain {}", "GET /v1/config/history",
            R"(POST /v1/calls/k/settlement {"note":"n","operator":"ann","verdict":"not_run"})" });
    REQUIRE(ctl.out.str() == "a: x\n");
}

TEST_CASE("a refusal, an unreachable VM and one that is not ready have their exit codes")
{
    ctl_run ctl;
    ctl.api.respond = [](const auto&, const auto&, const auto&) {
        return operator_reply { 404, R"({"error":{"reason":"not_found","message":"no such request"}})" };
    };
    REQUIRE(ctl.run({ "request", "r" }) == exit_code::Refused);
    REQUIRE(ctl.err.str().find("not_found: no such request") != std::string::npos);
    ctl.api.respond = [](const auto&, const auto&, const auto&) {
        return operator_reply { 503, "busy" };
    };
    REQUIRE(ctl.run({ "status" }) == exit_code::Unreachable);
    ctl.api.respond = [](const auto&, const auto&, const auto&) {
        return makeError(error_code::Timeout, "slow");
    };
    REQUIRE(ctl.run({ "status", "--json" }) == exit_code::Unreachable);
}

TEST_CASE("check, merge and diff work on files alone")
{
    ctl_run ctl;
    REQUIRE(ctl.run({ "config", "check", baseFile(7) }) == exit_code::Done);
    REQUIRE(ctl.run({ "config", "merge", baseFile(7) }) == exit_code::Done);
    REQUIRE(ctl.out.str().find("pipelines.q.deadline_ms = 7\n") != std::string::npos);
    REQUIRE(ctl.out.str().find("# digest ") != std::string::npos);
    const std::string old = writeFile("ctl_test_old.toml", "x = 1\n");
    REQUIRE(ctl.run({ "config", "check", old }) == exit_code::Refused);
    REQUIRE(ctl.err.str().find("ctl_test_old.toml:1:1: unknown key \"x\"") != std::string::npos);
    std::ifstream base(baseFile(7));
    std::stringstream text;
    text << base.rdbuf();
    writeFile("ctl_test_old.toml", text.str());
    REQUIRE(ctl.run({ "config", "diff", baseFile(8), "--against", old }) == exit_code::Done);
    REQUIRE(ctl.out.str() == "pipelines.q.deadline_ms: 7 -> 8\n");
    REQUIRE(ctl.api.calls.empty());
}

TEST_CASE("publish waits until the version is in force everywhere and names the VMs that lag")
{
    publish_run ctl;
    REQUIRE(ctl.run({ "config", "publish", baseFile(1) }) == exit_code::Done);
    REQUIRE(ctl.out.str() == "version 1 is in force everywhere\n");
    ctl.daemon.others = { { vm_id("v2"), config_version(0), "" }, { vm_id("v3"), config_version(1), "x" } };
    const auto again = ctl.run({ "config", "publish", baseFile(1), "--id", "id-1", "--base-version", "0" });
    REQUIRE(again == exit_code::NotEverywhere);
    REQUIRE(ctl.err.str().find("VM v3 has another digest") != std::string::npos);
    ctl.daemon.others.pop_back();
    REQUIRE(ctl.run({ "config", "publish", baseFile(1), "--id", "id-1", "--base-version", "0", "--wait", "3" })
        == exit_code::NotEverywhere);
    REQUIRE(ctl.out.str() == "version 1 is accepted; not in force yet at: v2\n");
    REQUIRE(ctl.run({ "config", "publish", baseFile(2), "--id", "id-2", "--base-version", "0" }) == exit_code::Refused);
    REQUIRE(ctl.err.str().find("based on version 0, current is 1") != std::string::npos);
    REQUIRE(ctl.run({ "config", "history" }) == exit_code::Done);
    REQUIRE(ctl.out.str().find("ann") != std::string::npos);
    REQUIRE(ctl.run({ "config", "diff", baseFile(3) }) == exit_code::Done);
    REQUIRE(ctl.out.str() == "pipelines.q.deadline_ms: 1 -> 3\n");
}

TEST_CASE("publish that gets no verdict says how to repeat it")
{
    publish_run ctl;
    ctl.daemon.log.setFaults({ .dropAppend = 1 });
    REQUIRE(ctl.run({ "config", "publish", baseFile(1), "--wait", "5" }) == exit_code::Unreachable);
    REQUIRE(ctl.err.str().find("repeat with --id id-1 --base-version 0") != std::string::npos);
    ctl.daemon.log.setFaults({ .loseAck = 1 });
    REQUIRE(ctl.run({ "config", "publish", baseFile(1), "--id", "id-1", "--base-version", "0" }) == exit_code::Done);
}

TEST_CASE("the HTTP client sends method, path, token and body and returns the reply")
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(listener, 1) == 0);
    REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    std::string request;
    std::thread server([&] {
        const int connection = accept(listener, nullptr, nullptr);
        std::array<char, 4096> buffer {};
        while (request.find("{\"x\":1}") == std::string::npos) {
            const auto count = read(connection, buffer.data(), buffer.size());
            if (count <= 0)
                break;
            request.append(buffer.data(), static_cast<std::size_t>(count));
        }
        const std::string reply = "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
        (void)!write(connection, reply.data(), reply.size());
        close(connection);
    });
    const std::string target = fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
    const auto reply = makeHttpOperatorApi(target, "secret", 5s)->call("POST", "/v1/drain", "{\"x\":1}");
    server.join();
    close(listener);
    REQUIRE(reply.has_value());
    CHECK(reply->status == 409);
    CHECK(reply->body == "{}");
    INFO(request);
    CHECK(request.find("POST /v1/drain HTTP/1.1") == 0);
    // cpprestsdk writes no blank after the colon, which HTTP permits.
    CHECK(request.find("\r\nAuthorization:Bearer secret\r\n") != std::string::npos);
    CHECK_FALSE(makeHttpOperatorApi(target, "secret", 2s)->call("GET", "/v1/status", "").has_value());
}

#include "review/stand_ins/deployment.h"

#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>

namespace balsamspring::review {

namespace {

using json = nlohmann::json;

constexpr std::uint32_t storePartitions = 12;
// Clients use connections again that were idle for up to four fifths of `idle_timeout_ms`.
constexpr duration idleReuse = std::chrono::seconds(12);

std::uint16_t freePort(event_loop& loop, const std::string& address)
{
    const auto probe
        = listener::open(loop, { address, 0 }, std::chrono::seconds(1), [](const std::shared_ptr<connection>&) {});
    if (!probe)
        throw std::runtime_error(probe.error().message);
    return (*probe)->port();
}

} // namespace

case_record::case_record(const std::string& path)
    : m_file(path, std::ios::trunc)
    , m_start(bootNow())
{
    if (!m_file)
        throw std::runtime_error("cannot write the record");
}

void case_record::add(const std::string& line)
{
    m_file << fmt::format("{:8.3f} {}\n", toSeconds(bootNow() - m_start), line);
    m_file.flush();
}

machine::machine(event_loop& loop, std::vector<std::string> command, std::string name, const std::string& address,
    const endpoint& store, const std::string& directory, const gateway_bounds& bounds)
    : m_command(std::move(command))
    , m_name(std::move(name))
    , m_frontend { address, freePort(loop, address) }
    , m_readiness { address, freePort(loop, address) }
    , m_settingsPath(directory + "/" + m_name + ".toml")
    , m_logPath(directory + "/" + m_name + ".log")
{
    const std::uint16_t peers = freePort(loop, address);
    // The metrics address of the run command must be free as well.
    for (std::size_t i = 0; i + 1 < m_command.size(); ++i) {
        if (m_command[i] == "--metrics-port")
            m_command[i + 1] = std::to_string(freePort(loop, address));
    }
    std::ofstream settings(m_settingsPath);
    settings << fmt::format("node_name = \"{0}\"\nrole = \"gateway\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\n"
                            "ip = \"{1}\"\nzone = \"nl-west-a\"\nregion = \"nl-west\"\n"
                            "internal_port_range = [{2},{2}]\nseed_nodes = []\nbootstrap = true\n"
                            "counts_as_loss = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n"
                            "heartbeat_ms = 1200\n[zones]\nnl-west-a = \"nl-west\"\n"
                            "[listen_addresses]\nfrontend = \"{3}\"\nreadiness = \"{4}\"\n"
                            "[limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n"
                            "link_mbps = {5:.1f}\ndisk_mb = 0\n",
        m_name, address, peers, toString(m_frontend), toString(m_readiness), bounds.linkMbps);
    settings << fmt::format(
        "[bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n"
        "catch_up_s = 4\ndrain_ms = {}\ngrace_s = {:.1f}\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n"
        "downgrade_slack_ms = 250\nmax_stretch_ms = 5000\nrevocation_strict = true\nrevoke_ms = {}\n"
        "retry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_slack = {}\nrecovery_s = 12\n"
        "max_delivery_ms = 120\n[platform]\naddress = \"{}\"\nform = \"log\"\nwrites_per_s = 400\n"
        "reads_per_s = 2000\nparts = {}\nappend_ms = 2.0\npartition_mb_s = 20.0\nread_mb_s = 80.0\n"
        "record_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\npartition_mb = 200\nttl_min_ms = 1000\n",
        bounds.drainMs, bounds.graceS, bounds.revokeMs, bounds.retryBudgetSlack, toString(store), storePartitions);
    if (!settings)
        throw std::runtime_error("cannot write the settings file");
}

machine::~machine()
{
    if (!running())
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
}

void machine::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    std::vector<char*> arguments;
    arguments.reserve(m_command.size() + 1);
    for (std::string& word : m_command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::string settings = "BALSAMSPRING_NODE_FILE=" + m_settingsPath;
    std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
    char* const environment[] = { settings.data(), path.data(), nullptr };
    const int failure
        = posix_spawn(&m_pid, m_command.front().c_str(), &actions, nullptr, arguments.data(), environment);
    posix_spawn_file_actions_destroy(&actions);
    if (failure) {
        m_pid = 0;
        throw std::runtime_error("cannot start " + m_command.front());
    }
}

void machine::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

bool machine::running()
{
    if (m_pid == 0)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_pid = 0;
    return false;
}

std::string machine::logTail(std::size_t lines) const
{
    std::ifstream log(m_logPath);
    std::deque<std::string> last;
    for (std::string line; std::getline(log, line);) {
        last.push_back(line);
        if (last.size() > lines)
            last.pop_front();
    }
    std::string text;
    for (const std::string& line : last)
        text += "    " + line + "\n";
    return text;
}

worker::worker(event_loop& loop, std::string id, std::string service, hook onRequest)
    : m_id(std::move(id))
    , m_serviceName(std::move(service))
{
    auto opened = http_service::open(loop,
        { .address = { "127.0.0.1", 0 },
            .limits = [] { return http_service_limits {}; },
            .handler =
                [own = m_id, onRequest = std::move(onRequest)](
                    const incoming_request& request, const std::shared_ptr<response_writer>& writer) {
                    const std::string* expected = request.head.find("Expected-Instance");
                    if (expected && *expected != own)
                        return writer->send(notExecutedHead(421, request), {});
                    onRequest(request, writer);
                },
            .onRejected = nullptr });
    if (!opened)
        throw std::runtime_error(opened.error().message);
    m_service = std::move(*opened);
}

std::string worker::entry(const std::string& state, unsigned sequence) const
{
    return json {
        { "service", m_serviceName }, { "address", toString(address()) }, { "zone", "nl-west-a" }, { "version", "v1" },
        { "slots", 6 }, { "state", state }, { "cold_remaining_ms", 0 }, { "sequence", sequence },
        { "born", 1'700'000'000'000 }
    }.dump();
}

http_head signedHead(unsigned status, const incoming_request& request)
{
    http_head head;
    head.status = status;
    head.reason = "Answer";
    if (const std::string* id = request.head.find("Attempt-Id"))
        head.fields.push_back({ "Attempt-Id", *id });
    head.fields.push_back({ "Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1" });
    return head;
}

http_head notExecutedHead(unsigned status, const incoming_request& request)
{
    http_head head;
    head.status = status;
    head.reason = "Rejected";
    if (const std::string* id = request.head.find("Attempt-Id"))
        head.fields.push_back({ "Attempt-Id", *id });
    head.fields.push_back({ "Not-Executed", "1" });
    return head;
}

clients::clients(event_loop& loop)
    : m_client(loop, { .maxIdlePerPeer = 64, .idleLimit = idleReuse })
{
}

std::shared_ptr<client_exchange> clients::send(
    const endpoint& frontend, const client_request& request, std::function<void(const client_answer&)> onEnd)
{
    std::string bytes = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n",
        request.method, request.path, request.host, request.id, request.deadlineMs);
    if (!request.credential.empty())
        bytes += fmt::format("Credential: {}\r\n", request.credential);
    if (request.method != "GET")
        bytes += fmt::format("Content-Length: {}\r\n", request.body.size());
    bytes += request.fields + "\r\n";
    if (request.method != "GET")
        bytes += request.body;
    auto answer = std::make_shared<client_answer>();
    return m_client.start(frontend,
        { .bytes = std::move(bytes), .maxIdle = request.keptConnection ? idleReuse : duration::zero() },
        { .onHead =
                [answer](const http_head& head) {
                    answer->status = head.status;
                    answer->head = head;
                },
            .onBody = [answer](std::string_view part) { answer->body += part; },
            .onEnd =
                [answer, onEnd = std::move(onEnd)](exchange_outcome end) {
                    answer->end = end;
                    onEnd(*answer);
                } });
}

std::string routeJson(const route_text& route)
{
    json object { { "name", route.name }, { "host", "a.example" }, { "path_prefix", route.pathPrefix },
        { "service", route.service }, { "kind", route.kind }, { "timeout_ms", route.timeoutMs },
        { "target_latency_ms", route.targetMs }, { "max_attempts", route.maxAttempts }, { "priority", 2 },
        { "anonymous", false }, { "session_affinity", route.affinity }, { "resumable", route.resumable },
        { "itl_target_ms", 150 } };
    if (!route.stages.empty())
        object["stages"] = json::parse(route.stages);
    return object.dump();
}

deployment::deployment(const std::string& recordPath, std::vector<std::string> command)
    : record(recordPath)
    , store(loop, storePartitions)
    , callers(loop)
    , m_command(std::move(command))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "balsamspring-review-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("cannot make a temporary folder");
    m_directory = pattern;
}

deployment::~deployment()
{
    machines.clear();
    std::error_code ignored; // the folder is temporary
    std::filesystem::remove_all(m_directory, ignored);
}

machine& deployment::addMachine(const std::string& name, const gateway_bounds& bounds)
{
    const std::string address = fmt::format("127.0.0.{}", machines.size() + 2);
    machines.push_back(
        std::make_unique<machine>(loop, m_command, name, address, store.openFor(name), m_directory, bounds));
    return *machines.back();
}

void deployment::runFor(duration length)
{
    loop.after(length, [this] { loop.stop(); });
    loop.run();
}

bool deployment::runUntil(duration limit, const std::function<bool()>& condition)
{
    const mono_time end = bootNow() + limit;
    while (!condition()) {
        if (bootNow() >= end)
            return false;
        runFor(std::chrono::milliseconds(10));
    }
    return true;
}

bool deployment::isReady(const machine& asked)
{
    std::optional<unsigned> status;
    const auto exchange = callers.send(asked.readiness(), { .id = "ready", .method = "GET", .path = "/readyz" },
        [&status](const client_answer& answer) { status = answer.status; });
    runUntil(std::chrono::milliseconds(500), [&status] { return status.has_value(); });
    if (!status)
        exchange->cancel();
    return status == 200U;
}

void deployment::startMachines()
{
    for (const auto& item : machines)
        item->start();
    for (const auto& item : machines) {
        const mono_time limit = bootNow() + std::chrono::seconds(5);
        while (!isReady(*item)) {
            if (bootNow() > limit)
                throw std::runtime_error(item->name() + " is not ready:\n" + item->logTail(20));
            runFor(std::chrono::milliseconds(50));
        }
    }
    runFor(std::chrono::milliseconds(1500)); // the entries of the workers and the owners of pools are read
}

bool troubleWanted()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

int runCase(int argc, char** argv, const std::function<verdict(deployment&)>& body)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 3) {
        std::cerr << "usage: " << argv[0] << " RECORD COMMAND...\n";
        return static_cast<int>(verdict::CouldNotRun);
    }
    try {
        deployment world(argv[1], std::vector<std::string>(argv + 2, argv + argc));
        const verdict result = body(world);
        const char* text = result == verdict::Held ? "HELD" : result == verdict::Broken ? "BROKEN" : "COULD NOT RUN";
        world.record.add(text);
        std::cout << text << "\n";
        return static_cast<int>(result);
    } catch (const std::exception& failure) {
        std::cerr << "could not run: " << failure.what() << "\n";
        return static_cast<int>(verdict::CouldNotRun);
    }
}

} // namespace balsamspring::review

// A small deployment on loopback: gateways as processes, the store, workers and clients of this program. Writes what
// was sent, answered and run to the record of the case.
#pragma once

#include "balsamspring/net/event_loop.h"
#include "balsamspring/net/http_exchange.h"
#include "balsamspring/net/http_service.h"
#include "review/stand_ins/log_store.h"

#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace balsamspring::review {

// Exit codes of a case.
enum class verdict : std::uint8_t { Held = 0, Broken = 1, CouldNotRun = 2 };

// Lines of the record, with the time since the start.
class case_record {
public:
    explicit case_record(const std::string& path);
    void add(const std::string& line);

private:
    std::ofstream m_file;
    mono_time m_start;
};

// Bounds of the settings that a case may vary.
struct gateway_bounds {
    int drainMs = 2000;
    double graceS = 8;
    int revokeMs = 5000;
    int retryBudgetSlack = 58;
    double linkMbps = 1000;
};

// One machine with its gateway. Signals only its own process.
class machine {
public:
    // `command`: the run command of the deploy file. `address`: a loopback address that no other machine has.
    machine(event_loop& loop, std::vector<std::string> command, std::string name, const std::string& address,
        const endpoint& store, const std::string& directory, const gateway_bounds& bounds);
    ~machine();
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;

    void start();
    void signal(int number) const;
    bool running();
    const std::string& name() const { return m_name; }
    const endpoint& frontend() const { return m_frontend; }
    const endpoint& readiness() const { return m_readiness; }
    // The last lines of the process's log.
    std::string logTail(std::size_t lines) const;

private:
    std::vector<std::string> m_command;
    std::string m_name;
    endpoint m_frontend;
    endpoint m_readiness;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid = 0;
};

// Worker of a service. Answers 421 to requests for another instance, as the pages say, and passes all others to the
// hook.
class worker {
public:
    using hook = std::function<void(const incoming_request&, const std::shared_ptr<response_writer>&)>;

    worker(event_loop& loop, std::string id, std::string service, hook onRequest);

    const std::string& id() const { return m_id; }
    endpoint address() const { return { "127.0.0.1", m_service->port() }; }
    // The value of the entry `servers/ID`.
    std::string entry(const std::string& state, unsigned sequence) const;

private:
    std::string m_id;
    std::string m_serviceName;
    std::unique_ptr<http_service> m_service;
};

// Head of an answer that carries the signature and the id of the request.
http_head signedHead(unsigned status, const incoming_request& request);
// Head of an answer that says that the request was not run.
http_head notExecutedHead(unsigned status, const incoming_request& request);

struct client_answer {
    unsigned status = 0;
    http_head head;
    std::string body;
    std::optional<exchange_outcome> end;
};

struct client_request {
    std::string id;
    std::string method = "POST";
    std::string host = "a.example";
    std::string path;
    std::string credential;
    int deadlineMs = 4000;
    std::string fields; // further header fields
    std::string body = "body";
    bool keptConnection = false; // may use an open connection
};

class clients {
public:
    explicit clients(event_loop& loop);
    std::shared_ptr<client_exchange> send(
        const endpoint& frontend, const client_request& request, std::function<void(const client_answer&)> onEnd);

private:
    exchange_client m_client;
};

// Configuration as the operator writes it.
struct route_text {
    std::string name;
    std::string service;
    std::string kind = "unsafe";
    std::string pathPrefix;
    int timeoutMs = 4000;
    int targetMs = 300;
    int maxAttempts = 1;
    bool resumable = false;
    bool affinity = false;
    std::string stages; // JSON
};
std::string routeJson(const route_text& route);

// What every case needs: the loop, a temporary folder that is removed at the end, and the store.
class deployment {
public:
    // Throws std::runtime_error when the case cannot run.
    deployment(const std::string& recordPath, std::vector<std::string> command);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    machine& addMachine(const std::string& name, const gateway_bounds& bounds);
    void runFor(duration length);
    // Runs until the condition holds. Returns whether it held in time.
    bool runUntil(duration limit, const std::function<bool()>& condition);
    // Starts all machines and waits until they are ready. Throws std::runtime_error when they are not.
    void startMachines();
    bool isReady(const machine& asked);

    event_loop loop;
    case_record record;
    log_store store;
    clients callers;
    std::vector<std::unique_ptr<machine>> machines;

private:
    std::vector<std::string> m_command;
    std::string m_directory;
};

// Whether the disruption is wanted: false with TROUBLE=0.
bool troubleWanted();
// Runs a case. The arguments are the path of the record and the run command.
int runCase(int argc, char** argv, const std::function<verdict(deployment&)>& body);

} // namespace balsamspring::review

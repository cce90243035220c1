// What the stand-ins for engine and service share: faults, generation number, load report.
#pragma once

#include "balsamspring/backend/backend_client.h"
#include "balsamspring/emulator/http_server.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace balsamspring {

// Faults of a backend server. All off by default. `POST /v1/faults` takes a JSON object with the names in quotes; what
// it does not name is switched off. It also takes the actions "silence": true and "crash": true.
struct server_faults {
    double slowFactor = 1; // "slow_factor"
    bool stopAnswering = false; // "stop_answering": nothing runs and nothing is sent until it is switched off
    bool neverReply = false; // "never_reply": new requests run, but nothing is sent back
    duration answerLate {}; // "answer_late_ms": added before each answer begins
    bool answerTwice = false; // "answer_twice": each frame of a stream, or the whole answer of a call
    bool foreignAttempt = false; // "foreign_attempt": answers carry another attempt id
    std::int64_t resetAfterTokens = -1; // "reset_after_tokens": a call is reset after it has run; -1 is never
    std::string crashMarker {}; // "crash_marker": a request that contains it crashes the server
    duration crashDowntime = std::chrono::milliseconds(300); // "crash_downtime_ms"
    bool leaving = false; // "leaving": the header x-leaving is sent
    bool draining = false; // "draining": new work is refused
    duration loadLag {}; // "load_lag_ms": age of the reported load
};

// Thread safe, except for the protected members, which are used on the server's thread.
class stand_in_server {
public:
    virtual ~stand_in_server() = default;
    stand_in_server(const stand_in_server&) = delete;
    stand_in_server& operator=(const stand_in_server&) = delete;

    // Port 0 takes any free port.
    void start(std::uint16_t port = 0);
    void stop();

    std::uint16_t port() const { return m_server.port(); }
    std::string address() const { return m_server.address(); }

    void setFaults(const server_faults& faults);

    // The connections that are open now go silent for good; new ones work.
    void silenceConnections();

    // Closes all connections, refuses new ones for a while and comes back with a new generation.
    void crash(duration downtime = std::chrono::milliseconds(300));

    std::uint64_t generation();

    // CPU time of the server's thread, to tell it apart from that of the rest of the process.
    duration cpuTime();

protected:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    stand_in_server();

    // Handles one request; false when the path is unknown.
    virtual bool handle(const exchange_pointer& exchange) = 0;
    virtual void forgetWork() = 0; // the server has crashed
    virtual server_load currentLoad() const = 0;

    // Runs the callback unless the server crashes before.
    void afterUnlessCrashed(duration delay, std::function<void()> callback);
    void noteLoad();
    server_load reportedLoad() const;
    std::uint64_t sentAttempt(std::uint64_t attempt) const;
    void refuseWork(const exchange_pointer& exchange, int status, std::string_view reason) const;

    http_server m_server;
    server_faults m_faults;
    std::uint64_t m_generation = 0;

private:
    void dispatch(const exchange_pointer& exchange);
    void applyFaults(const server_faults& faults);
    void crashNow(duration downtime);
    bool receiveFaults(const std::string& body);

    std::vector<exchange_pointer> m_held; // requests that came while `stopAnswering`
    std::deque<std::pair<mono_time, server_load>> m_loads;
};

} // namespace balsamspring

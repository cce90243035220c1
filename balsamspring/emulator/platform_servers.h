// Stand-ins for the platform's log service and VM list.
#pragma once

#include "balsamspring/emulator/http_server.h"
#include "balsamspring/platform/memory_log.h"
#include "balsamspring/platform/vm_list_client.h"

#include <cstdint>
#include <string>
#include <vector>

namespace balsamspring {

struct log_server_options {
    std::size_t retention = 0; // records kept per stream; 0 keeps all
    std::uint64_t seed = 1;
};

// Serves a memory_log. A fault that a memory_log reports as Timeout is a request without reply here. `POST /v1/faults`
// takes {"out", "lose_ack", "drop_append", "duplicate", "slow_reads", "broken_reads"}; what is not named is off.
class log_server {
public:
    explicit log_server(const log_server_options& options = {});
    ~log_server() { stop(); }
    log_server(const log_server&) = delete;
    log_server& operator=(const log_server&) = delete;

    // Port 0 takes any free port.
    void start(std::uint16_t port = 0);
    void stop() { m_server.stop(); }
    std::string address() const { return m_server.address(); }
    void setFaults(const log_faults& faults);

    // The log behind the server, for tests.
    memory_log& log() { return m_log; }

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    void handle(const exchange_pointer& exchange);
    void append(const exchange_pointer& exchange, const std::string& stream);
    void read(const exchange_pointer& exchange, const std::string& stream);
    void sendSlowly(const exchange_pointer& exchange);

    log_server_options m_options;
    memory_log m_log;
    log_faults m_faults;
    http_server m_server;
};

// `POST /v1/vms` replaces the list in the form that `GET /v1/vms` shows it.
class vm_list_server {
public:
    vm_list_server() = default;
    ~vm_list_server() { stop(); }
    vm_list_server(const vm_list_server&) = delete;
    vm_list_server& operator=(const vm_list_server&) = delete;

    // Port 0 takes any free port.
    void start(std::uint16_t port = 0);
    void stop() { m_server.stop(); }
    std::string address() const { return m_server.address(); }

    // Shown after the lag.
    void setEntries(const std::vector<vm_entry>& entries, duration lag = {});

    // Accepts requests and never replies.
    void setHung(bool hung);

private:
    std::string m_list = "[]";
    bool m_hung = false;
    http_server m_server;
};

} // namespace balsamspring

// Stand-in for a plain service, whose calls may not always be repeated.
#pragma once

#include "balsamspring/emulator/stand_in_server.h"

#include <map>
#include <string>

namespace balsamspring {

struct plain_service_options {
    duration callTime = std::chrono::milliseconds(5);
    std::map<std::string, duration> operationTimes; // instead of `callTime`
    std::size_t concurrency = 16; // calls that run at a time; others wait by priority, then by arrival
    bool reportsLoad = true; // without it running and queued are reported as 0
};

// Answers {"operation":..,"input":..,"execution":n} where n counts the executions of the same operation and input.
// `GET /v1/executions` lists them.
class plain_service : public stand_in_server {
public:
    explicit plain_service(plain_service_options options = {});
    ~plain_service() override;

    // How often the operation ran with this input, given as JSON text.
    std::uint64_t executions(const std::string& operation, const std::string& input);

    // All executions, and those of calls that had run before.
    std::uint64_t totalExecutions();
    std::uint64_t repeatedExecutions();

protected:
    bool handle(const exchange_pointer& exchange) override;
    void forgetWork() override;
    server_load currentLoad() const override;

private:
    struct waiting_call;
    using call_key = std::pair<std::string, std::string>; // operation, input
    using call_pointer = std::shared_ptr<waiting_call>;

    void startCalls();
    void finishCall(const call_pointer& call);
    void answer(const call_pointer& call, std::uint64_t execution);

    plain_service_options m_options;
    std::map<std::pair<std::uint32_t, std::uint64_t>, call_pointer> m_waiting; // by priority and arrival
    std::uint64_t m_arrivals = 0;
    std::uint32_t m_running = 0;
    std::map<call_key, std::uint64_t> m_executions; // kept over a crash, like the effects of the calls
};

} // namespace balsamspring

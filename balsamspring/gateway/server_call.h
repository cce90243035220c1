// One call of a request to a backend server, as the balancer and the quarantine account for it.
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/gateway/crash_quarantine.h"
#include "balsamspring/gateway/server_balancer.h"

namespace balsamspring {

// Begins the call at the balancer and the attempt at the quarantine, and ends both at its own end, whatever the reason:
// as abandoned and dropped, unless another outcome was reported before.
class server_call {
public:
    // The quarantine and the balancer must outlive the call.
    server_call(crash_quarantine& quarantine, server_balancer& balancer, server_entry server, attempt_id attempt,
        fingerprint content, std::vector<fingerprint> parts, mono_time now);
    ~server_call();
    server_call(const server_call&) = delete;
    server_call& operator=(const server_call&) = delete;

    const server_entry& server() const { return m_server; }
    attempt_id attempt() const { return m_attempt; }

    // The server has run the request long enough to show that its content is harmless. The call may go on.
    void proven(mono_time now);
    // The connection was lost, and the server may have crashed. The quarantine keeps the attempt for that case.
    void connectionLost(mono_time now);

    // The result for the balancer; the first one counts.
    void succeeded(duration latency);
    void failed(call_failure kind, mono_time now);
    void rejected(mono_time now);

private:
    crash_quarantine& m_quarantine;
    server_balancer& m_balancer;
    server_entry m_server;
    attempt_id m_attempt;
    bool m_running = true; // at the quarantine
    bool m_counted = true; // at the balancer
};

} // namespace balsamspring

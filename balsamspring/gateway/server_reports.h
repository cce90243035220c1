// Asks backend servers which runs they hold. Questions to one server at the same time share one call.
//
// Not thread-safe: to be used on the thread of its event loop only.
#pragma once

#include "balsamspring/gateway/backend_client.h"
#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/server_registry.h"
#include "balsamspring/gateway/wire_adapter.h"
#include "balsamspring/net/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace balsamspring {

struct server_reports_options {
    duration timeout = std::chrono::milliseconds(450);
    // A report that is at most this old answers further questions.
    duration reuse = std::chrono::milliseconds(150);
    std::size_t maxBytes = 256 * 1024;
};

enum class report_outcome : std::uint8_t {
    Read,
    Unreadable, // The server answered with something else than a report.
    Unanswered,
    NotAsked, // The server takes no further request now.
};

class server_reports {
public:
    // `report` is null unless the outcome is `Read`.
    using callback = std::function<void(report_outcome, const server_report* report)>;
    // Called with the head of each answer, and with the time of its question.
    using response_hook = std::function<void(const server_entry&, const backend_response&, mono_time askedAt)>;

    server_reports(server_reports_options options, event_loop& loop, const wire_adapter& adapter,
        backend_client& backends, gateway_metrics& metrics, response_hook onResponse = nullptr);
    ~server_reports();

    // The callback runs later, never from within this call.
    void ask(const server_entry& server, callback onAnswer);

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace balsamspring

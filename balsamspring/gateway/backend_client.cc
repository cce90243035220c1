#include "balsamspring/gateway/backend_client.h"

#include <utility>

namespace balsamspring {

namespace {

// A request for which there was no permit.
class withheld_exchange final : public client_exchange {
public:
    void cancel() override { m_cancelled = true; }
    void pauseReading(bool) override { }
    bool reusedConnection() const override { return false; }
    bool connectionRefused() const override { return false; }
    bool cancelled() const { return m_cancelled; }

private:
    bool m_cancelled = false;
};

} // namespace

std::string_view toString(send_purpose purpose)
{
    switch (purpose) {
    case send_purpose::FirstAttempt:
        return "first_attempt";
    case send_purpose::Repeat:
        return "repeat";
    case send_purpose::Resumption:
        return "resumption";
    case send_purpose::StageCall:
        return "stage_call";
    case send_purpose::Release:
        return "release";
    case send_purpose::Report:
        return "report";
    }
    return "unknown";
}

backend_client::backend_client(
    event_loop& loop, exchange_client_options options, limited_servers& limits, gateway_metrics& metrics)
    : m_loop(loop)
    , m_client(loop, options)
    , m_limits(limits)
    , m_metrics(metrics)
{
}

std::shared_ptr<client_exchange> backend_client::start(const server_entry& server, send_purpose purpose,
    exchange_request request, exchange_callbacks callbacks, const send_permit* reserved)
{
    const server_process process = processOf(server);
    const mono_time startedAt = bootNow();
    auto permit = reserved ? m_limits.redeem(process, *reserved, startedAt) : m_limits.take(process, startedAt);
    if (!permit) {
        m_metrics.count("limited_server_withheld", toString(purpose));
        auto withheld = std::make_shared<withheld_exchange>();
        m_loop.post([withheld, onEnd = std::move(callbacks.onEnd)] {
            if (!withheld->cancelled() && onEnd)
                onEnd(exchange_outcome::Withheld);
        });
        return withheld;
    }
    request.maySend = [this, process, purpose, permit = *permit] {
        const mono_time now = bootNow();
        if (!m_limits.stillValid(process, permit, now) && !m_limits.take(process, now)) {
            m_metrics.count("limited_server_withheld", toString(purpose));
            return false;
        }
        if (m_limits.limited(process))
            m_metrics.count("limited_server_requests", toString(purpose));
        return true;
    };
    return m_client.start(server.address, std::move(request), std::move(callbacks));
}

} // namespace balsamspring

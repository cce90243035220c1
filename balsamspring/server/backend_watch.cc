#include "balsamspring/server/backend_watch.h"

namespace balsamspring {

namespace {

// How late a sign in a reply may take effect, beside the bound of seconds for leaving servers.
constexpr duration watchTick = std::chrono::milliseconds(100);

} // namespace

backend_watch::backend_watch(std::shared_ptr<guarded_serving> serving, control_thread& control)
    : m_serving(std::move(serving))
    , m_backends({}, { [this](const backend_status& status) {
        if (status.state != backend_state::Leaving)
            return;
        m_serving->run([&](serving_core& core) { core.markLeaving(status.id, status.generation, monotonicNow()); });
    } })
{
    control.every(watchTick, [this](mono_time now) { tick(now); });
}

void backend_watch::onVmList(const std::vector<vm_entry>& entries, mono_time now) { m_backends.onVmList(entries, now); }

void backend_watch::tick(mono_time now)
{
    m_backends.tick(now);
    const auto signs = m_serving->run([](serving_core& core) { return core.takeSigns(); });
    for (const auto& sign : signs)
        m_backends.onReply(sign.server, sign.generation, sign.leaving, now);
}

} // namespace balsamspring

#include "balsamspring/server/backend_view.h"

namespace balsamspring {

backend_view::backend_view(backend_view_options options, backend_view_hooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
{
}

void backend_view::onConfiguration(const std::vector<backend_id>& servers, mono_time now)
{
    for (const backend_id& server : servers)
        ensure(server).named = now;
}

void backend_view::onVmList(const std::vector<vm_entry>& entries, mono_time now)
{
    m_listHeard = true;
    m_listHeardAt = now;
    for (const vm_entry& entry : entries) {
        if (entry.kind != vm_kind::Backend)
            continue;
        backend_status& status = ensure(backend_id(entry.id.value()));
        status.named = now;
        if (entry.state == vm_state::Leaving)
            setLeaving(status, now);
        else if (status.state == backend_state::Leaving && now - status.leavingSince >= m_options.leavingHold)
            setLive(status);
    }
}

void backend_view::onReply(const backend_id& server, std::uint64_t generation, bool leaving, mono_time now)
{
    backend_status& status = ensure(server);
    status.named = now;
    const bool restarted = generation && status.generation && generation != status.generation;
    if (generation)
        status.generation = generation;
    if (leaving)
        setLeaving(status, now);
    else if (restarted && status.state == backend_state::Leaving)
        setLive(status);
}

void backend_view::tick(mono_time now)
{
    std::erase_if(m_servers, [&](const auto& item) { return now - item.second.named > m_options.forgetAfter; });
}

bool backend_view::mayReceiveWork(const backend_id& server) const
{
    const backend_status* status = find(server);
    return status && status->state == backend_state::Live;
}

const backend_status* backend_view::find(const backend_id& server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

bool backend_view::isListStale(mono_time now) const
{
    return !m_listHeard || now - m_listHeardAt > m_options.listStaleAfter;
}

backend_status& backend_view::ensure(const backend_id& server)
{
    const auto [position, added] = m_servers.try_emplace(server);
    backend_status& status = position->second;
    if (added) {
        status.id = server;
        m_hooks.changed(status);
    }
    return status;
}

void backend_view::setLeaving(backend_status& status, mono_time now)
{
    const bool first = status.state != backend_state::Leaving;
    status.leavingSince = now; // each sign renews the hold
    if (!first)
        return;
    status.state = backend_state::Leaving;
    m_hooks.changed(status);
}

void backend_view::setLive(backend_status& status)
{
    status.state = backend_state::Live;
    m_hooks.changed(status);
}

} // namespace balsamspring

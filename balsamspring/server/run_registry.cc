#include "balsamspring/server/run_registry.h"

namespace balsamspring {

run_registry::run_registry(const registry_options& options)
    : m_options(options)
{
}

bool run_registry::full() const
{
    const std::lock_guard lock(m_mutex);
    return m_active >= m_options.active;
}

std::size_t run_registry::active() const
{
    const std::lock_guard lock(m_mutex);
    return m_active;
}

bool run_registry::add(const std::shared_ptr<live_run>& run, const std::string& identity)
{
    const std::lock_guard lock(m_mutex);
    if (m_active >= m_options.active || (!identity.empty() && m_identities.count(identity)))
        return false;
    const request_id& id = run->request().id;
    m_runs[id] = { run, identity };
    if (!identity.empty())
        m_identities[identity] = id;
    ++m_active;
    return true;
}

void run_registry::ended(const request_id& id, mono_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(id);
    if (found == m_runs.end() || found->second.ended)
        return;
    found->second.ended = true;
    --m_active;
    m_ended.push_back({ id, now });
    while (m_ended.size() > m_options.retained)
        removeOldest();
}

void run_registry::expire(mono_time now)
{
    const std::lock_guard lock(m_mutex);
    while (!m_ended.empty() && now - m_ended.front().at >= m_options.retention)
        removeOldest();
}

void run_registry::removeOldest()
{
    const auto found = m_runs.find(m_ended.front().id);
    m_ended.pop_front();
    if (found == m_runs.end())
        return;
    // Another run may have the identity by now.
    const auto known = m_identities.find(found->second.identity);
    if (known != m_identities.end() && known->second == found->first)
        m_identities.erase(known);
    m_runs.erase(found);
}

void run_registry::forgetIdentity(const std::string& identity)
{
    const std::lock_guard lock(m_mutex);
    m_identities.erase(identity);
}

std::shared_ptr<live_run> run_registry::find(const request_id& id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : found->second.run;
}

std::shared_ptr<live_run> run_registry::findIdentity(const std::string& identity) const
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_identities.find(identity);
    if (known == m_identities.end())
        return nullptr;
    const auto found = m_runs.find(known->second);
    return found == m_runs.end() ? nullptr : found->second.run;
}

} // namespace balsamspring

#include "balsamspring/gateway/crash_quarantine.h"

#include <algorithm>

namespace balsamspring {

crash_quarantine::crash_quarantine(const quarantine_options& options, lost_prompt_hook onLostPrompt)
    : m_options(options)
    , m_onLostPrompt(std::move(onLostPrompt))
{
}

quarantine_status crash_quarantine::quarantineStatus(fingerprint content, mono_time now) const
{
    const auto found = m_statuses.find(content);
    if (found == m_statuses.end() || now - found->second.changedAt >= m_options.expiry)
        return quarantine_status::Clear;
    return found->second.quarantineStatus;
}

bool crash_quarantine::hasRunningAttempts(const backend_id& server, mono_time now) const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), [&](const auto& entry) {
        const running_attempt& attempt = entry.second;
        // An attempt whose connection was lost may still run on the server until the crash window ends.
        return attempt.server == server
            && (!attempt.connectionLostAt || now - *attempt.connectionLostAt < m_options.crashWindow);
    });
}

bool crash_quarantine::mayStart(fingerprint content, const backend_id& server, mono_time now) const
{
    const quarantine_status known = quarantineStatus(content, now);
    if (known == quarantine_status::Quarantined)
        return false;
    if (known == quarantine_status::Suspect)
        return !hasRunningAttempts(server, now);
    return std::none_of(m_attempts.begin(), m_attempts.end(), [&server](const auto& entry) {
        return entry.second.server == server && entry.second.exclusive && !entry.second.connectionLostAt;
    });
}

void crash_quarantine::started(
    attempt_id attempt, fingerprint content, const backend_id& server, mono_time now, attempt_prompt prompt)
{
    evictExpired(now);
    const bool exclusive
        = quarantineStatus(content, now) == quarantine_status::Suspect && !hasRunningAttempts(server, now);
    m_attempts[attempt] = { content, server, exclusive, std::nullopt, now, std::move(prompt) };
}

void crash_quarantine::succeeded(attempt_id attempt, mono_time now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    const fingerprint content = found->second.content;
    m_attempts.erase(found);
    // An attempt that started before the crash that raised the suspicion proves as much as a later one.
    if (quarantineStatus(content, now) == quarantine_status::Suspect)
        setQuarantineStatus(content, quarantine_status::Clear, now);
}

void crash_quarantine::dropped(attempt_id attempt) { m_attempts.erase(attempt); }

void crash_quarantine::connectionLost(attempt_id attempt, mono_time now)
{
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end())
        found->second.connectionLostAt = now;
}

void crash_quarantine::connectRefused(const backend_id& server, mono_time now) { handleCrash(server, true, now); }

void crash_quarantine::unreachable(const backend_id& server, mono_time now) { handleCrash(server, false, now); }

void crash_quarantine::generationSeen(const backend_id& server, std::uint64_t generation, mono_time now)
{
    const auto known = m_generations.find(server);
    const bool changed = known != m_generations.end() && known->second != generation;
    m_generations[server] = generation;
    if (changed)
        handleCrash(server, true, now);
}

// Only attempts whose connection was lost ran on the server before it crashed.
void crash_quarantine::handleCrash(const backend_id& server, bool certain, mono_time now)
{
    evictExpired(now);
    std::vector<running_attempt> lost;
    for (auto entry = m_attempts.begin(); entry != m_attempts.end();) {
        const running_attempt& attempt = entry->second;
        if (attempt.server == server && attempt.connectionLostAt) {
            lost.push_back(attempt);
            entry = m_attempts.erase(entry);
        } else {
            ++entry;
        }
    }
    for (const running_attempt& attempt : lost) {
        const bool quarantine
            = attempt.exclusive && quarantineStatus(attempt.content, now) == quarantine_status::Suspect;
        setQuarantineStatus(
            attempt.content, quarantine ? quarantine_status::Quarantined : quarantine_status::Suspect, now);
        // A link that fails cuts off many servers at once, which would count as many crashes.
        if (certain && m_onLostPrompt && !attempt.prompt.parts.empty())
            m_onLostPrompt({ attempt.server, attempt.prompt, attempt.startedAt }, now);
    }
}

void crash_quarantine::setQuarantineStatus(fingerprint content, quarantine_status next, mono_time now)
{
    if (next == quarantine_status::Suspect && quarantineStatus(content, now) == quarantine_status::Quarantined)
        return;
    if (next == quarantine_status::Clear)
        m_statuses.erase(content);
    else if (m_statuses.count(content) || m_statuses.size() < m_options.capacity)
        m_statuses[content] = { next, now };
    m_updates.push_back({ content, next });
}

void crash_quarantine::applyUpdate(const update& remoteUpdate, mono_time now)
{
    if (remoteUpdate.quarantineStatus == quarantine_status::Clear) {
        if (quarantineStatus(remoteUpdate.content, now) == quarantine_status::Suspect)
            m_statuses.erase(remoteUpdate.content);
        return;
    }
    if (quarantineStatus(remoteUpdate.content, now) < remoteUpdate.quarantineStatus
        && m_statuses.size() < m_options.capacity)
        m_statuses[remoteUpdate.content] = { remoteUpdate.quarantineStatus, now };
}

std::vector<crash_quarantine::update> crash_quarantine::takeUpdates() { return std::exchange(m_updates, {}); }

void crash_quarantine::evictExpired(mono_time now)
{
    std::erase_if(m_statuses, [&](const auto& entry) { return now - entry.second.changedAt >= m_options.expiry; });
    std::erase_if(m_attempts, [&](const auto& entry) {
        return entry.second.connectionLostAt && now - *entry.second.connectionLostAt >= m_options.crashWindow;
    });
}

} // namespace balsamspring

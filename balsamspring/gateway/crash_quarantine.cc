#include "balsamspring/gateway/crash_quarantine.h"

#include <algorithm>

namespace balsamspring {

crash_quarantine::crash_quarantine(const quarantine_options& options)
    : m_options(options)
{
}

content_standing crash_quarantine::standing(fingerprint content, mono_time now) const
{
    const auto found = m_standings.find(content);
    if (found == m_standings.end() || now - found->second.since >= m_options.expiry)
        return content_standing::Clear;
    return found->second.standing;
}

bool crash_quarantine::busy(const backend_id& server, mono_time now) const
{
    return std::any_of(m_running.begin(), m_running.end(), [&](const auto& entry) {
        const running_attempt& attempt = entry.second;
        // A lost attempt may still run there until the window closes.
        return attempt.server == server && (!attempt.lostAt || now - *attempt.lostAt < m_options.crashWindow);
    });
}

bool crash_quarantine::mayStart(fingerprint content, const backend_id& server, mono_time now) const
{
    const content_standing known = standing(content, now);
    if (known == content_standing::Quarantined)
        return false;
    if (known == content_standing::Suspect)
        return !busy(server, now);
    return std::none_of(m_running.begin(), m_running.end(), [&server](const auto& entry) {
        return entry.second.server == server && entry.second.alone && !entry.second.lostAt;
    });
}

void crash_quarantine::started(attempt_id attempt, fingerprint content, const backend_id& server, mono_time now)
{
    forgetOld(now);
    const bool alone = standing(content, now) == content_standing::Suspect && !busy(server, now);
    m_running[attempt] = { content, server, alone, std::nullopt };
}

void crash_quarantine::succeeded(attempt_id attempt, mono_time now)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end())
        return;
    const fingerprint content = found->second.content;
    m_running.erase(found);
    // A success that began before the crash of another attempt is as good a proof as a later one.
    if (standing(content, now) == content_standing::Suspect)
        setStanding(content, content_standing::Clear, now);
}

void crash_quarantine::dropped(attempt_id attempt) { m_running.erase(attempt); }

void crash_quarantine::connectionLost(attempt_id attempt, mono_time now)
{
    const auto found = m_running.find(attempt);
    if (found != m_running.end())
        found->second.lostAt = now;
}

void crash_quarantine::connectRefused(const backend_id& server, mono_time now) { crashed(server, now); }

void crash_quarantine::generationSeen(const backend_id& server, std::uint64_t generation, mono_time now)
{
    const auto known = m_generations.find(server);
    const bool changed = known != m_generations.end() && known->second != generation;
    m_generations[server] = generation;
    if (changed)
        crashed(server, now);
}

// Only attempts that have lost their connection ran in the server's former life.
void crash_quarantine::crashed(const backend_id& server, mono_time now)
{
    forgetOld(now);
    std::vector<running_attempt> lost;
    for (auto entry = m_running.begin(); entry != m_running.end();) {
        const running_attempt& attempt = entry->second;
        if (attempt.server == server && attempt.lostAt) {
            lost.push_back(attempt);
            entry = m_running.erase(entry);
        } else {
            ++entry;
        }
    }
    for (const running_attempt& attempt : lost) {
        const bool quarantine = attempt.alone && standing(attempt.content, now) == content_standing::Suspect;
        setStanding(attempt.content, quarantine ? content_standing::Quarantined : content_standing::Suspect, now);
    }
}

void crash_quarantine::setStanding(fingerprint content, content_standing next, mono_time now)
{
    if (next == content_standing::Suspect && standing(content, now) == content_standing::Quarantined)
        return;
    if (next == content_standing::Clear)
        m_standings.erase(content);
    else if (m_standings.count(content) || m_standings.size() < m_options.capacity)
        m_standings[content] = { next, now };
    m_updates.push_back({ content, next });
}

void crash_quarantine::learn(const update& news, mono_time now)
{
    if (news.standing == content_standing::Clear) {
        if (standing(news.content, now) == content_standing::Suspect)
            m_standings.erase(news.content);
        return;
    }
    if (standing(news.content, now) < news.standing && m_standings.size() < m_options.capacity)
        m_standings[news.content] = { news.standing, now };
}

std::vector<crash_quarantine::update> crash_quarantine::takeUpdates() { return std::exchange(m_updates, {}); }

void crash_quarantine::forgetOld(mono_time now)
{
    std::erase_if(m_standings, [&](const auto& entry) { return now - entry.second.since >= m_options.expiry; });
    std::erase_if(m_running,
        [&](const auto& entry) { return entry.second.lostAt && now - *entry.second.lostAt >= m_options.crashWindow; });
}

} // namespace balsamspring

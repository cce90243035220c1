#include "balsamspring/gateway/topic_relay.h"

#include <algorithm>

namespace balsamspring {

topic_relay::topic_relay(relay_options options)
    : m_options(options)
{
}

void topic_relay::restart(std::uint64_t next)
{
    m_records.clear();
    m_offsets.clear();
    m_begin = next;
    m_next = next;
}

void topic_relay::add(const store_record& record)
{
    const auto [known, added] = m_offsets.try_emplace(record.key, record.offset);
    if (!added) {
        m_records.erase(known->second);
        known->second = record.offset;
    }
    m_records.emplace(record.offset, record);
    if (m_records.size() <= m_options.keptRecords)
        return;
    const auto oldest = m_records.begin();
    m_begin = oldest->first + 1;
    m_offsets.erase(oldest->second.key);
    m_records.erase(oldest);
}

void topic_relay::advanced(std::uint64_t next, mono_time provenAt, mono_time now)
{
    m_next = std::max(m_next, next);
    m_provenAt = provenAt;
    std::map<ask_id, waiting_ask> waiting;
    waiting.swap(m_waiting);
    for (auto& [id, asked] : waiting) {
        if (asked.from < m_begin)
            asked.answer(std::nullopt);
        else if (hasRecordsFrom(asked.from) && fresh(now))
            asked.answer(pageFrom(asked.from, asked.askedAt));
        else
            m_waiting.emplace(id, std::move(asked));
    }
}

topic_relay::ask_id topic_relay::ask(std::uint64_t from, mono_time now, reply answer)
{
    if (from < m_begin || !fresh(now)) {
        answer(std::nullopt);
        return 0;
    }
    if (hasRecordsFrom(from)) {
        answer(pageFrom(from, now));
        return 0;
    }
    const ask_id id = m_nextId++;
    m_waiting.emplace(id, waiting_ask { from, now, std::move(answer) });
    return id;
}

void topic_relay::expire(ask_id id, mono_time now)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end())
        return;
    const waiting_ask asked = std::move(found->second);
    m_waiting.erase(found);
    if (fresh(now))
        asked.answer(pageFrom(asked.from, asked.askedAt));
    else
        asked.answer(std::nullopt);
}

bool topic_relay::hasRecordsFrom(std::uint64_t from) const
{
    return !m_records.empty() && m_records.rbegin()->first >= from;
}

bool topic_relay::fresh(mono_time now) const { return m_provenAt && now - *m_provenAt <= m_options.maxProofAge; }

record_page topic_relay::pageFrom(std::uint64_t from, mono_time askedAt) const
{
    record_page page;
    for (auto record = m_records.lower_bound(from); record != m_records.end(); ++record)
        page.records.push_back(record->second);
    page.nextOffset = std::max(from, m_next);
    page.provenAfterAsking = *m_provenAt - askedAt;
    return page;
}

} // namespace balsamspring

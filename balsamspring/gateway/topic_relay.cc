#include "balsamspring/gateway/topic_relay.h"

#include <algorithm>

namespace balsamspring {

topic_relay::topic_relay(relay_options options)
    : m_options(options)
{
}

void topic_relay::reset(std::uint64_t next)
{
    m_records.clear();
    m_offsets.clear();
    m_firstOffset = next;
    m_nextOffset = next;
}

void topic_relay::add(const store_record& record)
{
    if (record.offset < m_firstOffset)
        return;
    const auto [knownOffset, added] = m_offsets.try_emplace(record.key, record.offset);
    if (!added) {
        m_records.erase(knownOffset->second);
        knownOffset->second = record.offset;
    }
    m_records.emplace(record.offset, record);
    if (m_records.size() <= m_options.maxRecords)
        return;
    const auto oldest = m_records.begin();
    m_firstOffset = oldest->first + 1;
    m_offsets.erase(oldest->second.key);
    m_records.erase(oldest);
}

void topic_relay::advance(std::uint64_t next, mono_time provenAt, mono_time now)
{
    m_nextOffset = std::max(m_nextOffset, next);
    m_provenAt = provenAt;
    std::map<page_request_id, pending_request> waiting;
    waiting.swap(m_pendingRequests);
    for (auto& [id, pending] : waiting) {
        if (pending.from < m_firstOffset)
            pending.answer(std::nullopt);
        else if (hasRecordsFrom(pending.from) && isFresh(now) && !isBehind())
            pending.answer(pageFrom(pending.from, pending.requestedAt));
        else
            m_pendingRequests.emplace(id, std::move(pending));
    }
}

topic_relay::page_request_id topic_relay::requestPage(std::uint64_t from, mono_time now, reply answer)
{
    if (from < m_firstOffset || !isFresh(now)) {
        answer(std::nullopt);
        return 0;
    }
    if (hasRecordsFrom(from) && !isBehind()) {
        answer(pageFrom(from, now));
        return 0;
    }
    const page_request_id id = m_nextId++;
    m_pendingRequests.emplace(id, pending_request { from, now, std::move(answer) });
    return id;
}

void topic_relay::expire(page_request_id id, mono_time now)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return;
    const pending_request pending = std::move(found->second);
    m_pendingRequests.erase(found);
    if (isFresh(now) && !isBehind())
        pending.answer(pageFrom(pending.from, pending.requestedAt));
    else
        pending.answer(std::nullopt);
}

bool topic_relay::hasRecordsFrom(std::uint64_t from) const
{
    return !m_records.empty() && m_records.rbegin()->first >= from;
}

bool topic_relay::isFresh(mono_time now) const { return m_provenAt && now - *m_provenAt <= m_options.maxProofAge; }

record_page topic_relay::pageFrom(std::uint64_t from, mono_time requestedAt) const
{
    record_page page;
    for (auto record = m_records.lower_bound(from); record != m_records.end(); ++record)
        page.records.push_back(record->second);
    page.nextOffset = std::max(from, m_nextOffset);
    page.provenAfterRequest = *m_provenAt - requestedAt;
    return page;
}

} // namespace balsamspring

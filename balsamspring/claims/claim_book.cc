#include "balsamspring/claims/claim_book.h"

#include "balsamspring/base/hash.h"

#include <algorithm>

namespace balsamspring {

std::vector<key_id> claim_book::apply(log_offset from, const log_page& page, mono_time now)
{
    if (from != m_next)
        return {};
    discardBefore(page.earliest);
    std::vector<key_id> changed;
    for (const log_record& record : page.records) {
        if (record.offset < m_next)
            continue;
        const auto entry = decodeClaimRecord(record.bytes);
        if (!entry) {
            const bool unknownSchema = entry.error().code == error_code::FailedPrecondition;
            ++(unknownSchema ? m_counters.unknownSchema : m_counters.corrupt);
            if (unknownSchema)
                m_lastUnknownSchema = record.offset;
            continue;
        }
        // A valid record never precedes the offset at which its key was issued.
        if (entry->key.offset > record.offset) {
            ++m_counters.corrupt;
            continue;
        }
        if (m_mechanisms.keyExpiry && entry->key.offset < m_earliest)
            continue;
        if (applyEntry(*entry, now))
            changed.push_back(entry->key);
    }
    m_next = std::max(m_next, page.next);
    return changed;
}

void claim_book::discardBefore(log_offset earliest)
{
    m_earliest = std::max(m_earliest, earliest);
    if (m_mechanisms.keyExpiry)
        m_keys.erase(m_keys.begin(), m_keys.lower_bound(key_id { m_earliest, 0 }));
}

key_coverage claim_book::coverage(const key_id& key) const
{
    if (m_mechanisms.keyExpiry && key.offset < m_earliest)
        return key_coverage::Expired;
    if (m_lastUnknownSchema && key.offset <= *m_lastUnknownSchema)
        return key_coverage::Unreadable;
    return key_coverage::Covered;
}

const key_state& claim_book::state(const key_id& key) const
{
    static const key_state free;
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? free : found->second;
}

bool claim_book::applyEntry(const claim_log_entry& entry, mono_time now)
{
    const auto [position, inserted] = m_keys.try_emplace(entry.key);
    key_state& state = position->second;
    const bool changed = std::visit([&](const auto& kind) { return applyTo(state, kind, now); }, entry.kind);
    if (inserted && !changed)
        m_keys.erase(position);
    return changed;
}

bool claim_book::applyTo(key_state& state, const claim_entry& entry, mono_time now)
{
    const bool isFirst = state.phase == key_phase::Free;
    if (!isFirst && (m_mechanisms.duplicateIsVoid || state.phase != key_phase::Claimed))
        return false;
    state.phase = key_phase::Claimed;
    state.winner = entry;
    state.claimReadAt = now;
    return true;
}

bool claim_book::applyTo(key_state& state, const close_entry& entry, mono_time)
{
    const bool byHolder = state.winner && state.winner->nonce == entry.nonce;
    switch (state.phase) {
    case key_phase::Free:
        state.phase = key_phase::Closed;
        return true;
    case key_phase::Claimed:
        if (!byHolder && m_mechanisms.closeOnlyByHolder)
            return false;
        state.phase = key_phase::Closed;
        return true;
    case key_phase::SettledNotRun:
        if (!byHolder)
            return false;
        state.phase = key_phase::Closed;
        return true;
    case key_phase::SettledRan:
        // The phase stays, because callers may already have received `completed`. The contradiction by the holder is
        // flagged for operators.
        if (byHolder)
            flagConflict(state);
        return byHolder;
    case key_phase::Closed:
    case key_phase::Completed:
        return false;
    }
    return false;
}

bool claim_book::applyTo(key_state& state, const outcome_entry& entry, mono_time)
{
    if (!state.winner || (m_mechanisms.outcomeOnlyByHolder && state.winner->nonce != entry.nonce))
        return false;
    switch (state.phase) {
    case key_phase::SettledNotRun:
        flagConflict(state);
        [[fallthrough]];
    case key_phase::SettledRan:
        if (!m_mechanisms.outcomeOverSettlement)
            return false;
        [[fallthrough]];
    case key_phase::Claimed:
        state.phase = key_phase::Completed;
        state.outcome = entry;
        return true;
    case key_phase::Free:
    case key_phase::Closed:
    case key_phase::Completed:
        return false;
    }
    return false;
}

bool claim_book::applyTo(key_state& state, const settlement_entry& entry, mono_time)
{
    if (state.phase != key_phase::Claimed)
        return false;
    state.phase = entry.ran ? key_phase::SettledRan : key_phase::SettledNotRun;
    return true;
}

void claim_book::flagConflict(key_state& state)
{
    if (!state.conflict)
        ++m_counters.conflicts;
    state.conflict = true;
}

std::uint64_t claim_book::digest() const
{
    std::uint64_t digest = 0;
    for (const auto& [key, state] : m_keys) {
        digest = combineHash(digest, combineHash(key.offset.value(), key.nonce));
        digest = combineHash(digest, static_cast<std::uint64_t>(state.phase) * 2 + (state.conflict ? 1 : 0));
        digest = combineHash(digest, state.winner ? state.winner->nonce : 0);
        digest = combineHash(digest, state.outcome ? hash64(state.outcome->body) + state.outcome->status : 0);
    }
    return digest;
}

} // namespace balsamspring

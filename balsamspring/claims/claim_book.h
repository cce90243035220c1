// Replicated state of the claims of one partition, derived from its log. Every VM that applies the same records reaches
// the same state.
#pragma once

#include "balsamspring/base/time.h"
#include "balsamspring/claims/claim_mechanisms.h"
#include "balsamspring/claims/claim_records.h"
#include "balsamspring/platform/log_client.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring {

enum class key_phase : std::uint8_t {
    Free, // no valid record
    Claimed, // may run or may have run
    Closed, // has not run and never will
    Completed,
    SettledRan, // an operator has stated that it ran
    SettledNotRun, // an operator has stated that it did not run; the holder must not send
};

struct key_state {
    key_phase phase = key_phase::Free;
    std::optional<claim_entry> winner;
    mono_time claimReadAt; // when this VM read the winning claim
    std::optional<outcome_entry> outcome;
    bool conflict = false; // a record of the holder contradicts a settlement
};

// Whether the records that this VM can read determine the state of a key.
enum class key_coverage : std::uint8_t {
    Covered,
    Expired, // records of the key may have been trimmed from the log
    Unreadable, // a record of an unsupported schema version may concern the key
};

struct claim_book_counters {
    std::uint64_t corrupt = 0;
    std::uint64_t unknownSchema = 0;
    std::uint64_t conflicts = 0;
};

// Not thread safe. Memory is bounded by the retention of the log: a key is discarded when the log has been trimmed
// beyond the offset at which the key was issued.
class claim_book {
public:
    explicit claim_book(internal::claim_mechanisms mechanisms = {})
        : m_mechanisms(mechanisms)
    {
    }

    // Applies the page of a read that started at `from`. Returns the keys whose state has changed. A page that does not
    // start at `next()`, such as that of a delayed read, is ignored.
    std::vector<key_id> apply(log_offset from, const log_page& page, mono_time now);

    key_coverage coverage(const key_id& key) const;

    // A key without records is `Free`. Valid only for a key with coverage `Covered`.
    const key_state& state(const key_id& key) const;

    log_offset next() const { return m_next; }
    log_offset earliest() const { return m_earliest; }
    std::size_t size() const { return m_keys.size(); }
    const claim_book_counters& counters() const { return m_counters; }

    // Hash of the state. Equal on all VMs that have applied the same records and know the same earliest offset.
    std::uint64_t digest() const;

    // Skips the records before the offset. Only for tests that disable `claim_mechanisms::startupRead`.
    void skipTo(log_offset from) { m_next = from; }

private:
    void discardBefore(log_offset earliest);
    bool applyEntry(const claim_log_entry& entry, mono_time now);
    bool applyTo(key_state& state, const claim_entry& entry, mono_time now);
    bool applyTo(key_state& state, const close_entry& entry, mono_time now);
    bool applyTo(key_state& state, const outcome_entry& entry, mono_time now);
    bool applyTo(key_state& state, const settlement_entry& entry, mono_time now);
    void flagConflict(key_state& state);

    internal::claim_mechanisms m_mechanisms;
    log_offset m_next;
    log_offset m_earliest;
    std::optional<log_offset> m_lastUnknownSchema;
    std::map<key_id, key_state> m_keys;
    claim_book_counters m_counters;
};

} // namespace balsamspring

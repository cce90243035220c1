// Passes records of a topic on to other VMs, so that one VM asks the store for all.
//
// Load pattern: hundreds of VMs that each ask the store every second, which the platform prices and limits. A VM that
// cannot get a fresh answer from the relay asks the store itself. Of a key only the newest record is passed on: when
// large records change faster than a link carries them, the VMs behind it skip versions instead of falling back.
#pragma once

#include "balsamspring/gateway/record_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace balsamspring {

struct relay_options {
    std::size_t keptRecords = 2000; // more than the entries of the largest fleet, one a key
    duration maxProofAge = std::chrono::milliseconds(1200); // an older state is not passed on
};

class topic_relay {
public:
    // The page, or nothing when the asker has to ask the store itself.
    using reply = std::function<void(std::optional<record_page>)>;
    using ask_id = std::uint64_t;

    explicit topic_relay(relay_options options);

    // Everything before `next` is in the snapshot that was just read; older records are not known one by one.
    void restart(std::uint64_t next);
    // A record behind the last one.
    void add(const store_record& record);
    // The store proved at `provenAt` that there was nothing behind `next`.
    void advanced(std::uint64_t next, mono_time provenAt, mono_time now);

    // Answers at once when there are records from `from` on, or when nothing fresh is known; else later. 0 when
    // answered.
    ask_id ask(std::uint64_t from, mono_time now, reply answer);
    // The asker waits no longer: it gets an empty page with the newest proof.
    void expire(ask_id id, mono_time now);
    void forget(ask_id id) { m_waiting.erase(id); }

private:
    struct waiting_ask {
        std::uint64_t from = 0;
        mono_time askedAt {};
        reply answer;
    };

    bool hasRecordsFrom(std::uint64_t from) const;
    bool fresh(mono_time now) const;
    record_page pageFrom(std::uint64_t from, mono_time askedAt) const;

    relay_options m_options;
    std::map<std::uint64_t, store_record> m_records; // by offset, the newest of each key
    std::unordered_map<std::string, std::uint64_t> m_offsets; // by key
    std::uint64_t m_begin = 0; // all changes from this offset on are kept
    std::uint64_t m_next = 0;
    std::optional<mono_time> m_provenAt;
    std::map<ask_id, waiting_ask> m_waiting;
    ask_id m_nextId = 1;
};

} // namespace balsamspring

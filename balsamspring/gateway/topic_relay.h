// Relays the records of a topic to other VMs, so that one VM reads the store on behalf of all.
//
// Load pattern: hundreds of VMs would each read the store every second, and the platform bills and limits these reads.
// A VM that cannot get fresh data from the relay reads the store itself. Only the newest record of a key is relayed:
// when large records change faster than a link can carry them, the VMs behind it skip versions instead of falling back.
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
    // Exceeds the number of keys of the largest fleet, which has one key per server entry.
    std::size_t maxRecords = 2000;
    // Data that the store last confirmed longer ago is not relayed.
    duration maxProofAge = std::chrono::milliseconds(1200);
};

class topic_relay {
public:
    // Receives the page, or nothing if the requester has to read the store itself.
    using reply = std::function<void(std::optional<record_page>)>;
    using page_request_id = std::uint64_t;

    explicit topic_relay(relay_options options);

    // Discards all records. Those before `next` belong to the snapshot that is being read and are not relayed.
    void reset(std::uint64_t next);
    // Adds a record. Until advance() covers it, the relay is behind and answers with no page: an older record of the
    // same key, which the proof covers, is lost.
    void add(const store_record& record);
    // All records before `next` have been added, and the store had no others at `provenAt`. Answers the pending
    // requests that this completes.
    void advance(std::uint64_t next, mono_time provenAt, mono_time now);

    // Answers immediately and returns 0 if there are records from `from` on, or if only the store can answer: the data
    // is not fresh, or records from `from` on were discarded. Otherwise answers later and returns the id of the
    // request.
    page_request_id requestPage(std::uint64_t from, mono_time now, reply answer);
    // Ends the wait of a request: answers with an empty page and the newest proof, or with nothing if the data is not
    // fresh.
    void expire(page_request_id id, mono_time now);
    // Drops a request without an answer.
    void cancelPageRequest(page_request_id id) { m_pendingRequests.erase(id); }

private:
    struct pending_request {
        std::uint64_t from = 0;
        mono_time requestedAt {};
        reply answer;
    };

    bool hasRecordsFrom(std::uint64_t from) const;
    // Whether the records that are known may be relayed.
    bool isFresh(mono_time now) const;
    bool isBehind() const { return !m_records.empty() && m_records.rbegin()->first >= m_nextOffset; }
    record_page pageFrom(std::uint64_t from, mono_time requestedAt) const;

    relay_options m_options;
    std::map<std::uint64_t, store_record> m_records; // The newest record of each key, by offset.
    std::unordered_map<std::string, std::uint64_t> m_offsets; // By key.
    std::uint64_t m_firstOffset = 0; // All keys that changed from this offset on are present.
    std::uint64_t m_nextOffset = 0;
    std::optional<mono_time> m_provenAt;
    std::map<page_request_id, pending_request> m_pendingRequests;
    page_request_id m_nextId = 1;
};

} // namespace balsamspring

// Exchanges what VMs know of crashing requests with other VMs through a topic of the log service: the status of
// contents, and records about parts of prompts.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/gateway/crash_quarantine.h"
#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/part_quarantine.h"
#include "balsamspring/gateway/record_store.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace balsamspring {

// Key and value of a record in the topic, and back. A record that is not about a part decodes to nothing.
keyed_value encodePartRecord(const part_record& record);
std::optional<part_record> decodePartRecord(const std::string& key, const std::string& value);

struct suspect_sharing_options {
    std::size_t maxQueued = 5000; // records; beyond this, the oldest are dropped
    std::size_t recordsPerCall = 500;
    // Time from a failed append to the next one. Doubles up to the maximum.
    duration minRetryDelay = std::chrono::milliseconds(200);
    duration maxRetryDelay = std::chrono::seconds(1);
};

class suspect_sharing {
public:
    // All references must outlive this object and its pending appends.
    suspect_sharing(suspect_sharing_options options, std::string topic, const record_store& store,
        crash_quarantine& contents, part_quarantine& parts, gateway_metrics& metrics, random_engine& random);

    const std::string& topic() const { return m_topic; }
    // Applies a record of the topic, written by this VM or another one. Ignores malformed records.
    void applyRecord(const store_record& record, mono_time now);
    // Appends what the quarantines have decided since the last call. Records stay queued until the store has taken
    // them. Call it several times a second.
    void publish(mono_time now);
    // Removes expired records from the topic. To be called by one VM of the system.
    void removeExpired(bool responsible);
    // Claims the next probe of a blocked part. `expectedEnd` is the offset after the newest record that was applied.
    void claimProbe(fingerprint part, std::uint64_t expectedEnd, std::function<void(bool claimed)> done);

private:
    void enqueue(keyed_value record);
    void collect();
    void appended(std::size_t count, const result<std::uint64_t>& outcome);
    void logPartRecord(const part_record& record);

    suspect_sharing_options m_options;
    std::string m_topic;
    const record_store& m_store;
    crash_quarantine& m_contents;
    part_quarantine& m_parts;
    gateway_metrics& m_metrics;
    random_engine& m_random;
    std::deque<keyed_value> m_queue;
    bool m_appending = false;
    mono_time m_retryAt {};
    duration m_retryDelay {};
    mono_time m_now {}; // of the last call
};

} // namespace balsamspring

// Shares the status of suspect and quarantined contents with other VMs through a topic of the log service.
#pragma once

#include "balsamspring/gateway/crash_quarantine.h"
#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/record_store.h"

#include <string>

namespace balsamspring {

class suspect_sharing {
public:
    // The store, the quarantine and the metrics must outlive this object and its pending appends.
    suspect_sharing(
        std::string topic, const record_store& store, crash_quarantine& quarantine, gateway_metrics& metrics);

    const std::string& topic() const { return m_topic; }
    // Applies a record of the topic, written by this VM or another one. Ignores malformed records.
    void applyUpdate(const store_record& record, mono_time now);
    // Appends the statuses that the quarantine has raised since the last call to the topic.
    void publish();

private:
    std::string m_topic;
    const record_store& m_store;
    crash_quarantine& m_quarantine;
    gateway_metrics& m_metrics;
};

} // namespace balsamspring

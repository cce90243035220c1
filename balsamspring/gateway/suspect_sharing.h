// Shares suspected contents with other VMs over a topic of the log service.
#pragma once

#include "balsamspring/gateway/crash_quarantine.h"
#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/record_store.h"

#include <string>

namespace balsamspring {

class suspect_sharing {
public:
    // The store, the quarantine and the metrics must outlive this object and its calls.
    suspect_sharing(
        std::string topic, const record_store& store, crash_quarantine& quarantine, gateway_metrics& metrics);

    const std::string& topic() const { return m_topic; }
    // A record of the topic, written by this VM or another one. Unreadable ones are left out.
    void learn(const store_record& record, mono_time now);
    // Writes down what the quarantine has found since the last call.
    void publish();

private:
    std::string m_topic;
    const record_store& m_store;
    crash_quarantine& m_quarantine;
    gateway_metrics& m_metrics;
};

} // namespace balsamspring

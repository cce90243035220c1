// A store whose reads of followed topics are answered by another VM while that VM is fresh and reachable.
#pragma once

#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/pool_ownership.h"
#include "balsamspring/gateway/record_store.h"
#include "balsamspring/gateway/topic_relay.h"
#include "balsamspring/net/http_exchange.h"
#include "balsamspring/net/http_service.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace balsamspring {

inline constexpr std::string_view followPath = "/v1/records";

struct relayed_store_options {
    duration wait = std::chrono::milliseconds(1000); // how long the other VM may hold a question
    duration answerMargin = std::chrono::milliseconds(250); // beyond it the other VM counts as lost
    duration connectTimeout = std::chrono::milliseconds(250);
};

class relayed_store {
public:
    // The loop, the store and the metrics must outlive this object and its calls.
    relayed_store(
        relayed_store_options options, event_loop& loop, const record_store& direct, gateway_metrics& metrics);
    ~relayed_store();

    // Without an ownership every call goes to the store. The ownership must outlive this object.
    void setOwnership(pool_ownership* ownership);
    // Reads as described above; all other calls go to the store.
    const record_store& store() const;
    // What this VM passes on of a topic.
    topic_relay& relay(const std::string& topic);
    // Whether other VMs ask this one, which then asks the store more often.
    bool relays(const std::string& topic) const;
    // Whether another VM answered this one's last question; otherwise the store did, whose calls are dear.
    bool isRelayed(const std::string& topic) const;
    // Answers another VM.
    void handle(const incoming_request& request, const std::shared_ptr<response_writer>& writer);

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

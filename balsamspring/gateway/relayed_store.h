// A record store that reads followed topics through another VM while that VM is reachable and up to date, and from the
// platform's log service otherwise.
#pragma once

#include "balsamspring/gateway/gateway_metrics.h"
#include "balsamspring/gateway/pool_ownership.h"
#include "balsamspring/gateway/read_schedule.h"
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
    duration connectTimeout = std::chrono::milliseconds(250);
    duration idleReuse = std::chrono::seconds(2); // longest idle time of a connection that is reused
};

class relayed_store {
public:
    // The loop, the store and the metrics must outlive this object and its calls.
    relayed_store(
        relayed_store_options options, event_loop& loop, const record_store& direct, gateway_metrics& metrics);
    ~relayed_store();

    // Without an ownership, every call goes to the store. The ownership must outlive this object.
    void setOwnership(pool_ownership* ownership);
    // Sets when the store has to be read instead of the other VM. Without it, the records may be of any age.
    void setSchedule(const std::string& topic, const read_schedule_options& options);
    // Reports that the store had no newer records of the topic at `provenAt` than those that were read.
    void proven(const std::string& topic, mono_time provenAt);
    // Time until the next read of the topic, at most `usual`.
    duration pauseBeforeRead(const std::string& topic, duration usual) const;
    // Relays `readFrom` as described above. All other calls go to the store.
    const record_store& store() const;
    // The relay from which this VM answers reads of the topic by other VMs.
    topic_relay& relay(const std::string& topic);
    // Whether this VM relays the topic to other VMs, and therefore reads the store more often.
    bool relays(const std::string& topic) const;
    // Whether another VM answered the last read of the topic. Otherwise the store did, whose calls are expensive.
    bool isRelayed(const std::string& topic) const;
    // Answers a read by another VM.
    void handle(const incoming_request& request, const std::shared_ptr<response_writer>& writer);

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

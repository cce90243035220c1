// The gateway of one VM: takes requests of callers, follows the platform's store, and sends work to backend servers.
//
//     event_loop loop;
//     gateway entry(loop, settings, adapter, store, seed);
//     entry.start();
//     loop.run();
#pragma once

#include "balsamspring/gateway/record_store.h"
#include "balsamspring/gateway/request_session.h"
#include "balsamspring/gateway/server_registry.h"
#include "balsamspring/gateway/wire_adapter.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace balsamspring {

// Where and how one VM runs, from its settings file.
struct gateway_settings {
    vm_id vm;
    zone_id zone;
    endpoint callers;
    endpoint readiness;
    std::optional<endpoint> metrics;
    std::optional<endpoint> peers; // address for other VMs of the system
    endpoint store;
    duration revocationLimit = std::chrono::seconds(5); // a revoked key must not run anything later than this
    bool strictRevocation = true;
    duration drainLimit = std::chrono::seconds(2); // a server that leaves gets nothing new later than this
    duration stopLimit = std::chrono::seconds(8); // from SIGTERM to SIGKILL
    double repeatRatio = 0.2;
    duration repeatWindow = std::chrono::seconds(10);
    double repeatSlack = 58;
    double linkMbps = 1000; // of this VM
    std::uint32_t storePartitions = 1; // of a topic of the system's own
};

// Decoders of the records that the operator and the backend servers write.
struct record_decoders {
    std::string configTopic;
    std::string configKey;
    std::string serverTopic;
    std::string suspectTopic; // our own, of which the store keeps the newest record of each key
    std::function<result<serving_config_data>(const std::string& value)> config;
    std::function<result<server_entry>(const std::string& key, const std::string& value)> server;
};

struct gateway_options {
    // How long the store holds a question for the configuration. Two such times and a time-out are below the time that
    // keys are trusted, so that one lost answer changes nothing; a VM that loses the store serves for 3.5 s or more, in
    // which its readiness is noticed.
    duration configWait = std::chrono::milliseconds(1200);
    // A VM gathers pieces for others only if its link can carry the calls to a whole pool: a call of 96 pieces with 8
    // inputs each is 20 KB, and 20 servers take 80 of them a second.
    double minGatherMbps = 50;
    double serverPauseShare = 0.7; // of the drain limit, between two questions for the entries of servers
    // The VM that asks for all others asks this often.
    duration relayConfigWait = std::chrono::milliseconds(500);
    duration relayServerPause = std::chrono::milliseconds(250);
    duration relayedServerPause = std::chrono::milliseconds(200); // between two questions to that VM
    duration suspectWait = std::chrono::seconds(20);
    // When many servers crash at once, each VM would otherwise read each suspicion by itself.
    duration suspectPause = std::chrono::seconds(1);
    duration revocationMargin = std::chrono::milliseconds(300); // for requests on their way and slow timers
    duration acceptWhileStopping = std::chrono::milliseconds(2800); // callers still arrive until readiness is noticed
    duration stopMargin = std::chrono::milliseconds(500); // the process ends this much before it would be killed
    duration expiryInterval = std::chrono::milliseconds(250);
    session_options sessions;
};

class gateway {
public:
    // The loop, the adapter, the decoders and the store must outlive the gateway. Destroy it only after the loop has
    // ended: its timers refer to it.
    gateway(event_loop& loop, gateway_settings settings, const wire_adapter& adapter, const record_decoders& decoders,
        const record_store& store, std::uint64_t seed, gateway_options options = {});
    ~gateway();

    // Opens the listeners and begins to follow the store.
    result<void> start();
    // Becomes not ready, serves what has arrived, and calls back when nothing is left or the limit has come.
    void stop(std::function<void()> onStopped);

    std::uint16_t callerPort() const;
    bool ready() const;

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

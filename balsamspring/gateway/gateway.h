// The gateway of one VM: accepts requests of callers, follows the platform's store, and sends work to backend servers.
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

// The contents of the settings file of one VM.
struct gateway_settings {
    vm_id vm;
    zone_id zone;
    endpoint callers;
    endpoint readiness;
    std::optional<endpoint> metrics;
    std::optional<endpoint> peers; // Address for other VMs of the system.
    endpoint store;
    duration revocationLimit = std::chrono::seconds(5); // No request may be executed for a key revoked longer ago.
    bool strictRevocation = true;
    duration drainLimit = std::chrono::seconds(2); // A server that leaves receives no new work after this time.
    duration configApplyLimit = std::chrono::seconds(2); // A new configuration is in force after this time.
    duration evacuationLimit = std::chrono::seconds(5); // Servers of an evacuated zone get no request after this time.
    duration stopLimit = std::chrono::seconds(8); // Time from SIGTERM to SIGKILL.
    double retryBudgetRatio = 0.2;
    duration retryBudgetWindow = std::chrono::seconds(10);
    double retryBudgetSlack = 58;
    double linkMbps = 1000; // Bandwidth of this VM's link.
    std::uint64_t memoryBytes = 0; // Memory of this VM; 0: what is held for callers has no limit.
    std::size_t descriptors = 0; // File descriptors of the process; 0: connections of callers have no limit.
    std::uint32_t storePartitions = 1; // Number of partitions of each of the system's own topics.
};

// Topics and decoders of the records that the operator and the backend servers write.
struct record_decoders {
    std::string configTopic;
    std::string configKey;
    std::string evacuationKeyPrefix; // Keys of the same topic; the name of an availability zone follows.
    std::string serverTopic;
    std::string suspectTopic; // One of the system's own topics. The store retains the newest record of each key.
    std::function<result<serving_config_data>(const std::string& value)> config;
    std::function<result<server_entry>(const std::string& key, const std::string& value)> server;
};

struct gateway_options {
    // Maximum time for which the store holds a read of the configuration. Two such times and a time-out are shorter
    // than the time for which keys are trusted, so that one lost reply has no effect. A VM that loses the store serves
    // for at least another 3.5 s, in which its change of readiness is noticed.
    duration configWait = std::chrono::milliseconds(1200);
    // A VM gathers pieces for others only if its link can carry the calls to a whole pool: a call of 96 pieces with 8
    // inputs each is 20 KB, and 20 servers accept 80 of them a second.
    double minGatherMbps = 50;
    // Delay between two reads of the server entries, as a fraction of the drain limit.
    double serverPollFraction = 0.7;
    // Age of the newest proof at which a VM reads the server entries or the configuration from the store, as a fraction
    // of the time after which changes must have taken effect.
    double proofAgeFraction = 0.8;
    // Read intervals of the VM that relays records to all others.
    duration relayConfigWait = std::chrono::milliseconds(500);
    duration relayServerPause = std::chrono::milliseconds(250);
    // Delay between two reads of the server entries through that VM.
    duration relayedServerPause = std::chrono::milliseconds(200);
    // Maximum time for which the store, or the VM that relays the suspects, holds a read. A VM whose connection has
    // gone silent misses suspects for this long.
    duration suspectWait = std::chrono::milliseconds(1200);
    // While a read is held, the proof of the one before it ages, and the relay declines to pass on what it has.
    duration relaySuspectWait = std::chrono::milliseconds(400);
    duration relaySuspectPause = std::chrono::milliseconds(150);
    // Without this delay, each VM would read every suspect record in a call of its own when many servers crash at once.
    duration suspectPause = std::chrono::seconds(1);
    // Allows for requests in transit and late timers.
    duration revocationMargin = std::chrono::milliseconds(300);
    // Callers continue to send requests until the change of readiness is noticed.
    duration acceptWhileStopping = std::chrono::milliseconds(2800);
    // Time between the end of the process and the time at which it would be killed.
    duration stopMargin = std::chrono::milliseconds(500);
    // Time for sending the last responses and closing the connections before the process ends.
    duration flushDelay = std::chrono::milliseconds(200);
    // What other VMs may take beside the callers: a share of the bytes of the callers' account, and of the descriptors.
    // Each request for pieces holds a connection while it waits, some thousand at a VM that gathers under a burst.
    double internalMemoryShare = 0.4;
    double internalDescriptorShare = 0.3;
    // One probe of readiness a second, and a scrape of metrics now and then.
    std::size_t maxStatusConnections = 32;
    // Longest valid message of another VM: the pieces of a request with all handles of its inputs take some 100 KB.
    std::size_t maxPeerMessageBytes = 2 * 1024 * 1024;
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
    // Reports the gateway as not ready, completes the requests that have arrived, and calls back when none are left or
    // the stop limit is reached.
    void stop(std::function<void()> onStopped);

    std::uint16_t callerPort() const;
    bool ready() const;

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace balsamspring

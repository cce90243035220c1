// The entry daemon: wires the components of one VM.
#pragma once

#include "balsamspring/backend/backend_client.h"
#include "balsamspring/base/result.h"
#include "balsamspring/platform/log_client.h"
#include "balsamspring/schema/config.pb.h"
#include "balsamspring/schema/settings.pb.h"
#include "balsamspring/server/connection_guard.h"
#include "balsamspring/server/request_service.h"
#include "balsamspring/server/serving_core.h"
#include "balsamspring/server/serving_hooks.h"

#include <functional>
#include <memory>
#include <string>

namespace balsamspring {

struct daemon_options {
    schema::daemon_settings settings;
    std::string resumeKey; // signs resume tokens; the same on all VMs
    std::shared_ptr<backend_client> client;
    // The platform's log. Null: made from the setting `log_address`, or none when that is empty.
    std::shared_ptr<log_client> log;
    serving_core_options serving;
    run_options runs;
    request_limits limits;
    registry_options registry;
    guard_options guard;
    // Replaces hooks of the serving decisions; may be empty.
    std::function<void(serving_hooks&)> customize;
};

class entry_daemon {
public:
    explicit entry_daemon(daemon_options options);
    ~entry_daemon();

    // Puts a configuration in force for requests that begin from now on. Older versions are ignored.
    result<void> applyConfiguration(const schema::configuration& source, config_version version);

    // Opens the listeners. Error `Unavailable` when an address cannot be bound.
    result<void> start();

    // Refuses new work, waits for the work in flight up to the drain limit and closes the listeners. Blocks.
    void drainAndStop();

    // An operator has asked for the drain; the owner then calls drainAndStop().
    bool drainRequested() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace balsamspring

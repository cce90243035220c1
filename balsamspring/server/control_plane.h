// Control state of one daemon on its control thread: claims, configuration versions.
#pragma once

#include "balsamspring/schema/settings.pb.h"
#include "balsamspring/server/call_claims.h"
#include "balsamspring/server/control_thread.h"
#include "balsamspring/server/operator_api.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsamspring {

struct control_plane_options {
    schema::daemon_settings settings;
    incarnation vmIncarnation;
    std::string secret; // the same on all VMs
    std::shared_ptr<log_client> log; // null: the configuration comes from elsewhere, claims are refused
    std::shared_ptr<backend_client> client;
    std::shared_ptr<guarded_serving> serving;
    std::function<attempt_id()> nextAttempt;
    // Puts a version from the log stream `config` in force. Empty: the configuration does not come from the log.
    std::function<void(const schema::configuration&, config_version)> apply;
};

// Thread safe where not said otherwise. Destroy it after the control thread has stopped.
class control_plane {
public:
    // Before the thread starts.
    control_plane(control_plane_options options, const std::shared_ptr<control_thread>& thread);
    ~control_plane();

    call_claims& claims();

    // The configuration that requests see from now on.
    void configurationInForce(const std::shared_ptr<const config_snapshot>& config);

    // The entry VMs, this one included. Until the first call it is this VM alone.
    void setMembers(const std::vector<placed_vm>& members);

    // Adds what keeps this VM from taking requests to the answer, which already holds the daemon's own reasons.
    void addReadiness(readiness& answer) const;

    std::map<std::string, operator_handler> operatorHandlers();

    // Refuses new calls under keys; `drained` once all outcomes are on the log.
    void drain();
    bool drained() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace balsamspring

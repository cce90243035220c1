// Configuration versions of one daemon from the log stream `config`.
#pragma once

#include "balsamspring/config/config_follower.h"
#include "balsamspring/server/operator_api.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace balsamspring {

struct config_plane_options {
    vm_id vm;
    config_versions_options versions;
    config_follower_options follower;
    std::shared_ptr<log_client> log;
    // A version came into force at this VM. Runs on the control thread.
    std::function<void(const schema::configuration&, config_version)> apply;
    // Runs an event on the control thread; false when it does not take more.
    std::function<bool(std::function<void(mono_time)>)> post;
    // The same for answers of the log.
    std::function<void(std::function<void()>)> postAnswer;
};

// For the control thread, except where said otherwise.
class config_plane {
public:
    explicit config_plane(config_plane_options options);

    // Every 100 ms.
    void tick(mono_time now);

    // Thread safe.
    config_condition condition() const { return m_condition; }

    // The handlers are thread safe. This object must outlive the calls.
    void addHandlers(std::map<std::string, operator_handler>& handlers);

private:
    config_versions_hooks versionHooks();
    void propose(const std::string& body, const operator_reply& reply, mono_time now);
    std::string membersText() const;
    operator_handler onControlThread(std::function<void(const std::string&, const operator_reply&, mono_time)> handler);

    const config_plane_options m_options;
    std::atomic<config_condition> m_condition { config_condition::Unknown };
    config_versions m_versions;
    config_follower m_follower;
    config_publisher m_publisher;
};

} // namespace balsamspring

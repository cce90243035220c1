// The runs of this VM, by request id and by what identifies a resent request.
#pragma once

#include "balsamspring/server/live_run.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace balsamspring {

struct registry_options {
    duration retention = std::chrono::seconds(30); // how long an ended run can be asked for
    std::size_t retained = 2000; // ended runs kept at most
    std::size_t active = 4000; // runs in flight at most
};

// Thread safe.
class run_registry {
public:
    explicit run_registry(const registry_options& options);

    bool full() const;
    std::size_t active() const;

    // `identity` is empty for a request without idempotency key. False when the registry is full or another run has the
    // same identity.
    bool add(const std::shared_ptr<live_run>& run, const std::string& identity);
    void ended(const request_id& id, mono_time now);
    void expire(mono_time now);

    std::shared_ptr<live_run> find(const request_id& id) const;
    // A run that ended is not joined any more by requests with this identity.
    void forgetIdentity(const std::string& identity);
    std::shared_ptr<live_run> findIdentity(const std::string& identity) const;

private:
    struct entry {
        std::shared_ptr<live_run> run;
        std::string identity;
        bool ended = false;
    };
    struct ended_run {
        request_id id;
        mono_time at;
    };

    void removeOldest();

    const registry_options m_options;
    mutable std::mutex m_mutex;
    std::unordered_map<request_id, entry> m_runs;
    std::unordered_map<std::string, request_id> m_identities;
    std::deque<ended_run> m_ended;
    std::size_t m_active = 0;
};

} // namespace balsamspring

// Limits the number of servers that a request with the same content can crash.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace balsamspring {

enum class quarantine_status : std::uint8_t {
    Clear,
    Suspect, // ran on a server that crashed: must run alone on its server until it has succeeded
    Quarantined, // crashed a server on which nothing else ran: refused
};

struct quarantine_options {
    duration expiry = std::chrono::minutes(10);
    // A lost connection counts as a crash of the server if a new generation or a refused connect follows within this
    // time.
    duration crashWindow = std::chrono::seconds(30);
    std::size_t capacity = 10'000; // maximum number of contents with a status
};

// Tracks contents by fingerprint. A content can cause at most two crashes: one while other work ran on the server, one
// while it ran exclusively. Does no I/O. Not thread-safe.
class crash_quarantine {
public:
    struct update {
        fingerprint content;
        quarantine_status quarantineStatus = quarantine_status::Clear;
    };

    explicit crash_quarantine(const quarantine_options& options);

    quarantine_status quarantineStatus(fingerprint content, mono_time now) const;

    // Whether an attempt may start on the server now. A suspect needs a server that runs no other attempt of this VM,
    // and no attempt may start on a server on which a suspect runs.
    bool mayStart(fingerprint content, const backend_id& server, mono_time now) const;

    void started(attempt_id attempt, fingerprint content, const backend_id& server, mono_time now);
    void succeeded(attempt_id attempt, mono_time now);
    // The attempt ended in a way that does not depend on the content: refused, cancelled or timed out.
    void dropped(attempt_id attempt);
    // The connection was lost. Counts as a crash once connectRefused or generationSeen reports one for the server.
    void connectionLost(attempt_id attempt, mono_time now);

    void connectRefused(const backend_id& server, mono_time now);
    void generationSeen(const backend_id& server, std::uint64_t generation, mono_time now);

    // Applies an update of another VM. Never lowers the status of a quarantined content.
    void applyUpdate(const update& remoteUpdate, mono_time now);
    // Removes and returns the changes of this VM, which are to be sent to the other VMs.
    std::vector<update> takeUpdates();

    std::size_t size() const { return m_statuses.size(); }

private:
    struct running_attempt {
        fingerprint content;
        backend_id server;
        bool exclusive = false;
        std::optional<mono_time> connectionLostAt;
    };
    struct known_content {
        quarantine_status quarantineStatus = quarantine_status::Clear;
        mono_time changedAt;
    };

    void handleCrash(const backend_id& server, mono_time now);
    void setQuarantineStatus(fingerprint content, quarantine_status quarantineStatus, mono_time now);
    void evictExpired(mono_time now);
    bool hasRunningAttempts(const backend_id& server, mono_time now) const;

    quarantine_options m_options;
    std::map<attempt_id, running_attempt> m_attempts;
    std::map<fingerprint, known_content> m_statuses;
    std::map<backend_id, std::uint64_t> m_generations;
    std::vector<update> m_updates;
};

} // namespace balsamspring

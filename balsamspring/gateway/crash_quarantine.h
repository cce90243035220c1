// Limits the number of servers that a request with the same content can crash.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <functional>
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

// What an attempt tells about the parts of its prompt, which other requests may share.
struct attempt_prompt {
    std::vector<fingerprint> parts;
    std::uint64_t serverGeneration = 0; // 0: not known
};

// A server crashed while an attempt with a prompt was lost on it.
struct lost_prompt {
    backend_id server;
    attempt_prompt prompt;
    mono_time startedAt;
};

using lost_prompt_hook = std::function<void(const lost_prompt&, mono_time now)>;

// Tracks contents by fingerprint. A content can cause at most two crashes: one while other work ran on the server, one
// while it ran exclusively. Does no I/O. Not thread-safe.
class crash_quarantine {
public:
    struct update {
        fingerprint content;
        quarantine_status quarantineStatus = quarantine_status::Clear;
    };

    // `onLostPrompt`, if set, is called for each attempt with a prompt that was lost in a crash.
    explicit crash_quarantine(const quarantine_options& options, lost_prompt_hook onLostPrompt = nullptr);

    quarantine_status quarantineStatus(fingerprint content, mono_time now) const;

    // Whether an attempt may start on the server now. A suspect needs a server that runs no other attempt of this VM,
    // and no attempt may start on a server on which a suspect runs.
    bool mayStart(fingerprint content, const backend_id& server, mono_time now) const;

    void started(
        attempt_id attempt, fingerprint content, const backend_id& server, mono_time now, attempt_prompt prompt = {});
    // The attempt is complete, or has run long enough to show that it does not crash its server.
    void succeeded(attempt_id attempt, mono_time now);
    // The attempt ended in a way that does not depend on the content: refused, cancelled or timed out.
    void dropped(attempt_id attempt);
    // The connection was lost. Counts as a crash once connectRefused or generationSeen reports one for the server.
    void connectionLost(attempt_id attempt, mono_time now);

    void connectRefused(const backend_id& server, mono_time now);
    // No connection could be established, for a reason that may lie between this VM and the server.
    void unreachable(const backend_id& server, mono_time now);
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
        mono_time startedAt {};
        attempt_prompt prompt;
    };
    struct known_content {
        quarantine_status quarantineStatus = quarantine_status::Clear;
        mono_time changedAt;
    };

    // `certain`: the server itself was seen to be gone.
    void handleCrash(const backend_id& server, bool certain, mono_time now);
    void setQuarantineStatus(fingerprint content, quarantine_status quarantineStatus, mono_time now);
    void evictExpired(mono_time now);
    bool hasRunningAttempts(const backend_id& server, mono_time now) const;

    quarantine_options m_options;
    lost_prompt_hook m_onLostPrompt;
    std::map<attempt_id, running_attempt> m_attempts;
    std::map<fingerprint, known_content> m_statuses;
    std::map<backend_id, std::uint64_t> m_generations;
    std::vector<update> m_updates;
};

} // namespace balsamspring

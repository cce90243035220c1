// Keeps a request that crashes servers from crashing many of them.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace balsamspring {

enum class content_standing : std::uint8_t {
    Clear,
    Suspect, // ran on a server that crashed: runs alone until it has succeeded
    Quarantined, // crashed a server while alone there: refused
};

struct quarantine_options {
    duration expiry = std::chrono::minutes(10);
    // How long after a lost connection a new generation or a refused connect still explains the loss.
    duration crashWindow = std::chrono::seconds(30);
    std::size_t capacity = 10'000; // contents remembered
};

// Decides per content fingerprint. At most two crashes per content: one among others, one alone. Does no I/O; has no
// lock.
class crash_quarantine {
public:
    struct update {
        fingerprint content;
        content_standing standing = content_standing::Clear;
    };

    explicit crash_quarantine(const quarantine_options& options);

    content_standing standing(fingerprint content, mono_time now) const;

    // Whether an attempt may start on the server now: a suspect needs a server without other work of ours, and nothing
    // joins a server on which a suspect runs.
    bool mayStart(fingerprint content, const backend_id& server, mono_time now) const;

    void started(attempt_id attempt, fingerprint content, const backend_id& server, mono_time now);
    void succeeded(attempt_id attempt, mono_time now);
    // Ended for a reason that says nothing about the content: refused, cancelled, too slow.
    void dropped(attempt_id attempt);
    // The connection broke. A crash is assumed once the server shows one.
    void connectionLost(attempt_id attempt, mono_time now);

    void connectRefused(const backend_id& server, mono_time now);
    void generationSeen(const backend_id& server, std::uint64_t generation, mono_time now);

    // What another VM has found. Never lowers what this VM knows.
    void learn(const update& news, mono_time now);
    // Standings that changed here and are to be spread.
    std::vector<update> takeUpdates();

    std::size_t size() const { return m_standings.size(); }

private:
    struct running_attempt {
        fingerprint content;
        backend_id server;
        bool alone = false;
        std::optional<mono_time> lostAt;
    };
    struct known_content {
        content_standing standing = content_standing::Clear;
        mono_time since;
    };

    void crashed(const backend_id& server, mono_time now);
    void setStanding(fingerprint content, content_standing standing, mono_time now);
    void forgetOld(mono_time now);
    bool busy(const backend_id& server, mono_time now) const;

    quarantine_options m_options;
    std::map<attempt_id, running_attempt> m_running;
    std::map<fingerprint, known_content> m_standings;
    std::map<backend_id, std::uint64_t> m_generations;
    std::vector<update> m_updates;
};

} // namespace balsamspring

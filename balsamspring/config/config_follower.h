// Feeds a config_versions with the records of the log stream `config`, and publishes proposals to that stream.
#pragma once

#include "balsamspring/config/config_versions.h"
#include "balsamspring/platform/log_client.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace balsamspring {

struct config_follower_options {
    duration pollInterval = std::chrono::seconds(1); // Interval between reads at the tail.
    duration callTimeout = std::chrono::seconds(1); // Timeout of one read or append.
    duration hangTimeout = std::chrono::seconds(3); // A call without any answer is abandoned after this time.
    duration initialBackoff = std::chrono::milliseconds(250); // Doubles with each failure, with full jitter.
    duration maxBackoff = std::chrono::seconds(5);
    std::size_t pageSize = 64; // Records per read.
};

// Access to the control thread and the clock.
struct control_hooks {
    std::function<void(std::function<void()>)> post; // Runs a task on the control thread, possibly inline.
    std::function<mono_time()> now;
};

// Reads pages until the tail and then polls. When the log fails, config_versions keeps its version and reports
// `config_stale` once the tail has not been read for `staleAfter`. Must be used on the control thread only.
class config_follower {
public:
    // The log and the versions must outlive this object.
    config_follower(config_follower_options options, log_client& log, config_versions& versions, control_hooks thread,
        random_engine random);
    ~config_follower();
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    // Starts a read that is due and abandons a read that hangs. Call about every 100 ms.
    void tick(mono_time now);

    // Makes the next tick read, for example because a proposal was just appended.
    void scheduleRead(mono_time now);

    // Appends without waiting for the result or retrying. Used for snapshots.
    void appendOnce(std::string record);

private:
    struct state;
    std::shared_ptr<state> m_state; // Callbacks hold weak references.
};

enum class publication_phase : std::uint8_t {
    Pending, // Not yet read back from the log.
    Decided,
    GivenUp, // Not read back in time. It may still take effect.
};

struct publication {
    publication_phase phase = publication_phase::Pending;
    proposal_outcome outcome; // Set in phase Decided.
    std::string lastError; // Error of the last failed append.
};

// Creates a validated proposal. Returns findings when the configuration of any site is invalid.
checked<schema::config_proposal> makeProposal(
    const config_sources& sources, config_version base, const std::string& id, const std::string& author);

// Appends proposals and retries with the same record until this VM has read it back: an append without an answer may or
// may not have taken effect, and config_versions detects duplicates by the id. Must be used on the control thread only.
class config_publisher {
public:
    // The log, the versions and the follower must outlive this object.
    config_publisher(config_follower_options options, log_client& log, const config_versions& versions,
        config_follower& follower, control_hooks thread, random_engine random);
    ~config_publisher();
    config_publisher(const config_publisher&) = delete;
    config_publisher& operator=(const config_publisher&) = delete;

    // Fails with `Conflict` when the base is older than the version in force, `Unavailable` while this VM knows no
    // version or has not yet reached the base, and `AlreadyExists` when the id was used with different content.
    // Publishing the same proposal again is no error; it restarts one that was given up. `limit` is the time until it
    // is given up.
    result<void> publish(const schema::config_proposal& proposal, duration limit, mono_time now);

    void tick(mono_time now);

    // Returns nullopt for an id that was neither published here nor has an outcome in config_versions.
    std::optional<publication> find(const std::string& id) const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

// VMs whose version is below `target`, sorted.
std::vector<vm_id> laggingMembers(const std::map<vm_id, config_version>& members, config_version target);

} // namespace balsamspring

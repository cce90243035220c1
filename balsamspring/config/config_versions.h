// Decides which configuration version is in force, from the records of the log stream `config`.
//
// Every VM applies the same rules to the same records in offset order, so all reach the same versions. The class does
// no I/O: it is given log pages and peer messages with the time they were received, and calls hooks. Not thread-safe;
// it is owned by the control thread. Hooks run synchronously and must not call back into the object.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/random.h"
#include "balsamspring/base/time.h"
#include "balsamspring/config/config.h"
#include "balsamspring/config/config_records.h"
#include "balsamspring/platform/log_client.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring {

using site_configurations = std::map<std::string, schema::configuration, std::less<>>;

// An immutable configuration version. A request uses the version that was in force when it started.
struct config_in_force {
    config_version version;
    std::string digest;
    config_sources sources;
    std::shared_ptr<const schema::configuration> configuration; // Of this VM's site; null when the site has none.
};

using config_handle = std::shared_ptr<const config_in_force>;

enum class config_condition : std::uint8_t {
    Current, // The log was read to its tail within `staleAfter`.
    Stale, // In force, but the log was not read to its tail within `staleAfter`.
    Behind, // In force, but records were removed before this VM read them. Needs a snapshot from the log or a peer.
    Unknown, // Started and does not yet know the version in force.
    Empty, // No version was ever published.
    SchemaUnknown, // A record of an unsupported schema version cannot be processed.
    SiteUnknown, // The version in force has no overlay for this site.
    Diverged, // A peer has the same version with another digest, or a snapshot is below this VM's version.
};

// "current", "config_stale", "config_behind", "config_unknown", ...
std::string_view toString(config_condition condition);

// Whether a VM in this condition may accept requests: it has a configuration that is not known to be wrong.
bool isReady(config_condition condition);

enum class proposal_verdict : std::uint8_t { Accepted, BaseMismatch, Invalid, DigestMismatch };

struct proposal_outcome {
    std::string id;
    proposal_verdict verdict = proposal_verdict::Invalid;
    config_version version; // The version it became, or the version in force when it was rejected.
    std::string message; // "accepted as version 5", "based on version 3, current is 4", findings
};

// Safety checks, all enabled in production. Tests disable one at a time to show that its absence is detected.
struct config_mechanisms {
    bool checkAsOf = true; // A snapshot must cover all records before the first readable one.
    bool checkBaseVersion = true; // A proposal must be based on the version in force.
    bool adoptOnlyHigher = true; // Lower versions from peers are ignored.
};

struct config_versions_options {
    std::string site;
    duration retention = std::chrono::hours(24); // How long the log keeps records.
    duration staleAfter = std::chrono::seconds(5);
    config_mechanisms mechanisms {};
    // Validates the sources; must give the same result on every VM. Default: loadAllSites.
    std::function<checked<site_configurations>(const config_sources&)> load {};
};

struct config_versions_hooks {
    std::function<void(std::string record)> appendRecord {}; // Best effort; repeated when the record is not read back.
    std::function<void(const config_handle&)> versionChanged {};
    std::function<void(config_condition)> conditionChanged {};
    std::function<void(const proposal_outcome&)> proposalDecided {};
    std::function<void(const vm_id&)> fetchFromPeer {}; // Requests the snapshot of this VM.
};

class config_versions {
public:
    config_versions(config_versions_options options, config_versions_hooks hooks, random_engine random, mono_time now);

    // Offset to read from next.
    log_offset nextOffset() const { return m_next; }

    // Processes a page that was read from offset `from`. Ignored when nextOffset() has changed since.
    void pageReceived(log_offset from, const log_page& page, mono_time now);

    // Processes the version that a peer reported.
    void peerReported(const vm_id& peer, config_version version, const std::string& digest, mono_time now);

    // Processes the reply to fetchFromPeer: the record that the peer's snapshotRecord() returned.
    void peerSnapshotReceived(std::string_view record, mono_time now);

    // Updates the condition and publishes a snapshot that is due. Call at least once a second.
    void tick(mono_time now);

    // Null until the version in force is known, and while none was published.
    const config_handle& inForce() const { return m_inForce; }
    config_version version() const { return config_version(m_state.version()); }
    const std::string& digest() const { return m_state.digest(); }
    config_condition condition() const { return m_condition; }

    // The latest accepted proposals, oldest first.
    std::vector<schema::accepted_proposal> history() const;

    // Outcome of a proposal that this VM has read. Only a limited number of accepted and rejected ones is kept.
    std::optional<proposal_outcome> outcomeOf(const std::string& proposalId) const;

    // Snapshot for a peer; nullopt while this VM does not know the version in force.
    std::optional<std::string> snapshotRecord() const;

    // Record by which an operator sets a version after all VMs were lost for so long that retention removed every
    // snapshot. `version` must be above every earlier one; a VM that still has a higher one reports `Diverged`. Fails
    // with `FailedPrecondition` unless this VM has read the log to the tail without finding a usable snapshot.
    result<std::string> restoreRecord(
        const config_sources& sources, config_version version, const std::string& author) const;

    std::uint64_t corruptRecords() const { return m_corruptRecords; }

private:
    bool canProcessProposals() const { return !m_requiredAsOf; }
    void recordGap(log_offset earliest);
    void recordReceived(const log_record& record, mono_time now);
    void snapshotRead(const schema::config_snapshot& snapshot, mono_time now);
    void restoreFrom(const schema::config_snapshot& snapshot);
    void closeGapWith(const schema::config_snapshot& snapshot);
    void processProposal(const schema::config_proposal& proposal);
    proposal_outcome evaluateProposal(const schema::config_proposal& proposal, site_configurations& sites) const;
    void accept(const schema::config_proposal& proposal, site_configurations sites);
    bool adopt(const schema::config_snapshot& snapshot);
    void setSiteConfiguration(site_configurations sites);
    void recordRejection(const proposal_outcome& outcome);
    const schema::accepted_proposal* findAccepted(const std::string& proposalId) const;
    void notifyVersionChange();
    void updateCondition(mono_time now);
    config_condition conditionAt(mono_time now) const;
    bool mayPublishSnapshot() const;
    void scheduleSnapshot(mono_time now, duration minimumDelay, duration maxJitter);

    config_versions_options m_options;
    config_versions_hooks m_hooks;
    random_engine m_random;

    // The state after all records before m_applied. `as_of` is set only in the copies that snapshotRecord() encodes.
    schema::config_snapshot m_state;
    std::shared_ptr<const schema::configuration> m_siteConfiguration;
    log_offset m_applied;

    log_offset m_next;
    // Set while records before this offset are missing or cannot be processed. Only a snapshot that covers all of them
    // clears it.
    std::optional<log_offset> m_requiredAsOf;
    bool m_schemaUnknown = false;
    bool m_diverged = false;
    bool m_startComplete = false; // Set once the version at the tail was known.
    bool m_readToTail = false;
    mono_time m_lastAtTail;
    config_version m_highestReported; // Over all peers.
    mono_time m_nextFetch;
    mono_time m_nextGapFetch;

    config_handle m_inForce;
    config_condition m_condition = config_condition::Unknown;
    mono_time m_snapshotDue;
    // Only a snapshot that covers all records before this offset postpones the next one.
    log_offset m_snapshotMinOffset;
    std::map<std::string, proposal_outcome> m_rejected;
    std::deque<std::string> m_rejectedOrder; // Oldest first.
    std::uint64_t m_corruptRecords = 0;
};

} // namespace balsamspring

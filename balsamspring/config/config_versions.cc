#include "balsamspring/config/config_versions.h"

#include "balsamspring/config/config_digest.h"

#include <algorithm>

#include <fmt/core.h>

namespace balsamspring {

namespace {

using namespace std::chrono_literals;

// Accepted proposals kept in the state, so that retries are detected after a start from a snapshot, too.
constexpr int historyLimit = 64;
constexpr std::size_t rejectedLimit = 256;
constexpr duration fetchInterval = 1s;

// A snapshot at the target size is 370 KB. While no peer can close the gap, this interval limits fetches to 3 KB/s.
constexpr duration gapFetchInterval = 120s;

// Divisors of the retention. Two intervals with jitter stay below the retention, so that the snapshot that postponed
// the next one is still on the log when the next one is appended.
constexpr int snapshotIntervalDivisor = 4;
constexpr int snapshotJitterDivisor = 16;
constexpr int snapshotRetryDivisor = 64;

} // namespace

std::string_view toString(config_condition condition)
{
    switch (condition) {
    case config_condition::Current:
        return "current";
    case config_condition::Stale:
        return "config_stale";
    case config_condition::Behind:
        return "config_behind";
    case config_condition::Unknown:
        return "config_unknown";
    case config_condition::Empty:
        return "config_empty";
    case config_condition::SchemaUnknown:
        return "config_schema_unknown";
    case config_condition::SiteUnknown:
        return "config_site_unknown";
    case config_condition::Diverged:
        return "config_diverged";
    }
    return "config_unknown";
}

bool isReady(config_condition condition)
{
    return condition == config_condition::Current || condition == config_condition::Stale
        || condition == config_condition::Behind;
}

config_versions::config_versions(
    config_versions_options options, config_versions_hooks hooks, random_engine random, mono_time now)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_random(random)
    , m_lastAtTail(now)
    , m_nextFetch(now)
    , m_nextGapFetch(now)
{
    if (!m_options.load)
        m_options.load = loadAllSites;
    // VMs may run for less than one interval. A uniformly distributed first delay lets some of them publish anyway.
    scheduleSnapshot(now, 0us, m_options.retention / snapshotIntervalDivisor);
}

void config_versions::pageReceived(log_offset from, const log_page& page, mono_time now)
{
    // A tail before the requested offset means that the log lost records; the version in force is kept and gets stale.
    const bool isUsable = from == m_next && page.next >= from;
    if (!isUsable)
        return;
    if (page.earliest > m_next)
        recordGap(page.earliest);
    for (const log_record& record : page.records) {
        // A snapshot that closes a gap changes m_next, and reading restarts there.
        if (record.offset < m_next)
            continue;
        m_next = log_offset(record.offset.value() + 1);
        const log_offset expected = m_next;
        recordReceived(record, now);
        if (m_next != expected)
            break;
        if (canProcessProposals())
            m_applied = m_next;
    }
    const bool readWhole = page.records.empty() || m_next.value() == page.records.back().offset.value() + 1;
    if (readWhole)
        m_next = std::max(m_next, page.next);
    if (page.atTail && readWhole) {
        m_lastAtTail = now;
        m_readToTail = true;
        if (canProcessProposals() && !m_startComplete) {
            m_startComplete = true;
            m_snapshotMinOffset = m_next;
        }
    }
    notifyVersionChange();
    updateCondition(now);
}

void config_versions::recordGap(log_offset earliest)
{
    m_next = earliest;
    m_requiredAsOf = std::max(m_requiredAsOf.value_or(earliest), earliest);
}

void config_versions::recordReceived(const log_record& record, mono_time now)
{
    const auto decoded = decodeRecord(record.bytes);
    if (!decoded) {
        ++m_corruptRecords;
        return;
    }
    if (const auto* snapshot = std::get_if<schema::config_snapshot>(&*decoded)) {
        snapshotRead(*snapshot, now);
    } else if (!canProcessProposals()) {
        return; // Read again from the snapshot that closes the gap.
    } else if (const auto* proposal = std::get_if<schema::config_proposal>(&*decoded)) {
        processProposal(*proposal);
    } else {
        m_schemaUnknown = true;
        m_requiredAsOf = m_next;
    }
}

void config_versions::snapshotRead(const schema::config_snapshot& snapshot, mono_time now)
{
    // A snapshot covers only records that its writer had read, which lie before it. One that claims to cover its own
    // or later offsets would hide records.
    if (snapshot.as_of() + 1 >= m_next.value()) {
        ++m_corruptRecords;
        return;
    }
    if (canProcessProposals() && snapshot.version() > m_state.version()) {
        restoreFrom(snapshot);
        return;
    }
    if (!canProcessProposals()) {
        closeGapWith(snapshot);
        return;
    }
    const bool covers = m_startComplete && snapshot.version() == m_state.version()
        && snapshot.as_of() + 1 >= m_snapshotMinOffset.value();
    if (!covers)
        return;
    scheduleSnapshot(now, m_options.retention / snapshotIntervalDivisor, m_options.retention / snapshotJitterDivisor);
    m_snapshotMinOffset = m_next;
}

void config_versions::closeGapWith(const schema::config_snapshot& snapshot)
{
    const bool reaches = snapshot.as_of() + 1 >= m_requiredAsOf->value();
    if (!reaches && m_options.mechanisms.checkAsOf)
        return;
    if (snapshot.version() < m_state.version()) {
        m_diverged = true;
        return;
    }
    if (!adopt(snapshot))
        return;
    // Never before the first readable record. With checkAsOf enabled, the snapshot covers all records before it.
    m_applied = std::max(m_applied, *m_requiredAsOf);
    m_next = m_applied;
    m_requiredAsOf.reset();
    m_schemaUnknown = false;
}

// VMs never write a snapshot above the version at its log offset, so this one was written by an operator's restore.
void config_versions::restoreFrom(const schema::config_snapshot& snapshot)
{
    const log_offset position = m_next;
    if (adopt(snapshot))
        m_applied = position;
}

void config_versions::processProposal(const schema::config_proposal& proposal)
{
    if (findAccepted(proposal.id()))
        return;
    site_configurations sites;
    const proposal_outcome outcome = evaluateProposal(proposal, sites);
    if (outcome.verdict == proposal_verdict::Accepted)
        accept(proposal, std::move(sites));
    else
        recordRejection(outcome);
    if (m_hooks.proposalDecided)
        m_hooks.proposalDecided(outcome);
}

// Depends only on the state and the record, so that all VMs reach the same verdict.
proposal_outcome config_versions::evaluateProposal(
    const schema::config_proposal& proposal, site_configurations& sites) const
{
    proposal_outcome outcome { proposal.id(), proposal_verdict::Invalid, config_version(m_state.version()), {} };
    if (proposal.id().empty()) {
        outcome.message = "the proposal has no id";
        return outcome;
    }
    if (proposal.base_version() != m_state.version() && m_options.mechanisms.checkBaseVersion) {
        outcome.verdict = proposal_verdict::BaseMismatch;
        outcome.message = fmt::format("based on version {}, current is {}", proposal.base_version(), m_state.version());
        return outcome;
    }
    const config_sources sources = toSources(proposal.payload());
    const auto digest = configDigest(sources);
    if (!digest || *digest != proposal.digest()) {
        outcome.verdict = digest ? proposal_verdict::DigestMismatch : proposal_verdict::Invalid;
        outcome.message = digest ? fmt::format("the digest is {}, the proposal says {}", *digest, proposal.digest())
                                 : digest.error().toText();
        return outcome;
    }
    auto loaded = m_options.load(sources);
    if (!loaded) {
        outcome.message = loaded.error().toText();
        return outcome;
    }
    sites = std::move(*loaded);
    outcome.verdict = proposal_verdict::Accepted;
    outcome.version = config_version(m_state.version() + 1);
    outcome.message = fmt::format("accepted as version {}", outcome.version.value());
    return outcome;
}

void config_versions::accept(const schema::config_proposal& proposal, site_configurations sites)
{
    m_state.set_version(m_state.version() + 1);
    *m_state.mutable_payload() = proposal.payload();
    m_state.set_digest(proposal.digest());
    schema::accepted_proposal& entry = *m_state.add_history();
    entry.set_version(m_state.version());
    entry.set_id(proposal.id());
    entry.set_author(proposal.author());
    entry.set_digest(proposal.digest());
    if (m_state.history_size() > historyLimit)
        m_state.mutable_history()->DeleteSubrange(0, m_state.history_size() - historyLimit);
    setSiteConfiguration(std::move(sites));
}

bool config_versions::adopt(const schema::config_snapshot& snapshot)
{
    site_configurations sites;
    if (snapshot.version()) {
        const config_sources sources = toSources(snapshot.payload());
        const auto digest = configDigest(sources);
        auto loaded = m_options.load(sources);
        if (!digest || *digest != snapshot.digest() || !loaded) {
            ++m_corruptRecords;
            return false;
        }
        sites = std::move(*loaded);
    }
    m_state = snapshot;
    m_state.clear_as_of();
    m_applied = log_offset(snapshot.as_of() + 1);
    setSiteConfiguration(std::move(sites));
    return true;
}

// Without overlays, the base file alone applies to every site.
void config_versions::setSiteConfiguration(site_configurations sites)
{
    m_diverged = false;
    auto found = sites.find(m_options.site);
    if (found == sites.end() && m_state.payload().overlays().empty())
        found = sites.find("");
    m_siteConfiguration
        = found == sites.end() ? nullptr : std::make_shared<const schema::configuration>(std::move(found->second));
}

void config_versions::peerReported(const vm_id& peer, config_version version, const std::string& digest, mono_time now)
{
    // A VM that has not read the log must not start from a peer, because a lagging peer would make it revert.
    if (!m_startComplete)
        return;
    m_highestReported = std::max(m_highestReported, version);
    if (version == this->version() && digest != this->digest())
        m_diverged = true;
    const bool mayAdopt = m_options.mechanisms.adoptOnlyHigher ? version > this->version() : version != this->version();
    // A peer with the same version may have read past the gap that blocks this VM.
    const bool mayCloseGap = m_requiredAsOf && version == this->version() && now >= m_nextGapFetch;
    if ((mayAdopt || mayCloseGap) && now >= m_nextFetch && m_hooks.fetchFromPeer) {
        m_nextFetch = now + fetchInterval;
        if (mayCloseGap)
            m_nextGapFetch = now + gapFetchInterval;
        m_hooks.fetchFromPeer(peer);
    }
    updateCondition(now);
}

void config_versions::peerSnapshotReceived(std::string_view record, mono_time now)
{
    const auto decoded = decodeRecord(record);
    const auto* snapshot = decoded ? std::get_if<schema::config_snapshot>(&*decoded) : nullptr;
    if (!snapshot) {
        ++m_corruptRecords;
        return;
    }
    const bool isHigher = snapshot->version() > m_state.version();
    const bool closesGap = m_requiredAsOf && snapshot->version() == m_state.version()
        && snapshot->digest() == m_state.digest() && snapshot->as_of() + 1 >= m_requiredAsOf->value();
    const bool shouldAdopt = isHigher || closesGap || !m_options.mechanisms.adoptOnlyHigher;
    if (!m_startComplete || !shouldAdopt || !adopt(*snapshot))
        return;
    if (m_requiredAsOf && m_applied >= *m_requiredAsOf) {
        m_requiredAsOf.reset();
        m_schemaUnknown = false;
    }
    // While a gap remains, reading continues until a snapshot is found.
    if (canProcessProposals())
        m_next = m_applied;
    notifyVersionChange();
    updateCondition(now);
}

void config_versions::tick(mono_time now)
{
    updateCondition(now);
    if (now < m_snapshotDue || !mayPublishSnapshot())
        return;
    // Retries soon; only reading the record back from the log postpones the next snapshot by a full interval.
    scheduleSnapshot(now, m_options.retention / snapshotRetryDivisor, m_options.retention / snapshotRetryDivisor);
    if (const auto record = snapshotRecord(); record && m_hooks.appendRecord)
        m_hooks.appendRecord(*record);
}

// A VM whose version is below that of a peer has missed records; its snapshot could make other VMs revert.
bool config_versions::mayPublishSnapshot() const
{
    return m_startComplete && canProcessProposals() && !m_diverged && version() >= m_highestReported;
}

void config_versions::scheduleSnapshot(mono_time now, duration minimumDelay, duration maxJitter)
{
    const double fraction = uniform(m_random);
    m_snapshotDue = now + minimumDelay + fromSeconds(toSeconds(maxJitter) * fraction);
}

std::optional<std::string> config_versions::snapshotRecord() const
{
    if (!m_startComplete || !m_applied.value())
        return std::nullopt;
    schema::config_snapshot snapshot = m_state;
    snapshot.set_as_of(m_applied.value() - 1);
    return encodeRecord(snapshot);
}

result<std::string> config_versions::restoreRecord(
    const config_sources& sources, config_version version, const std::string& author) const
{
    if (m_startComplete || !m_readToTail || !m_requiredAsOf || m_schemaUnknown)
        return makeError(error_code::FailedPrecondition, "the version in force is not lost as far as this VM can see");
    const auto digest = configDigest(sources);
    const auto sites = m_options.load(sources);
    if (!digest || !sites)
        return makeError(error_code::InvalidArgument, (digest ? sites.error() : digest.error()).toText());
    schema::config_snapshot snapshot;
    snapshot.set_version(version.value());
    *snapshot.mutable_payload() = toPayload(sources);
    snapshot.set_digest(*digest);
    snapshot.set_as_of(m_next.value() - 1);
    schema::accepted_proposal& entry = *snapshot.add_history();
    entry.set_version(version.value());
    entry.set_id(fmt::format("restoration-{}", version.value()));
    entry.set_author(author);
    entry.set_digest(*digest);
    return encodeRecord(snapshot);
}

std::vector<schema::accepted_proposal> config_versions::history() const
{
    return { m_state.history().begin(), m_state.history().end() };
}

const schema::accepted_proposal* config_versions::findAccepted(const std::string& proposalId) const
{
    for (const schema::accepted_proposal& entry : m_state.history()) {
        if (entry.id() == proposalId)
            return &entry;
    }
    return nullptr;
}

std::optional<proposal_outcome> config_versions::outcomeOf(const std::string& proposalId) const
{
    if (const auto* entry = findAccepted(proposalId)) {
        return proposal_outcome { proposalId, proposal_verdict::Accepted, config_version(entry->version()),
            fmt::format("accepted as version {}", entry->version()) };
    }
    const auto found = m_rejected.find(proposalId);
    return found == m_rejected.end() ? std::nullopt : std::optional(found->second);
}

// Keeps the first outcome: a duplicate of the record would be rejected for its base version.
void config_versions::recordRejection(const proposal_outcome& outcome)
{
    if (!m_rejected.emplace(outcome.id, outcome).second)
        return;
    m_rejectedOrder.push_back(outcome.id);
    if (m_rejectedOrder.size() > rejectedLimit) {
        m_rejected.erase(m_rejectedOrder.front());
        m_rejectedOrder.pop_front();
    }
}

void config_versions::notifyVersionChange()
{
    const bool isKnown = m_startComplete && m_state.version();
    const bool isSame = m_inForce && m_inForce->version == version() && m_inForce->digest == digest();
    if (!isKnown || isSame)
        return;
    m_inForce = std::make_shared<const config_in_force>(
        config_in_force { version(), digest(), toSources(m_state.payload()), m_siteConfiguration });
    if (m_hooks.versionChanged)
        m_hooks.versionChanged(m_inForce);
}

void config_versions::updateCondition(mono_time now)
{
    const config_condition condition = conditionAt(now);
    if (condition == m_condition)
        return;
    m_condition = condition;
    if (m_hooks.conditionChanged)
        m_hooks.conditionChanged(condition);
}

config_condition config_versions::conditionAt(mono_time now) const
{
    if (m_schemaUnknown)
        return config_condition::SchemaUnknown;
    if (!m_startComplete)
        return config_condition::Unknown;
    if (m_diverged)
        return config_condition::Diverged;
    if (!m_state.version())
        return config_condition::Empty;
    if (!m_siteConfiguration)
        return config_condition::SiteUnknown;
    if (m_requiredAsOf)
        return config_condition::Behind;
    return now - m_lastAtTail > m_options.staleAfter ? config_condition::Stale : config_condition::Current;
}

} // namespace balsamspring

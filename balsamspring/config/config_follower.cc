#include "balsamspring/config/config_follower.h"

#include "balsamspring/config/config_digest.h"

#include <algorithm>
#include <utility>

#include <fmt/core.h>

namespace balsamspring {

namespace {

// Bounds the time that one tick spends reading a long log.
constexpr int pagesPerTick = 16;

// How long the state of a proposal that was given up can still be queried.
constexpr duration givenUpRetention = std::chrono::minutes(10);

// Exponential backoff with full jitter.
class backoff {
public:
    backoff(const config_follower_options& options, random_engine random)
        : m_initial(options.initialBackoff)
        , m_max(options.maxBackoff)
        , m_random(random)
    {
    }

    void reset() { m_limit = duration::zero(); }

    duration next()
    {
        m_limit = m_limit == duration::zero() ? m_initial : std::min(m_limit * 2, m_max);
        const double fraction = uniform(m_random);
        return fromSeconds(toSeconds(m_limit) * fraction);
    }

private:
    duration m_initial;
    duration m_max;
    duration m_limit = duration::zero();
    random_engine m_random;
};

} // namespace

struct config_follower::state : std::enable_shared_from_this<state> {
    state(config_follower_options options, log_client& log, config_versions& versions, control_hooks thread,
        random_engine random)
        : options(options)
        , log(log)
        , versions(versions)
        , thread(std::move(thread))
        , retryBackoff(options, random)
    {
    }

    void startRead(mono_time now)
    {
        isReading = true;
        readStarted = now;
        const std::uint64_t sequence = ++readSequence;
        const log_offset from = versions.nextOffset();
        const std::weak_ptr<state> weak = weak_from_this();
        const control_hooks& control = thread;
        log.read(configStream, from, options.pageSize, options.callTimeout,
            [weak, from, sequence, post = control.post](result<log_page> answer) {
                post([weak, from, sequence, answer = std::move(answer)] {
                    if (const auto self = weak.lock())
                        self->readEnded(sequence, from, answer);
                });
            });
    }

    // Ignores the answer to an abandoned read, because its page starts at an outdated offset.
    void readEnded(std::uint64_t sequence, log_offset from, const result<log_page>& answer)
    {
        if (sequence != readSequence || !isReading)
            return;
        isReading = false;
        const mono_time now = thread.now();
        // A page that neither advances nor reaches the tail counts as a failure; otherwise it would be requested again
        // without delay.
        const bool isUsable = answer && (answer->atTail || answer->next > from);
        if (!isUsable) {
            due = now + retryBackoff.next();
            return;
        }
        retryBackoff.reset();
        versions.pageReceived(from, *answer, now);
        const bool isDone = answer->atTail && versions.nextOffset() == answer->next;
        due = isDone ? now + options.pollInterval : now;
    }

    config_follower_options options;
    log_client& log;
    config_versions& versions;
    control_hooks thread;
    backoff retryBackoff;
    bool isReading = false;
    mono_time readStarted;
    mono_time due;
    std::uint64_t readSequence = 0;
};

config_follower::config_follower(config_follower_options options, log_client& log, config_versions& versions,
    control_hooks thread, random_engine random)
    : m_state(std::make_shared<state>(options, log, versions, std::move(thread), random))
{
}

config_follower::~config_follower() = default;

void config_follower::tick(mono_time now)
{
    state& self = *m_state;
    if (self.isReading && now - self.readStarted > self.options.hangTimeout) {
        self.isReading = false;
        self.due = now + self.retryBackoff.next();
    }
    for (int page = 0; page < pagesPerTick && !self.isReading && now >= self.due; ++page)
        self.startRead(now);
    self.versions.tick(now);
}

void config_follower::scheduleRead(mono_time now) { m_state->due = std::min(m_state->due, now); }

void config_follower::appendOnce(std::string record)
{
    m_state->log.append(
        configStream, { std::move(record) }, m_state->options.callTimeout, [](const result<log_offset>&) {});
}

checked<schema::config_proposal> makeProposal(
    const config_sources& sources, config_version base, const std::string& id, const std::string& author)
{
    const auto sites = loadAllSites(sources);
    if (!sites)
        return tl::make_unexpected(sites.error());
    const auto digest = configDigest(sources);
    if (!digest)
        return tl::make_unexpected(digest.error());
    schema::config_proposal proposal;
    proposal.set_base_version(base.value());
    proposal.set_id(id);
    proposal.set_author(author);
    *proposal.mutable_payload() = toPayload(sources);
    proposal.set_digest(*digest);
    return proposal;
}

struct config_publisher::state : std::enable_shared_from_this<state> {
    struct entry {
        std::string record;
        std::string digest;
        mono_time due;
        mono_time giveUpAt;
        backoff retryBackoff;
        publication status;
    };

    state(config_follower_options options, log_client& log, const config_versions& versions, config_follower& follower,
        control_hooks thread, random_engine random)
        : options(options)
        , log(log)
        , versions(versions)
        , follower(follower)
        , thread(std::move(thread))
        , random(random)
    {
    }

    void append(const std::string& id, entry& item, mono_time now)
    {
        // Retries if no answer arrives within the hang timeout.
        item.due = now + options.hangTimeout;
        const std::weak_ptr<state> weak = weak_from_this();
        log.append(configStream, { item.record }, options.callTimeout,
            [weak, id, post = thread.post](result<log_offset> answer) {
                post([weak, id, answer = std::move(answer)] {
                    if (const auto self = weak.lock())
                        self->appendEnded(id, answer);
                });
            });
    }

    void appendEnded(const std::string& id, const result<log_offset>& answer)
    {
        const auto found = entries.find(id);
        if (found == entries.end())
            return;
        const mono_time now = thread.now();
        entry& item = found->second;
        if (!answer) {
            item.status.lastError = answer.error().message;
            item.due = now + item.retryBackoff.next();
        } else {
            item.due = now + options.maxBackoff;
        }
        follower.scheduleRead(now);
    }

    config_follower_options options;
    log_client& log;
    const config_versions& versions;
    config_follower& follower;
    control_hooks thread;
    random_engine random;
    std::map<std::string, entry> entries;
};

config_publisher::config_publisher(config_follower_options options, log_client& log, const config_versions& versions,
    config_follower& follower, control_hooks thread, random_engine random)
    : m_state(std::make_shared<state>(options, log, versions, follower, std::move(thread), random))
{
}

config_publisher::~config_publisher() = default;

namespace {

// A base above the version of this VM comes from another VM that has read further, so this VM is `Unavailable` for it.
result<void> checkBase(const config_versions& versions, const schema::config_proposal& proposal)
{
    const config_condition condition = versions.condition();
    if (condition == config_condition::Unknown || condition == config_condition::SchemaUnknown)
        return makeError(error_code::Unavailable, std::string(toString(condition)));
    const std::uint64_t current = versions.version().value();
    const error_code code = proposal.base_version() > current ? error_code::Unavailable : error_code::Conflict;
    if (proposal.base_version() != current)
        return makeError(code, fmt::format("based on version {}, current is {}", proposal.base_version(), current));
    return {};
}

} // namespace

result<void> config_publisher::publish(const schema::config_proposal& proposal, duration limit, mono_time now)
{
    state& self = *m_state;
    const auto existing = self.entries.find(proposal.id());
    if (existing != self.entries.end() && existing->second.digest != proposal.digest())
        return makeError(error_code::AlreadyExists, "the proposal id was used for another content");
    if (existing != self.entries.end() && existing->second.status.phase == publication_phase::Pending)
        return {};
    for (const schema::accepted_proposal& entry : self.versions.history()) {
        if (entry.id() == proposal.id() && entry.digest() != proposal.digest())
            return makeError(error_code::AlreadyExists, "the proposal id was accepted with another content");
    }
    if (self.versions.outcomeOf(proposal.id()))
        return {};
    if (auto baseCheck = checkBase(self.versions, proposal); !baseCheck)
        return baseCheck;
    const random_engine random(self.random());
    // Restarts a proposal that was given up.
    const auto [item, isNew] = self.entries.insert_or_assign(proposal.id(),
        state::entry {
            encodeRecord(proposal), proposal.digest(), now, now + limit, backoff(self.options, random), {} });
    self.append(proposal.id(), item->second, now);
    return {};
}

void config_publisher::tick(mono_time now)
{
    for (auto item = m_state->entries.begin(); item != m_state->entries.end();) {
        state::entry& entry = item->second;
        // config_versions provides the outcome once the record has been read.
        const bool isDecided = m_state->versions.outcomeOf(item->first).has_value();
        if (isDecided || now >= entry.giveUpAt + givenUpRetention) {
            item = m_state->entries.erase(item);
            continue;
        }
        if (now >= entry.giveUpAt)
            entry.status.phase = publication_phase::GivenUp;
        else if (now >= entry.due)
            m_state->append(item->first, entry, now);
        ++item;
    }
}

std::optional<publication> config_publisher::find(const std::string& id) const
{
    if (const auto outcome = m_state->versions.outcomeOf(id))
        return publication { publication_phase::Decided, *outcome, {} };
    const auto found = m_state->entries.find(id);
    return found == m_state->entries.end() ? std::nullopt : std::optional(found->second.status);
}

std::vector<vm_id> laggingMembers(const std::map<vm_id, config_version>& members, config_version target)
{
    std::vector<vm_id> lagging;
    for (const auto& [vm, version] : members) {
        if (version < target)
            lagging.push_back(vm);
    }
    return lagging;
}

} // namespace balsamspring

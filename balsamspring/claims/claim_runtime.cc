#include "balsamspring/claims/claim_runtime.h"

#include "balsamspring/base/hash.h"

#include <algorithm>
#include <utility>

namespace balsamspring {

namespace {

std::string claimStream(std::uint32_t partition) { return "claims-" + std::to_string(partition); }

} // namespace

struct claim_runtime::partition {
    partition(std::uint32_t partitionNumber, const claim_options& options, internal::claim_mechanisms mechanisms,
        const claim_identity& self, claim_holder_hooks hooks)
        : number(partitionNumber)
        , stream(claimStream(partitionNumber))
        , book(mechanisms)
        , holder(book, self.vm, self.vmIncarnation, options.timing, std::move(hooks), mechanisms)
        , batcher(options.linger, options.batchRecords)
    {
    }

    std::uint32_t number;
    std::string stream;
    claim_book book;
    claim_holder holder;
    append_batcher batcher;
    bool reading = false;
    bool hasMorePages = true; // false if the last page reached the tail
    bool caughtUp = false; // a read from the start has reached the tail
    std::uint64_t readCount = 0;
    mono_time readStarted;
    mono_time readEnded;
    std::optional<mono_time> tailAsOf; // start time of the last read that reached the tail
    duration failureDelay {}; // back-off after failed reads; zero after a successful one
};

result<void> check(const claim_options& options)
{
    const claim_timing& timing = options.timing;
    if (!options.partitions || !options.batchRecords || !options.pageRecords || !timing.maxSends)
        return makeError(error_code::InvalidArgument,
            "claim options: partitions, batch size, page size and sends must be at least 1");
    if (options.readInterval <= duration::zero() || options.idleInterval < options.readInterval
        || options.platformTimeout <= duration::zero() || timing.sendWindow <= duration::zero())
        return makeError(error_code::InvalidArgument,
            "claim options: intervals, timeout and send window must be positive, and idle interval >= read interval");
    // A settlement must not take effect while a holder may still send, nor contradict a reported state `running`.
    if (timing.settleWait <= timing.sendWindow || timing.settleWait <= timing.outcomeWait)
        return makeError(
            error_code::InvalidArgument, "claim options: settle wait must exceed the send window and the outcome wait");
    // Otherwise a single slow read would make a partition stale.
    if (options.staleAfter < options.idleInterval + options.platformTimeout)
        return makeError(error_code::InvalidArgument,
            "claim options: stale limit must be at least idle interval plus platform timeout");
    return {};
}

claim_runtime::claim_runtime(log_client& log, const claim_options& options, std::string secret, claim_identity self,
    claim_runtime_hooks hooks, random_engine random, internal::claim_mechanisms mechanisms)
    : m_log(log)
    , m_options(options)
    , m_signer(std::move(secret))
    , m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_random(random)
    , m_mechanisms(mechanisms)
{
    for (std::uint32_t number = 0; number < m_options.partitions; ++number)
        addPartition(number);
}

claim_runtime::~claim_runtime() = default;

void claim_runtime::addPartition(std::uint32_t number)
{
    m_partitions.emplace(
        number, std::make_unique<partition>(number, m_options, m_mechanisms, m_self, holderHooks(number)));
}

claim_holder_hooks claim_runtime::holderHooks(std::uint32_t number)
{
    claim_holder_hooks hooks;
    hooks.append = [this, number](append_owner owner, const claim_log_entry& entry) {
        m_partitions.at(number)->batcher.add(encode(entry), owner, m_hooks.now());
    };
    hooks.send = [this, number](std::uint64_t owner, const send_permit& permit, const send_function& send) {
        const std::weak_ptr<char> alive = m_alive;
        const auto postHook = m_hooks.post;
        send(permit, [this, alive, postHook, number, owner](send_result answer) {
            postHook([this, alive, number, owner, answer = std::move(answer)] {
                if (alive.expired())
                    return;
                const auto found = m_partitions.find(number);
                if (found != m_partitions.end())
                    found->second->holder.onSendResult(owner, answer, m_hooks.now());
            });
        });
    };
    hooks.newNonce = [this] {
        return newNonce();
    };
    return hooks;
}

std::uint64_t claim_runtime::newNonce()
{
    // VM and incarnation are mixed in, so that nonces differ even if two VMs draw the same random numbers.
    const std::uint64_t randomBits = static_cast<std::uint64_t>(m_random()) << 32 | m_random();
    const std::uint64_t self = hash64(m_self.vm.value(), m_self.vmIncarnation.value());
    return std::max<std::uint64_t>(1, combineHash(combineHash(self, ++m_nonceCount), randomBits));
}

result<claim_runtime::partition*> claim_runtime::resolveKey(
    const std::string& key, const team_id& team, const claim_callback& done, key_id& id)
{
    const auto refuse = [&](work_state work, const std::string& reason) {
        done({ .work = work, .thisAttempt = work_state::NotRun, .reason = reason });
        return makeError(error_code::FailedPrecondition, reason);
    };
    const auto parsed = m_signer.verify(team, key);
    if (!parsed)
        return refuse(work_state::NotRun, "invalid_key");
    // The key was issued when there were more partitions. This VM does not read the records of its partition.
    const auto found = m_partitions.find(parsed->partition);
    if (found == m_partitions.end())
        return refuse(work_state::Unknown, "log_unavailable");
    if (!isReady(*found->second, m_hooks.now()))
        return refuse(work_state::Unknown, "log_unavailable");
    id = parsed->id;
    return found->second.get();
}

void claim_runtime::run(keyed_call call)
{
    if (m_draining) {
        call.done({ .reason = "draining" });
        return;
    }
    claim_run_request request;
    const auto part = resolveKey(call.key, call.team, call.done, request.key);
    if (!part)
        return;
    const std::string length = std::to_string(call.operation.size());
    request.bodyDigest = hmacSha256("claim_body", length + ':' + call.operation + call.body);
    request.deadline = call.deadline;
    request.send = std::move(call.send);
    request.done = std::move(call.done);
    (*part)->holder.run(std::move(request), m_hooks.now());
}

void claim_runtime::refuse(const std::string& key, const team_id& team, mono_time deadline, claim_callback done)
{
    key_id id;
    if (const auto part = resolveKey(key, team, done, id))
        (*part)->holder.refuse(id, deadline, std::move(done), m_hooks.now());
}

void claim_runtime::state(const std::string& key, const team_id& team, mono_time deadline, claim_callback done)
{
    key_id id;
    if (const auto part = resolveKey(key, team, done, id))
        (*part)->holder.query(id, deadline, std::move(done), m_hooks.now());
}

void claim_runtime::settle(const std::string& key, const team_id& team, const settlement_entry& verdict,
    mono_time deadline, claim_callback done)
{
    key_id id;
    if (const auto part = resolveKey(key, team, done, id))
        (*part)->holder.settle({ id, verdict, deadline, std::move(done) }, m_hooks.now());
}

result<std::string> claim_runtime::issueKey(const team_id& team)
{
    std::vector<const partition*> readyPartitions;
    for (const auto& [number, part] : m_partitions) {
        if (isReady(*part, m_hooks.now()))
            readyPartitions.push_back(part.get());
    }
    if (readyPartitions.empty())
        return makeError(error_code::Unavailable, "no partition of claims is ready");
    const partition& part
        = *readyPartitions[uniformBelow(m_random, static_cast<std::uint32_t>(readyPartitions.size()))];
    return m_signer.issue(team, { part.number, { part.book.next(), newNonce() } });
}

bool claim_runtime::isReady(const partition& part, mono_time now) const
{
    return part.caughtUp && part.tailAsOf && now - *part.tailAsOf <= m_options.staleAfter;
}

bool claim_runtime::ready(std::uint32_t number) const
{
    const auto found = m_partitions.find(number);
    return found != m_partitions.end() && isReady(*found->second, m_hooks.now());
}

bool claim_runtime::ready() const
{
    const mono_time now = m_hooks.now();
    return !m_partitions.empty() && std::all_of(m_partitions.begin(), m_partitions.end(), [&](const auto& entry) {
        return isReady(*entry.second, now);
    });
}

bool claim_runtime::drained() const
{
    return m_draining && std::none_of(m_partitions.begin(), m_partitions.end(), [](const auto& entry) {
        return entry.second->holder.unrecordedCount() || entry.second->batcher.dueTime();
    });
}

void claim_runtime::tick()
{
    const mono_time now = m_hooks.now();
    for (auto& [number, part] : m_partitions) {
        part->holder.onTick(now);
        flush(*part, now);
        readIfDue(*part, now);
    }
}

void claim_runtime::flush(partition& part, mono_time now)
{
    auto batch = part.batcher.take(now);
    if (!batch)
        return;
    const std::weak_ptr<char> alive = m_alive;
    const auto postHook = m_hooks.post;
    const auto number = part.number;
    auto done = [this, alive, postHook, number, owners = std::move(batch->owners)](const result<log_offset>& answer) {
        postHook([this, alive, number, owners, answer] {
            if (alive.expired())
                return;
            const auto found = m_partitions.find(number);
            if (found == m_partitions.end())
                return;
            for (const append_owner& owner : owners)
                found->second->holder.onAppended(owner, answer, m_hooks.now());
        });
    };
    m_log.append(part.stream, std::move(batch->records), m_options.platformTimeout, std::move(done));
}

mono_time claim_runtime::nextReadTime(const partition& part) const
{
    // A read without a reply after twice the timeout is treated as lost, as the adapter may hang with the platform.
    if (part.reading)
        return part.readStarted + 2 * m_options.platformTimeout;
    if (part.failureDelay > duration::zero())
        return part.readEnded + part.failureDelay;
    if (part.hasMorePages)
        return part.readEnded;
    return part.readEnded + (part.holder.needsTailRead() ? m_options.readInterval : m_options.idleInterval);
}

void claim_runtime::readIfDue(partition& part, mono_time now)
{
    if (now < nextReadTime(part) && part.readCount)
        return;
    part.reading = true;
    part.readStarted = now;
    const std::uint64_t read = ++part.readCount;
    part.holder.onReadStarted();
    const log_offset from = part.book.next();
    const std::weak_ptr<char> alive = m_alive;
    const auto postHook = m_hooks.post;
    m_log.read(part.stream, from, m_options.pageRecords, m_options.platformTimeout,
        [this, alive, postHook, number = part.number, read, from](result<log_page> page) {
            postHook([this, alive, number, read, from, page = std::move(page)] {
                if (!alive.expired())
                    onPage(number, read, from, page);
            });
        });
}

void claim_runtime::onPage(std::uint32_t number, std::uint64_t read, log_offset from, const result<log_page>& page)
{
    const auto found = m_partitions.find(number);
    if (found == m_partitions.end() || !found->second->reading || found->second->readCount != read)
        return;
    partition& part = *found->second;
    const mono_time now = m_hooks.now();
    part.reading = false;
    part.readEnded = now;
    if (!page) {
        part.failureDelay = std::clamp(part.failureDelay * 2, m_options.readInterval, m_options.idleInterval);
        return;
    }
    part.failureDelay = duration::zero();
    part.hasMorePages = !page->atTail;
    if (part.caughtUp || m_mechanisms.startupRead)
        part.book.apply(from, *page, now);
    else
        part.book.skipTo(page->next);
    if (page->atTail) {
        part.caughtUp = true;
        part.tailAsOf = part.readStarted;
    }
    part.holder.onPageApplied(page->atTail, now);
}

mono_time claim_runtime::nextWake() const
{
    mono_time wake = m_hooks.now() + m_options.idleInterval;
    for (const auto& [number, part] : m_partitions) {
        wake = std::min(wake, part->readCount ? nextReadTime(*part) : m_hooks.now());
        wake = std::min(wake, part->batcher.dueTime().value_or(wake));
        wake = std::min(wake, part->holder.nextWake().value_or(wake));
    }
    return wake;
}

const claim_book* claim_runtime::book(std::uint32_t number) const
{
    const auto found = m_partitions.find(number);
    return found == m_partitions.end() ? nullptr : &found->second->book;
}

} // namespace balsamspring

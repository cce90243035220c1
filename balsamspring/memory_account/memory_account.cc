#include "balsamspring/memory_account/memory_account.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace balsamspring {

memory_account_options accountOptionsFor(std::uint64_t memoryBytes, std::size_t descriptors)
{
    // Left to the process itself: code, configuration, records of servers, calls to stages and messages of other VMs.
    constexpr std::uint64_t minReserve = 32'000'000;
    constexpr double reserveShare = 0.4;
    // Left to servers, the store, other VMs and readiness.
    constexpr double callersShare = 0.6;
    memory_account_options options;
    if (memoryBytes > 0) {
        const auto share = static_cast<std::uint64_t>(reserveShare * static_cast<double>(memoryBytes));
        options.bytes = memoryBytes - std::min(memoryBytes / 2, std::max(minReserve, share));
    }
    options.connections = static_cast<std::size_t>(callersShare * static_cast<double>(descriptors));
    return options;
}

std::string_view toString(eviction reason)
{
    switch (reason) {
    case eviction::IdleConnection:
        return "idle_connection";
    case eviction::StalledRequest:
        return "stalled_request";
    case eviction::NoRoom:
        return "no_room";
    case eviction::UnreadAnswer:
        return "unread_answer";
    }
    return "no_room";
}

account_hold::account_hold(std::shared_ptr<memory_account*> account, std::uint64_t id)
    : m_account(std::move(account))
    , m_id(id)
{
}

account_hold::account_hold(account_hold&& other) noexcept
    : m_account(std::exchange(other.m_account, nullptr))
    , m_id(other.m_id)
{
}

account_hold& account_hold::operator=(account_hold&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_account = std::exchange(other.m_account, nullptr);
    m_id = other.m_id;
    return *this;
}

account_hold::~account_hold() { release(); }

void account_hold::release()
{
    if (memory_account* const charged = account())
        charged->release(m_id);
}

void account_hold::received(std::size_t bytes, mono_time now)
{
    memory_account* const charged = account();
    if (!charged)
        return;
    auto& owner = charged->m_holders.at(m_id);
    if (owner.state == memory_account::holder_state::Idle) {
        owner.state = memory_account::holder_state::Reading;
        owner.progressAt = now;
        owner.receivedSinceProgress = 0;
    }
    owner.receivedSinceProgress += bytes;
    if (owner.receivedSinceProgress < charged->m_options.progressBytes)
        return;
    owner.receivedSinceProgress = 0;
    owner.progressAt = now;
}

bool account_hold::reserve(std::uint64_t bytes, mono_time now)
{
    memory_account* const charged = account();
    if (!charged)
        return true;
    auto& owner = charged->m_holders.at(m_id);
    // The head may have arrived together with the request before, without further bytes.
    if (owner.state == memory_account::holder_state::Idle) {
        owner.state = memory_account::holder_state::Reading;
        owner.progressAt = now;
        owner.receivedSinceProgress = 0;
    }
    if (bytes <= owner.body)
        return true;
    if (charged->fits(owner, bytes) && (charged->m_waiting.empty() || bytes <= charged->m_options.smallBody)) {
        charged->setCharge(owner, bytes, owner.unread);
        return true;
    }
    owner.state = memory_account::holder_state::Waiting;
    owner.wanted = bytes;
    owner.waitsSince = now;
    charged->m_waiting.push_back(m_id);
    return false;
}

void account_hold::serving(std::uint64_t bytes, mono_time now)
{
    memory_account* const charged = account();
    if (!charged)
        return;
    auto& owner = charged->m_holders.at(m_id);
    owner.state = memory_account::holder_state::Serving;
    owner.progressAt = now;
    charged->setCharge(owner, bytes + charged->m_options.bytesPerRequest, owner.unread);
}

void account_hold::unread(std::uint64_t bytes, mono_time now)
{
    memory_account* const charged = account();
    if (!charged)
        return;
    auto& owner = charged->m_holders.at(m_id);
    if (bytes < owner.unread || bytes == 0)
        owner.progressAt = now;
    charged->setCharge(owner, owner.body, bytes);
}

void account_hold::idle(mono_time now)
{
    memory_account* const charged = account();
    if (!charged)
        return;
    auto& owner = charged->m_holders.at(m_id);
    owner.state = memory_account::holder_state::Idle;
    owner.progressAt = now;
    owner.receivedSinceProgress = 0;
    charged->setCharge(owner, 0, owner.unread);
}

memory_account::memory_account(memory_account_options limits)
    : m_options(limits)
{
}

account_hold memory_account::admit(account_callbacks callbacks, mono_time now)
{
    const auto full = [&] {
        return (m_options.connections > 0 && m_holders.size() >= m_options.connections)
            || (m_options.bytes > 0 && m_used + m_options.bytesPerConnection > m_options.bytes);
    };
    // One is enough: it holds at least as much as the new connection takes. If requests hold more than all bytes,
    // closing every idle connection would not make room.
    if (full()) {
        holder* victim = leastActive(now);
        if (!victim)
            return {};
        const std::size_t before = m_holders.size();
        evict(*victim, eviction::IdleConnection);
        // The owner gives its hold back while it is told.
        if (m_holders.size() == before)
            return {};
    }
    const std::uint64_t id = m_nextId++;
    holder& added = m_holders[id];
    added.callbacks = std::move(callbacks);
    added.progressAt = now;
    setCharge(added, 0, 0);
    return { m_self, id };
}

void memory_account::release(std::uint64_t id)
{
    const auto found = m_holders.find(id);
    m_used -= found->second.charged;
    if (found->second.evicted)
        m_evictedBytes -= found->second.charged;
    std::erase(m_waiting, id);
    // The callbacks may own the caller of this function.
    const account_callbacks callbacks = std::move(found->second.callbacks);
    m_holders.erase(found);
}

void memory_account::setCharge(holder& owner, std::uint64_t body, std::uint64_t unread)
{
    const std::uint64_t charge = m_options.bytesPerConnection + body + unread;
    m_used += charge - owner.charged;
    if (owner.evicted)
        m_evictedBytes += charge - owner.charged;
    owner.charged = charge;
    owner.body = body;
    owner.unread = unread;
}

std::uint64_t memory_account::limitFor(std::uint64_t body) const
{
    if (body <= m_options.smallBody)
        return m_options.bytes;
    return static_cast<std::uint64_t>(m_options.largeShare * static_cast<double>(m_options.bytes));
}

bool memory_account::fits(const holder& owner, std::uint64_t body) const
{
    return m_options.bytes == 0 || m_used - owner.body + body <= limitFor(body);
}

memory_account::holder* memory_account::leastActive(mono_time now)
{
    holder* found = nullptr;
    for (auto& [id, candidate] : m_holders) {
        const bool waitsForCaller = candidate.state == holder_state::Idle || candidate.state == holder_state::Reading;
        if (candidate.evicted || !waitsForCaller || candidate.progressAt == now)
            continue;
        if (!found || candidate.progressAt < found->progressAt)
            found = &candidate;
    }
    return found;
}

memory_account::holder* memory_account::stalledReader(mono_time now)
{
    holder* found = nullptr;
    for (auto& [id, candidate] : m_holders) {
        if (candidate.evicted || candidate.state != holder_state::Reading || candidate.body == 0
            || now - candidate.progressAt < m_options.stallLimit)
            continue;
        const bool better = !found || candidate.progressAt < found->progressAt
            || (candidate.progressAt == found->progressAt && candidate.body > found->body);
        if (better)
            found = &candidate;
    }
    return found;
}

memory_account::holder* memory_account::stalledCaller(mono_time now)
{
    holder* found = nullptr;
    for (auto& [id, candidate] : m_holders) {
        if (!candidate.evicted && candidate.unread > 0 && now - candidate.progressAt >= m_options.stallLimit
            && (!found || candidate.unread > found->unread))
            found = &candidate;
    }
    return found;
}

void memory_account::evict(holder& owner, eviction reason)
{
    owner.evicted = true;
    m_evictedBytes += owner.charged;
    if (owner.callbacks.onEvicted) {
        const auto evicted = owner.callbacks.onEvicted;
        evicted(reason);
    }
}

void memory_account::grantRoom(mono_time now)
{
    const std::vector<std::uint64_t> waiting(m_waiting.rbegin(), m_waiting.rend());
    bool largeBlocked = false;
    for (const std::uint64_t id : waiting) {
        holder& first = m_holders.at(id);
        const bool large = first.wanted > m_options.smallBody;
        if (large && largeBlocked)
            continue;
        if (!fits(first, first.wanted)) {
            largeBlocked = true;
            if (!large)
                return;
            continue;
        }
        std::erase(m_waiting, id);
        first.state = holder_state::Reading;
        first.progressAt = now;
        first.receivedSinceProgress = 0;
        setCharge(first, first.wanted, first.unread);
        if (const auto granted = first.callbacks.onRoom)
            granted();
    }
}

void memory_account::tick(mono_time now)
{
    if (m_options.bytes == 0)
        return;
    // Answers that nobody reads are kept only while there is room for them.
    while (m_used - m_evictedBytes > m_options.bytes) {
        holder* victim = stalledCaller(now);
        if (!victim)
            break;
        evict(*victim, eviction::UnreadAnswer);
    }
    grantRoom(now);
    if (m_waiting.empty())
        return;
    // One that waits needs room, not all room: whoever follows is granted it at the next call.
    const holder& first = m_holders.at(m_waiting.back());
    const std::uint64_t wanted = first.wanted;
    while (m_used - m_evictedBytes + wanted > limitFor(wanted)) {
        holder* victim = stalledReader(now);
        if (!victim)
            break;
        evict(*victim, eviction::StalledRequest);
    }
    grantRoom(now);
    std::vector<std::uint64_t> overdue;
    for (const std::uint64_t id : m_waiting) {
        if (now - m_holders.at(id).waitsSince >= m_options.maxWait)
            overdue.push_back(id);
    }
    for (const std::uint64_t id : overdue) {
        const auto found = m_holders.find(id);
        if (found == m_holders.end() || found->second.evicted)
            continue;
        std::erase(m_waiting, id);
        evict(found->second, eviction::NoRoom);
    }
}

std::size_t memory_account::window() const
{
    if (m_options.bytes == 0)
        return m_options.maxWindow;
    // The callers share what is left. Until its bytes are charged, an answer is held several times: as it was read, as
    // it is framed for the caller, and queued behind a write in progress.
    constexpr std::uint64_t copies = 4;
    const std::uint64_t left = m_options.bytes > m_used ? m_options.bytes - m_used : 0;
    const std::uint64_t share = left / (copies * std::max<std::size_t>(1, m_holders.size()));
    return std::clamp(static_cast<std::size_t>(share), m_options.minWindow, m_options.maxWindow);
}

} // namespace balsamspring

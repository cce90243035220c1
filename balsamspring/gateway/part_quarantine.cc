#include "balsamspring/gateway/part_quarantine.h"

#include <algorithm>
#include <utility>

namespace balsamspring {

part_quarantine::part_quarantine(const part_quarantine_options& options, random_engine& random)
    : m_options(options)
    , m_random(random)
{
}

part_quarantine::suspect_part* part_quarantine::find(fingerprint part)
{
    const auto found = m_suspects.find(part);
    return found == m_suspects.end() ? nullptr : &found->second;
}

part_quarantine::suspect_part* part_quarantine::findOrAdd(fingerprint part)
{
    if (suspect_part* known = find(part))
        return known;
    return m_suspects.size() < m_options.capacity ? &m_suspects[part] : nullptr;
}

void part_quarantine::crashed(fingerprint crash, const std::vector<fingerprint>& parts, mono_time sentAt, mono_time now)
{
    for (const fingerprint part : parts) {
        // Another request with the part began after this one was sent.
        if (const auto proof = m_proofs.find(part); proof != m_proofs.end() && proof->second >= sentAt)
            continue;
        suspect_part* suspect = findOrAdd(part);
        if (!suspect || suspect->crashes.size() >= m_options.crashesPerPart
            || !suspect->crashes.try_emplace(crash, crash_evidence { std::nullopt, now }).second)
            continue;
        suspect->changedAt = now;
        countCrashes(*suspect);
        m_records.push_back({ .part = part, .event = part_event::Crash, .crash = crash });
    }
}

void part_quarantine::proven(const std::vector<fingerprint>& parts, mono_time begunAt, mono_time now)
{
    for (const fingerprint part : parts) {
        if (const auto known = m_proofs.find(part); known != m_proofs.end())
            known->second = std::max(known->second, begunAt);
        else if (m_proofs.size() < m_options.capacity)
            m_proofs.emplace(part, begunAt);
        if (suspect_part* suspect = find(part))
            disprove(*suspect, begunAt, now);
    }
}

void part_quarantine::disprove(suspect_part& suspect, mono_time begunAt, mono_time now)
{
    // Other VMs count a single crash on without any harm, so only more are worth a record.
    const bool publish = suspect.blocked || suspect.counted > 1;
    std::optional<std::uint64_t> upTo;
    bool changed = false;
    for (auto entry = suspect.crashes.begin(); entry != suspect.crashes.end();) {
        crash_evidence& evidence = entry->second;
        // An answer that began before a crash proves nothing about a part that has become harmful since.
        if (evidence.heardAt >= begunAt) {
            ++entry;
            continue;
        }
        changed = changed || !evidence.disproved;
        evidence.disproved = true;
        if (evidence.offset)
            upTo = std::max(upTo.value_or(0), *evidence.offset);
        entry = evidence.offset ? suspect.crashes.erase(entry) : std::next(entry);
    }
    if (suspect.blocked && suspect.blockedAt < begunAt) {
        if (suspect.blockOffset)
            upTo = std::max(upTo.value_or(0), *suspect.blockOffset);
        unblock(suspect);
        changed = true;
    }
    if (!changed)
        return;
    suspect.changedAt = now;
    countCrashes(suspect);
    if (!publish || !upTo || (suspect.voidUpTo && *upTo <= *suspect.voidUpTo))
        return;
    if (!suspect.disprovedUpTo)
        suspect.publishClearAt = spread(m_options.clearSpread, now);
    suspect.disprovedUpTo = std::max(*upTo, suspect.disprovedUpTo.value_or(0));
}

mono_time part_quarantine::spread(duration over, mono_time now)
{
    return now + fromSeconds(toSeconds(over) * uniform(m_random));
}

void part_quarantine::unblock(suspect_part& suspect)
{
    suspect.blocked = false;
    suspect.publishBlockAt.reset();
    suspect.probes = 0;
}

void part_quarantine::countCrashes(suspect_part& suspect) const
{
    std::vector<mono_time> times;
    for (const auto& [crash, evidence] : suspect.crashes) {
        if (!evidence.disproved)
            times.push_back(evidence.heardAt);
    }
    std::sort(times.begin(), times.end());
    suspect.counted = 0;
    for (const mono_time time : times) {
        if (suspect.counted > 0 && time - suspect.countedAt < m_options.mergeWindow)
            continue;
        suspect.countedAt = time;
        suspect.counted += 1;
        if (suspect.counted == m_options.crashesToBlock)
            return;
    }
}

void part_quarantine::block(suspect_part& suspect, mono_time now) const
{
    if (suspect.blocked)
        return;
    suspect.blocked = true;
    suspect.blockedAt = now;
    suspect.probeDue = now + probeInterval(suspect.probes);
}

duration part_quarantine::probeInterval(unsigned probes) const
{
    duration interval = m_options.firstProbe;
    for (unsigned i = 0; i < probes && interval < m_options.expiry; ++i)
        interval *= m_options.probeBackoff;
    return std::min(interval, m_options.expiry);
}

bool part_quarantine::recentlyProven(fingerprint part, mono_time now) const
{
    const auto proof = m_proofs.find(part);
    return proof != m_proofs.end() && now - proof->second < m_options.proofMemory;
}

bool part_quarantine::isBlocked(fingerprint part, const suspect_part& suspect, mono_time now) const
{
    if (suspect.blocked)
        return true;
    return suspect.counted >= m_options.crashesToBlock
        && (now - suspect.countedAt >= m_options.confirmation || !recentlyProven(part, now));
}

part_verdict part_quarantine::judge(const std::vector<fingerprint>& parts, mono_time now) const
{
    part_verdict verdict;
    unsigned blockedParts = 0;
    for (const fingerprint part : parts) {
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end() || !isBlocked(part, found->second, now))
            continue;
        blockedParts += 1;
        verdict.decision = part_verdict::admission::Refused;
        verdict.part = part;
        const suspect_part& suspect = found->second;
        const mono_time due = suspect.blocked ? suspect.probeDue : suspect.countedAt + probeInterval(0);
        verdict.nextProbe = std::max(verdict.nextProbe, due - now);
    }
    // A probe with two blocked parts would not tell which of them is harmful.
    if (blockedParts == 1 && verdict.nextProbe <= duration::zero() && m_suspects.at(verdict.part).blocked)
        verdict.decision = part_verdict::admission::Probe;
    return verdict;
}

part_record part_quarantine::probeClaim(fingerprint part) const
{
    const auto found = m_suspects.find(part);
    const unsigned probes = found == m_suspects.end() ? 0 : found->second.probes;
    return { .part = part, .event = part_event::Probed, .round = probes + 1 };
}

void part_quarantine::probeClaimed(fingerprint part, bool claimed, mono_time now)
{
    suspect_part* suspect = find(part);
    if (!suspect)
        return;
    if (claimed)
        suspect->probes += 1;
    // After a claim that failed, another VM probes, or this one has not read the newest records.
    suspect->probeDue = now + probeInterval(claimed ? suspect->probes : 0);
}

void part_quarantine::apply(const part_record& record, std::uint64_t offset, mono_time now)
{
    m_newestOffset = std::max(m_newestOffset, offset);
    suspect_part* suspect = findOrAdd(record.part);
    if (!suspect || (suspect->voidUpTo && offset <= *suspect->voidUpTo))
        return;
    suspect->changedAt = now;
    switch (record.event) {
    case part_event::Crash: {
        const auto known = suspect->crashes.find(record.crash);
        if (known == suspect->crashes.end()) {
            if (suspect->crashes.size() < m_options.crashesPerPart)
                suspect->crashes.emplace(record.crash, crash_evidence { offset, now });
        } else if (known->second.disproved) {
            suspect->crashes.erase(known);
        } else {
            known->second.offset = offset;
        }
        return countCrashes(*suspect);
    }
    case part_event::Blocked:
        if (suspect->voidUpTo && record.basis <= *suspect->voidUpTo)
            return;
        suspect->blockOffset = offset;
        suspect->publishBlockAt.reset();
        return block(*suspect, now);
    case part_event::Probed:
        if (record.round > suspect->probes) {
            suspect->probes = record.round;
            suspect->probeOffset = offset;
            suspect->probeDue = now + probeInterval(record.round);
        }
        return;
    case part_event::Cleared:
        return applyCleared(*suspect, record.basis);
    }
}

void part_quarantine::applyCleared(suspect_part& suspect, std::uint64_t voidUpTo) const
{
    if (suspect.voidUpTo && voidUpTo <= *suspect.voidUpTo)
        return;
    suspect.voidUpTo = voidUpTo;
    if (suspect.disprovedUpTo && *suspect.disprovedUpTo <= voidUpTo)
        suspect.disprovedUpTo.reset();
    std::erase_if(suspect.crashes,
        [voidUpTo](const auto& entry) { return entry.second.offset && *entry.second.offset <= voidUpTo; });
    countCrashes(suspect);
    const unsigned probes = suspect.probes;
    if (!suspect.blockOffset || *suspect.blockOffset <= voidUpTo)
        unblock(suspect);
    if (suspect.probeOffset > voidUpTo)
        suspect.probes = probes;
}

std::uint64_t part_quarantine::oldestCounted(const suspect_part& suspect) const
{
    // This VM's own records that are not read back yet follow all others.
    std::uint64_t oldest = m_newestOffset + 1;
    for (const auto& [crash, evidence] : suspect.crashes) {
        if (!evidence.disproved && evidence.offset)
            oldest = std::min(oldest, *evidence.offset);
    }
    return oldest;
}

void part_quarantine::tick(mono_time now)
{
    std::erase_if(m_proofs, [&](const auto& entry) { return now - entry.second >= m_options.proofMemory; });
    forgetExpired(now);
    for (auto& [part, suspect] : m_suspects) {
        publishDue(part, suspect, now);
        if (suspect.blocked || suspect.counted < m_options.crashesToBlock
            || now - suspect.countedAt < m_options.confirmation)
            continue;
        block(suspect, now);
        suspect.publishBlockAt = spread(m_options.blockSpread, now);
    }
}

void part_quarantine::publishDue(fingerprint part, suspect_part& suspect, mono_time now)
{
    if (suspect.publishBlockAt && now >= *suspect.publishBlockAt) {
        suspect.publishBlockAt.reset();
        m_records.push_back({ .part = part, .event = part_event::Blocked, .basis = oldestCounted(suspect) });
    }
    if (suspect.disprovedUpTo && now >= suspect.publishClearAt) {
        m_records.push_back({ .part = part, .event = part_event::Cleared, .basis = *suspect.disprovedUpTo });
        suspect.disprovedUpTo.reset();
    }
}

void part_quarantine::forgetExpired(mono_time now)
{
    for (auto entry = m_suspects.begin(); entry != m_suspects.end();) {
        const auto& [part, suspect] = *entry;
        if (now - suspect.changedAt < m_options.expiry) {
            ++entry;
            continue;
        }
        for (const auto& [crash, evidence] : suspect.crashes)
            m_expired.push_back({ .part = part, .event = part_event::Crash, .crash = crash });
        for (const part_event event : { part_event::Blocked, part_event::Cleared, part_event::Probed })
            m_expired.push_back({ .part = part, .event = event });
        entry = m_suspects.erase(entry);
    }
}

std::vector<part_record> part_quarantine::takeRecords() { return std::exchange(m_records, {}); }

std::vector<part_record> part_quarantine::takeExpired() { return std::exchange(m_expired, {}); }

} // namespace balsamspring

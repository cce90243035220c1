#include "balsamspring/zone_spill/zone_spill.h"

#include <algorithm>
#include <cmath>

namespace balsamspring {

namespace {

// Longest wait that is computed, so that absurd figures do not overflow.
constexpr double maxWaitSeconds = 3600;

} // namespace

std::string_view toString(spill_reason reason)
{
    switch (reason) {
    case spill_reason::InTime:
        return "in_time";
    case spill_reason::NoGain:
        return "no_gain";
    case spill_reason::Unknown:
        return "unknown";
    case spill_reason::NoServer:
        return "no_server";
    case spill_reason::TargetMissed:
        return "target_missed";
    case spill_reason::ShorterWait:
        return "shorter_wait";
    }
    return "unknown";
}

std::optional<duration> expectedWait(std::span<const duration> untilFree, double callsAhead, duration call)
{
    if (untilFree.empty())
        return std::nullopt;
    const double ahead = std::clamp(callsAhead, 0.0, 1e6);
    const auto whole = static_cast<std::size_t>(ahead);
    const double rounds = std::floor(ahead / static_cast<double>(untilFree.size()));
    return untilFree[whole % untilFree.size()] + fromSeconds(rounds * toSeconds(call));
}

zone_spill::zone_spill(
    zone_spill_options options, std::function<void(const zone_id& home, const spill_verdict&)> onVerdict)
    : m_options(options)
    , m_onVerdict(std::move(onVerdict))
{
}

duration zone_spill::transfer(std::uint64_t bytes) const
{
    return m_options.roundTrip
        + fromSeconds(std::min(maxWaitSeconds, static_cast<double>(bytes) / m_options.bytesPerSecond));
}

duration zone_spill::crossingCost(std::uint64_t bytes) const
{
    const double price = toSeconds(m_options.pricePerMegabyte) * static_cast<double>(bytes) / 1e6;
    return transfer(bytes) + fromSeconds(std::min(maxWaitSeconds, price));
}

spill_reason zone_spill::compare(const spill_work& work, std::optional<duration> waitAtHome, duration waitAbroad) const
{
    if (!waitAtHome)
        return spill_reason::NoServer;
    if (!m_options.enabled)
        return spill_reason::InTime;
    const duration abroad = waitAbroad + transfer(work.bytes);
    if (abroad + m_options.minGain >= *waitAtHome)
        return spill_reason::NoGain;
    if (*waitAtHome > work.untilDeadline - work.service && abroad <= work.untilDeadline - work.service)
        return spill_reason::TargetMissed;
    const bool inTimeAbroad = abroad + work.service <= work.untilTarget;
    if (inTimeAbroad && *waitAtHome + work.service > work.untilTarget)
        return spill_reason::TargetMissed;
    const duration cost = waitAbroad + crossingCost(work.bytes) + m_options.minGain;
    if (!inTimeAbroad && toSeconds(cost) > m_options.fullShare * toSeconds(*waitAtHome))
        return spill_reason::NoGain;
    if (cost < *waitAtHome)
        return spill_reason::ShorterWait;
    return spill_reason::InTime;
}

bool zone_spill::update(const zone_id& zone, const zone_figures& figures, mono_time at)
{
    for (const double value : { figures.capacity, figures.waiting, figures.deciders }) {
        if (!std::isfinite(value) || value < 0)
            return false;
    }
    zone_state& state = m_zones[zone];
    if (at < state.at)
        return false;
    state.figures = figures;
    state.figures.deciders = std::max(1.0, figures.deciders);
    state.at = at;
    state.placed = 0;
    return true;
}

void zone_spill::forget(const zone_id& zone) { m_zones.erase(zone); }

spill_verdict zone_spill::place(const spill_work& work, mono_time now)
{
    spill_verdict verdict = decide(work, now);
    if (const auto zone = m_zones.find(verdict.zone); zone != m_zones.end())
        zone->second.placed += work.amount;
    if (verdict.reason == spill_reason::TargetMissed || verdict.reason == spill_reason::ShorterWait)
        m_zones.at(work.home).sentAt = now;
    if (m_onVerdict)
        m_onVerdict(work.home, verdict);
    return verdict;
}

bool zone_spill::fresh(const zone_state& zone, mono_time now) const
{
    return now - zone.at <= m_options.maxAge && zone.at - now <= m_options.maxAge;
}

duration zone_spill::waitIn(const zone_state& zone, mono_time now)
{
    const zone_figures& figures = zone.figures;
    const double done = figures.capacity * std::max(0.0, toSeconds(now - zone.at));
    const double left = std::max(0.0, figures.waiting + zone.placed * figures.deciders - done);
    return fromSeconds(std::min(maxWaitSeconds, left / figures.capacity));
}

spill_verdict zone_spill::decide(const spill_work& work, mono_time now) const
{
    const auto home = m_zones.find(work.home);
    if (home == m_zones.end())
        return { work.home, spill_reason::Unknown };
    const bool hasServers = home->second.figures.capacity > 0;
    if (hasServers && !fresh(home->second, now))
        return { work.home, spill_reason::Unknown };
    const zone_id* best = nullptr;
    duration shortest {};
    for (const auto& [zone, state] : m_zones) {
        if (zone == work.home || !state.figures.destination || state.figures.capacity <= 0)
            continue;
        // A zone without servers sends its work even by old figures.
        if (hasServers && (!fresh(state, now) || (state.sentAt && now - *state.sentAt < m_options.senderTime)))
            continue;
        const duration wait = waitIn(state, now);
        if (!best || wait < shortest) {
            best = &zone;
            shortest = wait;
        }
    }
    if (!best)
        return { work.home, hasServers ? spill_reason::NoGain : spill_reason::Unknown };
    const auto waitAtHome = hasServers ? std::optional(waitIn(home->second, now)) : std::nullopt;
    const spill_reason reason = compare(work, waitAtHome, shortest);
    return { leaves(reason) ? *best : work.home, reason };
}

} // namespace balsamspring

#include "balsamspring/routing/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace balsamspring {

namespace {

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

// With fewer servers, a comparison cannot tell which one is the outlier.
constexpr std::size_t minComparedServers = 3;

} // namespace

double server_health::share() const
{
    if (m_state == health_state::Live)
        return 1;
    return m_state == health_state::Returning ? m_share : 0;
}

server_health::slowness server_health::measure(const outlier_options& options, std::span<const double> overdue,
    std::span<const double> medians, mono_time now) const
{
    std::vector<double> ratios(overdue.begin(), overdue.end());
    ratios.resize(std::min(ratios.size(), sampleCount));
    const auto stored = std::min(m_count, sampleCount);
    for (std::size_t i = 0; i < stored && ratios.size() < sampleCount; ++i) {
        const auto& item = m_samples[(m_count - 1 - i) % sampleCount];
        if (now - item.recordedAt > options.sampleAge)
            continue;
        // Rescales all samples to the current median. When the median changes, ratios taken at the time of the reply
        // are not comparable between servers, and a server with older replies would appear slow.
        const auto& latency = item.latency;
        const double currentMedian = latency.median > 0 ? medians[latency.baseline] : 0;
        ratios.push_back(currentMedian > 0 ? latency.ratio * latency.median / currentMedian : latency.ratio);
    }
    if (ratios.size() < options.minSamples)
        return {};
    const double newest = ratios.front();
    return { medianOf(std::move(ratios)), newest };
}

void server_health::add(const relative_latency& latency, mono_time now)
{
    m_samples[m_count % sampleCount] = { latency, now };
    ++m_count;
}

outlier_detector::outlier_detector(const outlier_options& options, random_engine& random)
    : m_options(options)
    , m_random(random)
{
}

void outlier_detector::replied(server_health& server, const relative_latency& latency, mono_time now)
{
    server.m_failures = 0;
    server.add(latency, now);
    if (server.m_state == health_state::Down) {
        server.m_state = health_state::Returning;
        server.m_share = m_options.initialShare;
    }
    if (server.m_state != health_state::Returning)
        return;
    if (latency.ratio > m_options.ratio) {
        markSlowWhileReturning(server);
        return;
    }
    server.m_share *= 2;
    if (server.m_share < 1)
        return;
    server.m_state = health_state::Live;
    server.m_ejections = 0;
    server.m_count = 0;
}

void outlier_detector::cancelled(server_health& server, const relative_latency& latency, mono_time now)
{
    // A call cancelled early gives no information about the server's latency.
    if (latency.ratio <= m_options.ratio)
        return;
    server.add(latency, now);
    if (server.m_state == health_state::Returning)
        markSlowWhileReturning(server);
}

void outlier_detector::markSlowWhileReturning(server_health& server) const
{
    server.m_share = m_options.initialShare;
    server.m_slowWhileReturning = true;
}

void outlier_detector::failed(server_health& server, mono_time now)
{
    server.add({ .ratio = m_options.failureRatio }, now);
    ++server.m_failures;
    const bool probing = server.m_state == health_state::Returning && server.m_share <= m_options.initialShare;
    if (m_options.enabled && (probing || server.m_failures >= m_options.failuresToDown))
        markDown(server, now);
}

std::size_t outlier_detector::evaluate(
    std::span<const evaluated_server> servers, std::span<const double> medians, mono_time now)
{
    updateTimers(servers, now);
    if (!m_options.enabled)
        return 0;
    std::size_t ejected = 0;
    for (const auto& item : servers) {
        if (!item.health->m_slowWhileReturning || !canEject(servers))
            continue;
        eject(*item.health, now);
        ++ejected;
    }
    std::vector<double> scores;
    std::vector<std::pair<double, server_health*>> liveServers;
    for (const auto& item : servers) {
        const auto slowness = item.health->measure(m_options, item.overdue, medians, now);
        if (slowness.median == 0 || item.health->m_state == health_state::Ejected)
            continue;
        // The newest reply reflects a slowdown of the whole pool earlier than the median of a server's samples.
        scores.push_back(std::max(slowness.median, slowness.newest));
        if (item.health->m_state == health_state::Live)
            liveServers.emplace_back(slowness.median, item.health);
    }
    if (scores.size() < minComparedServers)
        return ejected;
    // The median over the servers rises with a slowdown of the whole pool, so such a slowdown ejects no server.
    const double middle = medianOf(scores);
    for (auto& score : scores)
        score = std::abs(score - middle);
    const double spread = medianOf(scores);
    const double threshold
        = std::max(m_options.ratio * std::max(1.0, middle), middle + m_options.spreadFactor * spread);
    std::sort(liveServers.begin(), liveServers.end(), std::greater<>());
    for (const auto& [score, health] : liveServers) {
        if (score <= threshold || !reserveEjection(servers, now))
            break;
        eject(*health, now);
        ++m_stepCount;
        ++ejected;
    }
    return ejected;
}

bool outlier_detector::canEject(std::span<const evaluated_server> servers) const
{
    const auto ejected = std::count_if(servers.begin(), servers.end(),
        [](const evaluated_server& item) { return item.health->m_state == health_state::Ejected; });
    return static_cast<double>(ejected + 1) <= static_cast<double>(servers.size()) * m_options.maxEjectedShare;
}

bool outlier_detector::reserveEjection(std::span<const evaluated_server> servers, mono_time now)
{
    if (now - m_stepStart >= m_options.stepInterval) {
        m_stepStart = now;
        m_stepCount = 0;
    }
    if (static_cast<double>(m_stepCount) >= std::ceil(static_cast<double>(servers.size()) * m_options.stepShare))
        return false;
    if (canEject(servers))
        return true;
    server_health* oldest = nullptr;
    for (const auto& item : servers) {
        const bool ejected = item.health->m_state == health_state::Ejected;
        if (ejected && (!oldest || item.health->m_stateChangedAt < oldest->m_stateChangedAt))
            oldest = item.health;
    }
    // Different servers may be slow by now, so the server that was ejected longest ago is probed early, which allows
    // another ejection.
    if (!oldest || now - oldest->m_stateChangedAt < m_options.stepInterval / 2)
        return false;
    oldest->m_backoffUntil = now;
    updateTimers(servers, now);
    return true;
}

void outlier_detector::updateTimers(std::span<const evaluated_server> servers, mono_time now)
{
    for (const auto& item : servers) {
        auto& server = *item.health;
        const bool waiting = server.m_state == health_state::Ejected || server.m_state == health_state::Down;
        if (!waiting || now < server.m_backoffUntil)
            continue;
        server.m_state = health_state::Returning;
        server.m_share = m_options.initialShare;
    }
}

void outlier_detector::eject(server_health& server, mono_time now)
{
    server.m_state = health_state::Ejected;
    server.m_slowWhileReturning = false;
    server.m_stateChangedAt = now;
    server.m_backoffUntil = now + backoff(m_options.baseEjection, m_options.maxEjection, server.m_ejections++);
    server.m_count = 0;
}

void outlier_detector::markDown(server_health& server, mono_time now)
{
    if (server.m_state == health_state::Down)
        return;
    server.m_state = health_state::Down;
    server.m_slowWhileReturning = false;
    server.m_stateChangedAt = now;
    server.m_backoffUntil = now + backoff(m_options.baseDown, m_options.maxDown, server.m_ejections++);
    server.m_count = 0;
}

duration outlier_detector::backoff(duration base, duration limit, std::uint32_t exponent)
{
    const double maxDelay = std::min(toSeconds(limit), toSeconds(base) * std::exp2(std::min(exponent, 20U)));
    // Jitter prevents the VMs from probing a server at the same time.
    return fromSeconds(maxDelay * (0.5 + 0.5 * uniform(m_random)));
}

} // namespace balsamspring

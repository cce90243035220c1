#include "bench/pool_model.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace balsamspring::bench {

namespace {

constexpr duration refusalTime = std::chrono::milliseconds(1);

} // namespace

void event_queue::at(mono_time when, std::function<void()> action)
{
    m_events.push({ std::max(when, m_now), ++m_lastNumber, std::move(action) });
}

void event_queue::runUntil(mono_time end)
{
    while (!m_events.empty() && m_events.top().when <= end) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.action();
    }
    m_now = end;
}

pool_model::pool_model(pool_model_options options, event_queue& events, random_engine& random)
    : m_options(std::move(options))
    , m_events(events)
    , m_random(random)
    , m_servers(m_options.servers)
{
}

void pool_model::call(const model_call& call, reply_handler done)
{
    if (call.server >= m_servers.size()) {
        ++m_lostCalls;
        refuse(std::move(done));
        return;
    }
    auto& target = m_servers[call.server];
    ++target.counters.calls;
    if (target.failed) {
        refuse(std::move(done));
        return;
    }
    m_jobs[call.attempt] = { call, std::move(done), false, false };
    target.queue.push_back(call.attempt);
    ++target.queued;
    startNext(target);
}

void pool_model::cancel(attempt_id attempt)
{
    const auto place = m_jobs.find(attempt);
    if (place == m_jobs.end())
        return;
    auto& target = m_servers[place->second.call.server];
    --(place->second.running ? target.running : target.queued);
    m_jobs.erase(place);
    startNext(target);
}

void pool_model::setFailed(std::size_t server, bool failed)
{
    auto& target = m_servers[server];
    target.failed = failed;
    if (!failed)
        return;
    std::vector<attempt_id> lost;
    for (const auto& [attempt, job] : m_jobs) {
        if (job.call.server == server)
            lost.push_back(attempt);
    }
    std::sort(lost.begin(), lost.end(), [](attempt_id a, attempt_id b) { return a.value() < b.value(); });
    for (const auto attempt : lost) {
        refuse(std::move(m_jobs[attempt].done));
        m_jobs.erase(attempt);
    }
    target.queue.clear();
    target.running = 0;
    target.queued = 0;
}

void pool_model::startNext(server& target)
{
    while (target.running < m_options.slots && !target.queue.empty()) {
        const auto attempt = target.queue.front();
        target.queue.pop_front();
        const auto place = m_jobs.find(attempt);
        if (place == m_jobs.end())
            continue; // cancelled
        auto& next = place->second;
        next.running = true;
        --target.queued;
        ++target.running;
        double seconds = drawService(next.call.length) * target.slowdown;
        if (m_options.cachedPrefixes > 0) {
            next.cacheHit = lookUpPrefix(target, next.call.prefix);
            seconds *= next.cacheHit ? 1 : m_options.missFactor;
        }
        m_events.after(fromSeconds(seconds), [this, attempt] { finish(attempt); });
    }
}

void pool_model::finish(attempt_id attempt)
{
    const auto place = m_jobs.find(attempt);
    if (place == m_jobs.end())
        return;
    const auto ended = std::move(place->second);
    m_jobs.erase(place);
    auto& target = m_servers[ended.call.server];
    --target.running;
    ++target.counters.served;
    target.counters.hits += ended.cacheHit ? 1 : 0;
    const server_info serverInfo { 1, reportedLoad(target), target.leaving };
    startNext(target);
    ended.done({ model_outcome::Succeeded, serverInfo, ended.cacheHit });
}

void pool_model::refuse(reply_handler done)
{
    m_events.after(refusalTime, [done = std::move(done)] { done({ model_outcome::Unreachable, {}, false }); });
}

bool pool_model::lookUpPrefix(server& target, std::uint64_t prefix)
{
    auto& recent = target.recentPrefixes;
    const auto place = target.cache.find(prefix);
    const bool hit = place != target.cache.end();
    if (hit)
        recent.erase(place->second);
    recent.push_front(prefix);
    target.cache[prefix] = recent.begin();
    if (recent.size() > m_options.cachedPrefixes) {
        target.cache.erase(recent.back());
        recent.pop_back();
    }
    return hit;
}

server_load pool_model::reportedLoad(server& target)
{
    const server_load current { static_cast<std::uint32_t>(target.running), static_cast<std::uint32_t>(target.queued) };
    auto& history = target.history;
    history.push_back({ m_events.now(), current });
    // Keeps one sample that is older than the report age: the report.
    while (history.size() > 1 && m_events.now() - history[1].at >= m_options.reportAge)
        history.pop_front();
    return m_events.now() - history.front().at >= m_options.reportAge ? history.front().load : server_load {};
}

double pool_model::drawService(std::size_t length)
{
    const double mean = m_options.meanService.at(length);
    std::lognormal_distribution<double> service(
        std::log(mean) - m_options.sigma * m_options.sigma / 2, m_options.sigma);
    return service(m_random);
}

} // namespace balsamspring::bench

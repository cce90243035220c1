#include "balsamspring/fleet/fleet_collector.h"

#include <algorithm>
#include <cmath>

namespace balsamspring {

fleet_collector::fleet_collector(fleet_collector_options options, std::uint64_t id)
    : m_options(options)
    , m_id(id)
    , m_limits(options.limits)
{
}

result<fleet_summary> fleet_collector::report(const vm_report& report, mono_time now)
{
    if (auto valid = check(report); !valid)
        return tl::make_unexpected(valid.error());
    expire(now);
    const auto found = m_vms.find(report.vm);
    if (found == m_vms.end() && m_vms.size() >= m_options.maxVms)
        return makeError(error_code::QuotaExceeded, "too many VMs");
    known_vm& vm = m_vms[report.vm];
    const bool sameProcess = vm.startedAt == report.startedAt;
    if (report.startedAt < vm.startedAt || (sameProcess && report.sequence <= vm.sequence))
        return makeError(error_code::Expired, "delayed or repeated report");

    // The counters of a process that was silent, or that followed another collector, have no known base here.
    const bool credits = vm.counted && sameProcess && vm.knowsCollector && report.collector == m_id;
    if (vm.counted)
        uncount(report.vm, vm);
    m_byAge.erase({ vm.heardAt, report.vm });
    if (!sameProcess) {
        vm.pools.clear();
        vm.permits.clear();
        vm.drawsSince.reset();
    }
    count(report, vm, credits, now);
    return summarize(report, vm, now);
}

unsigned fleet_collector::vms(mono_time now)
{
    expire(now);
    return m_counted;
}

result<void> fleet_collector::check(const vm_report& report) const
{
    if (report.vm.value().empty() || report.startedAt == 0 || report.sequence == 0)
        return makeError(error_code::InvalidArgument, "report without VM, start time or sequence number");
    if (report.calls.size() > m_options.maxServers || report.pools.size() > m_options.maxPools
        || report.limits.size() > m_options.limits.maxServers)
        return makeError(error_code::InvalidArgument, "too many servers or pools");
    if (std::any_of(report.calls.begin(), report.calls.end(),
            [this](const server_calls& item) { return item.calls > m_options.maxCalls; }))
        return makeError(error_code::InvalidArgument, "too many calls");
    if (!std::all_of(report.limits.begin(), report.limits.end(), [this](const limit_report& item) {
            const bool sound = !item.rate || (item.rate->perSecond >= 0 && std::isfinite(item.rate->perSecond));
            return sound && item.age >= duration::zero() && item.wanted <= m_options.maxPermitsWanted;
        }))
        return makeError(error_code::InvalidArgument, "absurd limit");
    std::set<pool_id> pools;
    for (const pool_report& pool : report.pools) {
        if (!pools.insert(pool.pool).second)
            return makeError(error_code::InvalidArgument, "repeated pool");
        // One that the views would reject must not reach them: they would reject the whole summary.
        if (pool.wait && (*pool.wait < duration::zero() || *pool.wait > m_options.maxWait))
            return makeError(error_code::InvalidArgument, "negative or absurd wait");
    }
    return {};
}

void fleet_collector::expire(mono_time now)
{
    for (auto oldest = m_byAge.begin(); oldest != m_byAge.end() && oldest->first + m_options.vmLifetime < now;) {
        const auto found = m_vms.find(oldest->second);
        if (found->second.counted)
            uncount(found->first, found->second);
        found->second.drawsSince.reset();
        if (oldest->first + m_options.vmMemory >= now) {
            ++oldest;
            continue;
        }
        m_vms.erase(found);
        oldest = m_byAge.erase(oldest);
    }
    m_limits.expire(now);
    for (auto& [id, pool] : m_pools) {
        while (!pool.ceded.empty() && pool.ceded.front().first + m_options.cededLifetime < now) {
            pool.available -= pool.ceded.front().second;
            pool.ceded.pop_front();
        }
    }
}

void fleet_collector::uncount(const vm_id& id, known_vm& vm)
{
    vm.counted = false;
    m_counted -= 1;
    for (const server_calls& item : vm.calls) {
        const auto found = m_calls.find(item.server);
        found->second -= item.calls;
        if (found->second == 0)
            m_calls.erase(found);
    }
    vm.calls.clear();
    for (auto& [poolId, pool] : vm.pools) {
        pool_totals& totals = m_pools[poolId];
        totals.wanted -= pool.wanted;
        pool.wanted = 0;
        totals.waits.erase(id);
        if (totals.wanted == 0 && totals.ceded.empty() && totals.waits.empty())
            m_pools.erase(poolId);
    }
}

void fleet_collector::count(const vm_report& report, known_vm& vm, bool credits, mono_time now)
{
    vm.startedAt = report.startedAt;
    vm.sequence = report.sequence;
    vm.knowsCollector = report.collector == m_id;
    vm.counted = true;
    vm.heardAt = now;
    m_byAge.insert({ now, report.vm });
    m_counted += 1;
    vm.knownVms = std::min<unsigned>(report.knownVms, static_cast<unsigned>(m_options.maxVms));
    if (!vm.knowsCollector || report.drawsOwnShare)
        vm.drawsSince.reset();
    else if (!vm.drawsSince)
        vm.drawsSince = now;
    vm.limits = report.limits;
    for (const limit_report& item : report.limits)
        m_limits.reported(item, now);
    for (const server_calls& item : report.calls) {
        if (item.calls == 0 || (m_calls.size() >= m_options.maxServers && !m_calls.contains(item.server)))
            continue;
        vm.calls.push_back(item);
        m_calls[item.server] += item.calls;
    }
    for (const pool_report& pool : report.pools) {
        if (m_pools.size() >= m_options.maxPools && !m_pools.contains(pool.pool))
            continue;
        const auto [known, added] = vm.pools.try_emplace(pool.pool);
        if (added && vm.pools.size() > m_options.maxPools) {
            vm.pools.erase(known);
            continue;
        }
        pool_totals& totals = m_pools[pool.pool];
        const bool plausible
            = pool.ceded > known->second.ceded && pool.ceded - known->second.ceded <= m_options.maxTransfer;
        // A pool that appears later has ceded nothing before, since its counter starts at 0 with the collector.
        if (credits && plausible) {
            const std::uint64_t amount = pool.ceded - known->second.ceded;
            totals.ceded.emplace_back(now, amount);
            totals.available += amount;
        }
        known->second.ceded = pool.ceded;
        known->second.wanted = std::min(pool.wanted, m_options.maxTransfer);
        totals.wanted += known->second.wanted;
        if (pool.wait)
            totals.waits[report.vm] = { now, *pool.wait };
    }
}

std::uint64_t fleet_collector::grant(pool_totals& totals, std::uint64_t wanted) const
{
    const std::uint64_t granted = std::min({ wanted, totals.available, m_options.maxTransfer });
    std::uint64_t rest = granted;
    totals.available -= granted;
    while (rest > 0) {
        auto& oldest = totals.ceded.front();
        const std::uint64_t taken = std::min(rest, oldest.second);
        oldest.second -= taken;
        rest -= taken;
        if (oldest.second == 0)
            totals.ceded.pop_front();
    }
    return granted;
}

fleet_summary fleet_collector::summarize(const vm_report& report, known_vm& vm, mono_time now)
{
    fleet_summary summary;
    summary.collector = m_id;
    summary.startedAt = report.startedAt;
    summary.sequence = report.sequence;
    summary.vms = m_counted;
    summary.interval
        = std::clamp(fromSeconds(m_counted / m_options.reportsPerSecond), m_options.minInterval, m_options.maxInterval);
    std::map<server_key, std::uint64_t> own;
    for (const server_calls& item : vm.calls)
        own[item.server] += item.calls;
    for (const auto& [server, calls] : m_calls) {
        const auto found = own.find(server);
        const std::uint64_t others = calls - (found == own.end() ? 0 : found->second);
        if (others > 0)
            summary.otherCalls.push_back({ server, static_cast<std::uint32_t>(others) });
    }
    for (auto& [id, totals] : m_pools) {
        pool_summary item;
        item.pool = id;
        if (const auto found = vm.pools.find(id); found != vm.pools.end()) {
            // A VM that does not follow this collector yet would not use the grant.
            if (vm.knowsCollector && found->second.wanted > 0) {
                const std::uint64_t granted = grant(totals, found->second.wanted);
                found->second.granted += granted;
                found->second.wanted -= granted;
                totals.wanted -= granted;
            }
            item.granted = found->second.granted;
            item.wanted = totals.wanted - found->second.wanted;
        } else {
            item.wanted = totals.wanted;
        }
        item.wanted -= std::min(item.wanted, totals.available);
        // Several VMs gather for a pool while its owner changes. The longest wait is the safe one.
        for (const auto& [vmId, wait] : totals.waits) {
            if (!item.wait || wait.second > *item.wait) {
                item.wait = wait.second;
                item.waitAge = now - wait.first;
            }
        }
        if (item.granted > 0 || item.wanted > 0 || item.wait)
            summary.pools.push_back(std::move(item));
    }
    summarizeLimits(summary, vm, now);
    return summary;
}

void fleet_collector::summarizeLimits(fleet_summary& summary, known_vm& vm, mono_time now)
{
    if (m_limits.empty())
        return;
    if (vm.drawsSince && now - *vm.drawsSince >= m_options.limitWarmUp) {
        const double share = drawingShare(now);
        for (const limit_report& item : vm.limits) {
            if (const unsigned granted = m_limits.grant(item.server, item.wanted, share, now))
                vm.permits[item.server] += granted;
        }
    }
    vm.limits.clear();
    m_limits.forEach(now, [&](server_process server, const std::optional<request_rate>& rate, duration age) {
        const auto found = vm.permits.find(server);
        summary.limits.push_back({ server, rate, age, found == vm.permits.end() ? 0 : found->second });
    });
}

double fleet_collector::drawingShare(mono_time now)
{
    constexpr duration maxAge = std::chrono::milliseconds(100);
    if (m_drawingShareAt && now - *m_drawingShareAt < maxAge)
        return m_drawingShare;
    unsigned drawing = 0;
    unsigned all = m_counted;
    for (const auto& [id, vm] : m_vms) {
        if (!vm.counted)
            continue;
        all = std::max(all, vm.knownVms);
        drawing += vm.drawsSince && now - *vm.drawsSince >= m_options.limitWarmUp ? 1 : 0;
    }
    m_drawingShareAt = now;
    return m_drawingShare = static_cast<double>(drawing) / std::max(1U, all);
}

} // namespace balsamspring

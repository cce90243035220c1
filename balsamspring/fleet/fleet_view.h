// What one VM knows of all others, from the last summary of the collector. Old figures are not used, and nothing is
// known without an answer.
//
// Load pattern: many VMs read the same figure, which is some hundred milliseconds old, and would all choose the server
// that had few calls then. The figure of a server approaches the mean of its pool with its age.
//
//     view.sent(report.sequence, now);
//     if (view.apply(summary, now)) ...
//     const double calls = view.otherCalls(server, now);
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/fleet/fleet_types.h"

#include <functional>
#include <map>
#include <span>
#include <string_view>
#include <unordered_map>

namespace balsamspring {

struct fleet_view_options {
    // Figures that are older are not used.
    duration maxAge = std::chrono::seconds(2);
    // Age at which half of a server's difference from the mean is left: the time between two reports.
    duration halfLife = std::chrono::milliseconds(300);
    // Figures of a summary above these are absurd.
    unsigned maxVms = 1600;
    std::uint32_t maxCalls = 1'000'000; // at one server
    duration maxWait = std::chrono::minutes(10);
    std::uint64_t maxGrant = 50'000; // in one summary, in thousandths of a retry
    std::size_t maxLimits = 1024; // servers with limits
};

struct fleet_view_hooks {
    // Calls back with each server and its pool.
    std::function<void(const std::function<void(const backend_id&, const pool_id&)>&)> forEachServer;
    // The VM may spend this much more, in thousandths of a retry. `since` is when it asked.
    std::function<void(const pool_id&, std::uint64_t allowance, mono_time since)> onGranted;
    // Limits of servers, if set. `follows`: the counters continue those of the summary before. `askedAt` is when the
    // report was sent.
    std::function<void(std::span<const limit_summary>, bool follows, mono_time askedAt, mono_time now)> onLimits {};
};

enum class summary_outcome : std::uint8_t { Applied, Unexpected, Late, Absurd };

std::string_view toString(summary_outcome outcome);

class fleet_view {
public:
    // `startedAt` as in vm_report.
    fleet_view(fleet_view_options options, std::uint64_t startedAt, fleet_view_hooks hooks);

    // A report is about to be sent. Returns its sequence number. Answers to earlier reports are not accepted any more.
    std::uint64_t sent(mono_time now);
    summary_outcome apply(const fleet_summary& summary, mono_time now);

    // Age of the figures, none if there are none or they are too old.
    std::optional<duration> age(mono_time now) const;
    // Number of VMs, 0 if unknown.
    unsigned vms(mono_time now) const;
    // Calls of other VMs in flight, 0 if unknown.
    double otherCalls(const backend_id& server, mono_time now) const;
    // The wait that a new request would meet at the pool.
    std::optional<duration> wait(const pool_id& pool, mono_time now) const;
    // Allowance that other VMs miss, in thousandths of a retry; 0 if unknown.
    std::uint64_t wanted(const pool_id& pool, mono_time now) const;
    // As in vm_report.
    std::uint64_t collector() const { return m_collector; }
    // As in fleet_summary; none if unknown.
    std::optional<duration> interval(mono_time now) const;
    // Records that the VM cedes allowance to its collector.
    void cede(const pool_id& pool, std::uint64_t amount) { m_ceded[pool] += amount; }
    // As in pool_report.
    std::uint64_t ceded(const pool_id& pool) const;

private:
    struct server_figure {
        double calls = 0;
        double mean = 0;
    };

    bool plausible(const fleet_summary& summary) const;
    void applyGrants(const fleet_summary& summary, bool follows);
    void applyCalls(const fleet_summary& summary);

    fleet_view_options m_options;
    std::uint64_t m_startedAt;
    fleet_view_hooks m_hooks;
    std::uint64_t m_sequence = 0;
    std::optional<mono_time> m_sentAt; // of the report that has not been answered
    std::optional<mono_time> m_figuresAt; // when the report was sent whose answer was applied last
    std::uint64_t m_collector = 0;
    unsigned m_vms = 0;
    duration m_interval {};
    std::unordered_map<backend_id, server_figure> m_calls;
    std::map<pool_id, pool_summary> m_pools;
    std::map<pool_id, std::uint64_t> m_granted; // counters of the collector
    std::map<pool_id, std::uint64_t> m_ceded;
};

} // namespace balsamspring

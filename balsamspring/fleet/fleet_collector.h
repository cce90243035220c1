// Adds up the reports of all VMs, on the VM that owns the name `fleet`, and passes on the retry allowance that VMs
// cede.
//
// Load pattern: hundreds of VMs that each see a small part of the load report several times a second. Reports are lost,
// delayed or repeated, VMs restart, and several VMs may consider themselves the collector at the same time.
//
// Allowance: a VM that cedes some treats it as spent, and its counter is credited here only by its increase between two
// consecutive reports that name this collector. A first report, and one after a silence, sets the base and credits
// nothing.
//
// Limits that servers have named are divided among the VMs that draw their permits here (see limit_allocator): a VM has
// sent nothing by another collector's permits, nor by its own share, once it has followed this one for `limitWarmUp`.
//
//     if (const auto summary = collector.report(report, now)) ...
//
// Does no I/O. Not thread-safe.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/fleet/fleet_types.h"
#include "balsamspring/server_limit/limit_allocator.h"

#include <deque>
#include <map>
#include <set>
#include <utility>

namespace balsamspring {

struct fleet_collector_options {
    // A VM that was silent for this long is not counted any more: five reports, or one and a half of an idle VM.
    duration vmLifetime = std::chrono::milliseconds(1500);
    // How long the last sequence number of a silent VM is kept, to recognize delayed reports.
    duration vmMemory = std::chrono::minutes(1);
    // Shortest time between two reports of a VM. Grows so that the collector gets at most `reportsPerSecond`, which
    // cost it some hundredths of a core, up to `maxInterval`: one of two reports may be lost before a VM is dropped.
    duration minInterval = std::chrono::milliseconds(300);
    duration maxInterval = std::chrono::milliseconds(600);
    double reportsPerSecond = 650;
    // Ceded allowance that nobody has asked for is dropped after this time. Used later, it would fall into a window in
    // which it was not earned.
    duration cededLifetime = std::chrono::milliseconds(1000);
    // Largest allowance in thousandths that one report can cede, and that one summary can grant.
    std::uint64_t maxTransfer = 50'000;
    // Largest message and fleet. Four times the largest deployment; bounds the memory that absurd messages can take.
    std::size_t maxVms = 1600;
    std::size_t maxServers = 1024;
    std::size_t maxPools = 64;
    std::uint32_t maxCalls = 10'000; // of one VM at one server
    duration maxWait = std::chrono::minutes(10); // as fleet_view_options::maxWait
    // The collector before drops a VM `vmLifetime` after its last report, and may grant permits until then.
    duration limitWarmUp = std::chrono::milliseconds(1500);
    std::uint32_t maxPermitsWanted = 2000; // of one VM at one server
    limit_allocator_options limits;
};

class fleet_collector {
public:
    // `id` is drawn at random at each start, not 0.
    fleet_collector(fleet_collector_options options, std::uint64_t id);

    // Error `InvalidArgument` for an absurd report, `Expired` for a delayed or repeated one, `QuotaExceeded` if there
    // are too many VMs. Such a report changes nothing.
    result<fleet_summary> report(const vm_report& report, mono_time now);
    // Number of VMs that are counted.
    unsigned vms(mono_time now);

private:
    struct known_pool {
        std::uint64_t ceded = 0;
        std::uint64_t granted = 0;
        std::uint64_t wanted = 0;
        std::optional<duration> wait;
    };

    struct known_vm {
        std::uint64_t startedAt = 0;
        std::uint64_t sequence = 0;
        bool knowsCollector = false;
        bool counted = false;
        mono_time heardAt {};
        std::vector<server_calls> calls;
        std::map<pool_id, known_pool> pools;
        std::vector<limit_report> limits; // of its last report
        std::map<server_process, std::uint64_t> permits; // granted, counters
        unsigned knownVms = 0;
        std::optional<mono_time> drawsSince; // permits, from this collector alone
    };

    struct pool_totals {
        std::uint64_t wanted = 0;
        std::uint64_t available = 0; // sum of `ceded`
        std::deque<std::pair<mono_time, std::uint64_t>> ceded;
        std::map<vm_id, std::pair<mono_time, duration>> waits;
    };

    result<void> check(const vm_report& report) const;
    void expire(mono_time now);
    void uncount(const vm_id& id, known_vm& vm);
    void count(const vm_report& report, known_vm& vm, bool credits, mono_time now);
    std::uint64_t grant(pool_totals& totals, std::uint64_t wanted) const;
    fleet_summary summarize(const vm_report& report, known_vm& vm, mono_time now);
    void summarizeLimits(fleet_summary& summary, known_vm& vm, mono_time now);
    // Part of the fleet that draws its permits here.
    double drawingShare(mono_time now);

    fleet_collector_options m_options;
    std::uint64_t m_id;
    std::map<vm_id, known_vm> m_vms;
    std::set<std::pair<mono_time, vm_id>> m_byAge;
    unsigned m_counted = 0;
    std::map<server_key, std::uint64_t> m_calls;
    std::map<pool_id, pool_totals> m_pools;
    limit_allocator m_limits;
    // drawingShare(), which goes through all VMs and is asked for with each report.
    double m_drawingShare = 0;
    std::optional<mono_time> m_drawingShareAt;
};

} // namespace balsamspring

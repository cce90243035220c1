// Reports of VMs and the summaries that they get back. Allowances for retries are in thousandths of a retry.
#pragma once

#include "balsamspring/base/hash.h"
#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"
#include "balsamspring/server_limit/server_limit_types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace balsamspring {

// Identifies a server in the messages: 32 bits of the hash of its id. Ids of 12 bytes would triple the summaries.
using server_key = strong_id<struct server_key_tag, std::uint32_t>;

inline server_key serverKey(const backend_id& server)
{
    return server_key(static_cast<std::uint32_t>(hash64(server.value())));
}

struct server_calls {
    server_key server;
    std::uint32_t calls = 0; // in flight

    friend bool operator==(const server_calls&, const server_calls&) = default;
};

struct pool_report {
    pool_id pool;
    std::uint64_t requests = 0; // since the start of the VM
    std::uint64_t retries = 0; // since the start of the VM
    std::uint64_t ceded = 0; // since the VM has known the collector, in thousandths
    std::uint64_t wanted = 0; // allowance that is missing now, in thousandths
    std::optional<duration> wait; // of a new request, if this VM gathers for the pool
};

struct vm_report {
    vm_id vm;
    std::uint64_t startedAt = 0; // wall clock in ms, rises with each start of the VM
    std::uint64_t sequence = 0; // from 1, rises with each report of the process
    std::uint64_t collector = 0; // the collector whose summary was accepted last; 0: none
    zone_id zone;
    std::vector<server_calls> calls;
    std::vector<pool_report> pools;
    std::vector<limit_report> limits;
    unsigned knownVms = 0; // the largest number that this VM has known lately
    bool drawsOwnShare = false; // it has no figures of a collector, and uses its equal share of the limits
};

struct pool_summary {
    pool_id pool;
    std::uint64_t granted = 0; // to this VM since the collector has known it, in thousandths
    std::uint64_t wanted = 0; // allowance that other VMs still miss, in thousandths
    std::optional<duration> wait;
    duration waitAge {}; // since the report that contained the wait
};

struct fleet_summary {
    std::uint64_t collector = 0; // drawn at random at the start of the collector, not 0
    std::uint64_t startedAt = 0; // of the VM that is answered
    std::uint64_t sequence = 0; // of its report
    unsigned vms = 0; // from which the collector has heard lately, including the asking one
    duration interval {}; // shortest time between two reports
    std::vector<server_calls> otherCalls; // of the other VMs
    std::vector<pool_summary> pools;
    std::vector<limit_summary> limits;
};

} // namespace balsamspring

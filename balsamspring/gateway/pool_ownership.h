// Determines which VM gathers the pieces of all VMs for a pool. The platform's log service distributes the partitions
// of a topic evenly over the live VMs, and the hash of a pool selects its partition.
//
// VMs may disagree about the owner: if two VMs gather for the same pool, they only use its servers less efficiently.
// While the owner cannot be reached, the owner of the next partition acts as its backup, because the log service takes
// seconds to reassign the partitions of a dead VM. Many VMs may die at the same time, so the owners of the partitions
// after it substitute for both. A VM that can reach none of them calls the servers itself.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/random.h"
#include "balsamspring/gateway/record_store.h"
#include "balsamspring/net/connection.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace balsamspring {

struct ownership_options {
    std::string group = "balsamspring-gather";
    std::string topic = "balsamspring-pools";
    std::uint32_t partitions = 1;
    // A VM that does not join again within this time loses its membership.
    duration lifetime = std::chrono::milliseconds(3000);
    duration joinInterval = std::chrono::milliseconds(900);
    // A VM that does not gather joins no group. It reads the owners instead, rarely while none has failed.
    bool gathers = true;
    // May be long, since a VM that receives a request in error names the owner.
    duration refreshInterval = std::chrono::seconds(10);
    // Applies while no owner is known.
    duration minRefreshInterval = std::chrono::milliseconds(300);
    // Applies after an owner has failed. Its backup gathers in the meantime.
    duration failureRefreshInterval = std::chrono::milliseconds(1000);
    // Time for which a VM that failed receives no requests.
    duration unreachableBackoff = std::chrono::milliseconds(1000);
    // Number of VMs that may gather for one pool: the owner, its backup and their substitutes.
    std::size_t gatherersPerPool = 4;
    // Time for which a VM gathers for a pool as a backup after the last request to do so.
    duration backupDuration = std::chrono::milliseconds(1500);
};

struct ownership_hooks {
    std::function<mono_time()> now;
    std::function<void(duration, std::function<void()>)> after;
    std::function<void()> onChanged;
};

class pool_ownership {
public:
    pool_ownership(ownership_options options, endpoint self, const record_store& store, ownership_hooks hooks);

    void start();
    // Releases the partitions, so that other VMs get them immediately.
    void leave();

    bool isOwner(const pool_id& pool) const;
    // The owner, or none if it is this VM, is not known or cannot be reached.
    std::optional<endpoint> remoteOwner(const pool_id& pool, mono_time now) const;
    // The VM to send pieces to: the owner or, while it cannot be reached, the first reachable one of the VMs that
    // follow it, so that all VMs choose the same. None if it is this VM, or if none of them can be reached.
    std::optional<endpoint> remoteGatherer(const pool_id& pool, mono_time now) const;
    // Whether a request to the VM has to say that the owner cannot be reached, because the VM does not expect it.
    bool isSubstitute(const pool_id& pool, const endpoint& vm) const;
    // Reports that the VM did not answer for the pool. Requests to it for other pools are not affected.
    void reportUnreachable(const pool_id& pool, const endpoint& vm, mono_time now);
    // Reports that a request is about to be sent to the VM. If the VM has failed before, its back-off starts again, so
    // that it receives one request per back-off until it answers.
    void reportRequest(const pool_id& pool, const endpoint& vm, mono_time now);
    // Reports that the VM answered, which ends its back-off.
    void reportAnswer(const pool_id& pool, const endpoint& vm);
    // Whether this VM accepts a request of another VM to gather. True for the owner and for a backup, which then
    // gathers for `backupDuration`. A backup is the owner of the next partition, or a VM to which the request was
    // redirected: two VMs that read the owners at different times would otherwise redirect requests to each other.
    bool acceptWork(const pool_id& pool, bool redirected, mono_time now);
    // Whether this VM gathers for the pool now, as its owner or as a backup.
    bool gathersFor(const pool_id& pool, mono_time now) const;
    // Reports that the VM that received a request is no longer the owner, and which VM it named instead, if any.
    // Returns whether the request may be sent to the named VM: it is neither this VM nor the previously known owner.
    bool reportNotOwner(const pool_id& pool, const std::optional<endpoint>& owner);
    // The owner that is known to this VM. It may be this VM itself. A VM that has left names its successor, until the
    // log service has reassigned its partitions.
    std::optional<endpoint> knownOwner(const pool_id& pool) const;

private:
    void join();
    void joined(std::uint64_t generation);
    void refreshPeriodically();
    void readOwners(std::uint64_t generation);
    const endpoint* ownerOf(const pool_id& pool) const;
    const endpoint* backupOf(const pool_id& pool) const;
    // The owner and the owners of the partitions that follow, without repetitions.
    std::vector<const endpoint*> gatherersOf(const pool_id& pool) const;
    bool inBackoff(const pool_id& pool, const endpoint& vm, mono_time now) const;

    ownership_options m_options;
    endpoint m_self;
    const record_store& m_store;
    ownership_hooks m_hooks;
    std::map<std::uint32_t, endpoint> m_owners; // By partition.
    std::map<std::pair<pool_id, endpoint>, mono_time> m_unreachable; // End of the back-off.
    std::map<pool_id, mono_time> m_backupUntil;
    std::uint64_t m_generation = 0; // Generation of the last join.
    std::uint64_t m_ownersGeneration = 0; // Generation for which m_owners was read.
    mono_time m_refreshedAt {};
    bool m_refreshSoon = false;
    bool m_hasLeft = false;
};

} // namespace balsamspring

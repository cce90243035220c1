// Which VM gathers the pieces for which pool: the platform's log service deals the partitions of a topic evenly to the
// live VMs, and a pool belongs to a partition by its hash.
//
// Nothing depends on one VM believing the right thing: two VMs that both gather for a pool only share its servers less
// well. While the owner cannot be reached, the owner of the next partition stands in for it: the log service takes
// seconds to deal a dead VM's partitions anew. A VM that reaches neither calls the servers itself.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/random.h"
#include "balsamspring/gateway/record_store.h"
#include "balsamspring/net/connection.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace balsamspring {

struct ownership_options {
    std::string group = "balsamspring-gather";
    std::string topic = "balsamspring-pools";
    std::uint32_t partitions = 1;
    duration lifetime = std::chrono::milliseconds(3000); // a VM that has not joined again for this long is gone
    duration joinInterval = std::chrono::milliseconds(900);
    // A VM that does not gather joins no group: it asks who does, seldom while all is well.
    bool gathers = true;
    duration askInterval = std::chrono::seconds(10); // a VM that is asked in error names the owner
    duration minAskInterval = std::chrono::milliseconds(300); // while no owner is known
    duration failedAskInterval = std::chrono::milliseconds(1000); // after an owner has failed: another stands in
    duration reachPause = std::chrono::milliseconds(1000); // how long an owner that failed is not asked again
    // How long a VM gathers for a pool as a stand-in after the last request to do so.
    duration standInFor = std::chrono::milliseconds(1500);
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
    // Gives the partitions back, so that others get them at once.
    void leave();

    bool isOwner(const pool_id& pool) const;
    // The owner, or none: it is this VM, is not known or cannot be reached.
    std::optional<endpoint> otherOwner(const pool_id& pool, mono_time now) const;
    // The VM to send pieces to, the owner or its stand-in, or none: it is this VM, or neither can be reached.
    std::optional<endpoint> otherGatherer(const pool_id& pool, mono_time now) const;
    // This VM did not answer for the pool; what it does for others is not affected.
    void unreachable(const pool_id& pool, const endpoint& vm, mono_time now);
    // A VM that was set aside is about to be asked: until it answers, it is asked no more often than that.
    void asking(const pool_id& pool, const endpoint& vm, mono_time now);
    void answered(const pool_id& pool, const endpoint& vm);
    // Another VM asks this one to gather. True for the owner, and for a stand-in, which then does for a while: the
    // owner of the next partition, or a VM to which the request was redirected. Two VMs that have read the owners at
    // different times would otherwise name each other.
    bool takesWork(const pool_id& pool, bool redirected, mono_time now);
    // Whether this VM gathers for the pool now, as its owner or as a stand-in.
    bool gathersFor(const pool_id& pool, mono_time now) const;
    // The VM that was asked is not the owner any more. It may know who is: returns whether that is another VM to ask.
    bool outdated(const pool_id& pool, const std::optional<endpoint>& owner);
    // The owner as far as this VM knows; it may be itself.
    std::optional<endpoint> knownOwner(const pool_id& pool) const;

private:
    void join();
    void joined(std::uint64_t generation);
    void askRegularly();
    void readOwners(std::uint64_t generation);
    const endpoint* ownerOf(const pool_id& pool) const;
    const endpoint* standInOf(const pool_id& pool) const;
    bool setAside(const pool_id& pool, const endpoint& vm, mono_time now) const;

    ownership_options m_options;
    endpoint m_self;
    const record_store& m_store;
    ownership_hooks m_hooks;
    std::map<std::uint32_t, endpoint> m_owners; // by partition
    std::map<std::pair<pool_id, endpoint>, mono_time> m_unreachable; // until when the VM is not asked
    std::map<pool_id, mono_time> m_standsInUntil;
    std::uint64_t m_generation = 0; // that this VM has joined with
    std::uint64_t m_ownersGeneration = 0; // that m_owners belongs to
    mono_time m_askedAt {};
    bool m_askSoon = false;
    bool m_left = false;
};

} // namespace balsamspring

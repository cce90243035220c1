// Which VM gathers the pieces for which pool: the platform's log service deals the partitions of a topic evenly to the
// live VMs, and a pool belongs to a partition by its hash.
//
// Nothing depends on one VM believing the right thing: two VMs that both gather for a pool only share its servers less
// well, and a VM that cannot reach the owner calls the servers itself.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/random.h"
#include "balsamspring/gateway/record_store.h"
#include "balsamspring/net/connection.h"

#include <functional>
#include <map>
#include <optional>

namespace balsamspring {

struct ownership_options {
    std::string group = "balsamspring-gather";
    std::string topic = "balsamspring-pools";
    std::uint32_t partitions = 1;
    duration lifetime = std::chrono::milliseconds(3000); // a VM that has not joined again for this long is gone
    duration joinInterval = std::chrono::milliseconds(900);
    // A VM that does not gather joins no group: it asks who does, seldom while all is well.
    bool gathers = true;
    duration askInterval = std::chrono::seconds(5);
    duration minAskInterval = std::chrono::milliseconds(300); // while no owner is known, or one has failed
    duration reachPause = std::chrono::milliseconds(1000); // how long an owner that failed is not asked again
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
    // The other VM to ask, or none: this VM is the owner, or no owner is known or can be reached.
    std::optional<endpoint> otherOwner(const pool_id& pool, mono_time now) const;
    // The owner did not answer for this pool; what it does for others is not affected.
    void unreachable(const pool_id& pool, mono_time now);
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

    ownership_options m_options;
    endpoint m_self;
    const record_store& m_store;
    ownership_hooks m_hooks;
    std::map<std::uint32_t, endpoint> m_owners; // by partition
    std::map<pool_id, mono_time> m_unreachable; // until when its owner is not asked
    std::uint64_t m_generation = 0; // that this VM has joined with
    std::uint64_t m_ownersGeneration = 0; // that m_owners belongs to
    mono_time m_askedAt {};
    bool m_askSoon = false;
    bool m_left = false;
};

} // namespace balsamspring

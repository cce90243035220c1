// Chooses the subset of a pool's servers that one VM connects to.
#pragma once

#include "balsamspring/base/ids.h"

#include <cstddef>
#include <vector>

namespace balsamspring {

// A VM or a backend server and its availability zone.
struct placed_vm {
    vm_id id;
    zone_id zone;
};
struct placed_server {
    backend_id id;
    zone_id zone;
};

struct subset_options {
    std::size_t size = 20;
    double localShare = 0.75; // share of the subset in the VM's own zone; the rest survives the loss of that zone
    double slack = 1.1; // a server belongs to at most this multiple of the mean number of subsets per server
};

// Returns the subset of `self` as indexes into `servers`, or all servers when the pool is not larger than a subset.
//
// The assignment does not depend on the order of the lists, so every VM computes the same one. VMs choose in the order
// of their hash, and each takes the servers with the highest rendezvous rank that are not yet in too many subsets. When
// the lists of the VMs differ, only the balance suffers. Computes one hash per VM and server, so call it on the control
// thread. `self` is added to `vms` if it is missing.
std::vector<std::size_t> chooseSubset(const placed_vm& self, std::vector<placed_vm> vms,
    const std::vector<placed_server>& servers, const subset_options& options);

} // namespace balsamspring

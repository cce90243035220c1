// Interface to the platform's lagging list of live and leaving VMs.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace balsamspring {

enum class vm_state : std::uint8_t { Live, Leaving };

enum class vm_kind : std::uint8_t { Entry, Backend };

struct vm_entry {
    vm_id id;
    std::string address; // "10.0.0.1:8080"
    zone_id zone;
    vm_kind kind = vm_kind::Entry;
    vm_state state = vm_state::Live;
};

// A client of the VM list. Thread safe; the callback runs on any thread, exactly once.
class vm_list_client {
public:
    using fetch_callback = std::function<void(result<std::vector<vm_entry>>)>;

    virtual ~vm_list_client() = default;

    // The list may be old, may be empty and may name VMs that have gone.
    virtual void fetch(duration timeout, fetch_callback done) = 0;
};

} // namespace balsamspring

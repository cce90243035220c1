// Which backend servers may get new work: live, leaving or gone, from every source that tells about them.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/time.h"
#include "balsamspring/platform/vm_list_client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamspring {

enum class backend_state : std::uint8_t { Live, Leaving };

struct backend_view_options {
    duration leavingHold = std::chrono::seconds(30); // against flapping: a leaving generation stays so this long
    duration listStaleAfter = std::chrono::seconds(10); // age at which the VM list counts as stale
    duration forgetAfter = std::chrono::hours(1); // a server that no source has named for this long is dropped
};

struct backend_status {
    backend_id id;
    backend_state state = backend_state::Live;
    std::uint64_t generation = 0; // 0: no reply seen yet
    mono_time leavingSince;
    mono_time named; // last time that the VM list or the configuration named the server
};

struct backend_view_hooks {
    std::function<void(const backend_status&)> changed;
};

// Not thread safe; free of I/O.
class backend_view {
public:
    backend_view(backend_view_options options, backend_view_hooks hooks);

    // Servers that the configuration names; they are known even when the VM list never worked.
    void onConfiguration(const std::vector<backend_id>& servers, mono_time now);

    // An empty or old list removes nobody. A server that the list calls live again is live only after the hold.
    void onVmList(const std::vector<vm_entry>& entries, mono_time now);

    // A reply of the server. A new generation is a new server and live at once, unless the reply says that it leaves.
    void onReply(const backend_id& server, std::uint64_t generation, bool leaving, mono_time now);

    // Drops servers that nothing names any more.
    void tick(mono_time now);

    bool mayReceiveWork(const backend_id& server) const;
    const backend_status* find(const backend_id& server) const;
    bool isListStale(mono_time now) const;

private:
    backend_status& ensure(const backend_id& server);
    void setLeaving(backend_status& status, mono_time now);
    void setLive(backend_status& status);

    backend_view_options m_options;
    backend_view_hooks m_hooks;
    std::unordered_map<backend_id, backend_status> m_servers;
    bool m_listHeard = false;
    mono_time m_listHeardAt;
};

} // namespace balsamspring

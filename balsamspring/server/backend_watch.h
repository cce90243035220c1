// Passes signs that backend servers leave on to the serving decisions.
#pragma once

#include "balsamspring/server/backend_view.h"
#include "balsamspring/server/control_thread.h"
#include "balsamspring/server/guarded_serving.h"

#include <memory>
#include <vector>

namespace balsamspring {

// For the control thread.
class backend_watch {
public:
    // Construct before `control` starts. `control` must have ended when this object is destroyed.
    backend_watch(std::shared_ptr<guarded_serving> serving, control_thread& control);

    void onVmList(const std::vector<vm_entry>& entries, mono_time now);

private:
    void tick(mono_time now);

    std::shared_ptr<guarded_serving> m_serving;
    backend_view m_backends;
};

} // namespace balsamspring

// The availability zones that the operator has asked to empty.
//
// Load pattern: a zone is emptied under full load, while the store is late; two zones in turn; all of them. Its servers
// come back cold (see cold_servers.h), and every VM hears of the end at about the same time.
//
// Not thread-safe.
#pragma once

#include "balsamspring/base/ids.h"

#include <set>

namespace balsamspring {

class evacuated_zones {
public:
    // Each returns whether this changed anything.
    bool begin(const zone_id& zone);
    bool end(const zone_id& zone);

    bool contains(const zone_id& zone) const { return m_zones.contains(zone); }
    const std::set<zone_id>& zones() const { return m_zones; }

private:
    std::set<zone_id> m_zones;
};

} // namespace balsamspring

#include "balsamspring/availability/evacuated_zones.h"

namespace balsamspring {

bool evacuated_zones::begin(const zone_id& zone)
{
    // A key without the name of a zone must not match servers whose entries state none.
    return !zone.value().empty() && m_zones.insert(zone).second;
}

bool evacuated_zones::end(const zone_id& zone) { return m_zones.erase(zone) > 0; }

} // namespace balsamspring

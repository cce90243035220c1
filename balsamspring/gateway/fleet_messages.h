// The wire format of reports of VMs and of the summaries that they get back.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/fleet/fleet_types.h"

#include <string>

namespace balsamspring {

std::string encodeReport(const vm_report& report);
std::string encodeSummary(const fleet_summary& summary);
// Error `Corrupt` for bytes that are no such message.
result<vm_report> decodeReport(const std::string& bytes);
result<fleet_summary> decodeSummary(const std::string& bytes);

} // namespace balsamspring

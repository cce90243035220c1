// Configuration and settings of the embedded mode, in which one process holds the daemon and its stand-ins.
#pragma once

#include "balsamspring/schema/config.pb.h"
#include "balsamspring/schema/settings.pb.h"

#include <string>

namespace balsamspring {

// Bearer tokens of the embedded mode's team and operator.
inline constexpr const char* embeddedTeamToken = "demo-token";
inline constexpr const char* embeddedOperatorToken = "operator-token";

struct embedded_addresses {
    std::string engineA = "127.0.0.1:1";
    std::string engineB = "127.0.0.1:2";
    std::string service = "127.0.0.1:3";
};

// Pipelines "report" (retrieve, rerank, generate) and "answer" (generate) for the team "demo".
schema::configuration embeddedConfiguration(const embedded_addresses& addresses);

schema::daemon_settings embeddedSettings();

} // namespace balsamspring

// Validates constraints of configuration and settings messages that go beyond types and ranges.
#pragma once

#include "balsamspring/base/findings.h"
#include "balsamspring/config/toml_reader.h"
#include "balsamspring/schema/config.pb.h"
#include "balsamspring/schema/settings.pb.h"

#include <string_view>

namespace balsamspring::internal {

// `file` is the location of findings that belong to no key.
void checkConfiguration(
    const schema::configuration& config, const key_places& places, std::string_view file, findings& problems);

void checkSettings(
    const schema::daemon_settings& settings, const key_places& places, std::string_view file, findings& problems);

enum class port_rule : std::uint8_t { Fixed, MayBeChosenBySystem };

// True for an IP number with a port, "10.0.0.1:8080" or "[fd00::1]:8080". Port 0 lets the system choose one.
bool isAddress(std::string_view text, port_rule rule);

} // namespace balsamspring::internal

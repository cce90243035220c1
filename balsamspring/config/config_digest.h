// Content digest, difference and text form of configurations.
#pragma once

#include "balsamspring/config/config.h"

#include <string>
#include <vector>

namespace balsamspring {

// SHA-256 (hex) over the base file and all overlays in a canonical form, which ignores comments, white space, file
// names and the order of keys. Returns findings when a file is not valid TOML.
checked<std::string> configDigest(const config_sources& sources);

// One changed key. `before` or `after` is empty when the key is absent there.
struct config_change {
    std::string path; // "pipelines.report.stages.draft.timeout_ms"
    std::string before;
    std::string after;

    friend bool operator==(const config_change&, const config_change&) = default;
};

// Keys that differ between two configurations, sorted by path. The order of the stages of a pipeline is compared under
// the key "stages.order".
std::vector<config_change> diffConfigurations(const schema::configuration& before, const schema::configuration& after);

// One "path = value" line for each value, sorted by path.
std::string configurationText(const schema::configuration& config);

} // namespace balsamspring

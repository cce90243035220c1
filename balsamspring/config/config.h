// Parses and validates configuration and settings files in TOML into protobuf messages.
//
// All functions are pure, except those documented to read files. All findings of all files are reported together, so
// that an operator can fix them in one pass.
#pragma once

#include "balsamspring/base/findings.h"
#include "balsamspring/schema/config.pb.h"
#include "balsamspring/schema/settings.pb.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

namespace balsamspring {

// A value, or at least one finding that explains why the input is invalid.
template <class Value> using checked = tl::expected<Value, findings>;

// TOML text and the file name under which findings report it.
struct config_text {
    std::string file;
    std::string text;

    friend bool operator==(const config_text&, const config_text&) = default;
};

// The base file and one overlay for each site. Without any overlay, the base file alone applies to every site.
struct config_sources {
    config_text base;
    std::map<std::string, config_text, std::less<>> overlays; // by site

    friend bool operator==(const config_sources&, const config_sources&) = default;
};

// Reads files. The site of an overlay is its file name without directory and ".toml".
checked<config_sources> readConfigFiles(const std::string& baseFile, const std::vector<std::string>& overlayFiles);

// Validated configuration of one site: the base merged with the overlay of the site, with defaults applied. Returns a
// finding when overlays exist but none is for this site.
checked<schema::configuration> loadConfiguration(const config_sources& sources, std::string_view site);

// Validated configurations of all sites. Fails if any site is invalid, so that every VM accepts or rejects the same
// sources. The only key is "" when there are no overlays.
checked<std::map<std::string, schema::configuration, std::less<>>> loadAllSites(const config_sources& sources);

// Validated settings of one process. `overrides` are the keys and values of command line options; they take precedence
// over the file.
checked<schema::daemon_settings> loadSettings(
    const config_text& source, const std::vector<std::pair<std::string, std::string>>& overrides = {});

// Reads the file and calls loadSettings.
checked<schema::daemon_settings> loadSettingsFile(
    const std::string& file, const std::vector<std::pair<std::string, std::string>>& overrides = {});

} // namespace balsamspring

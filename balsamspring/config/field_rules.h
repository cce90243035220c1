// Defaults, ranges and overlay permissions of all configuration and settings keys.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace balsamspring::internal {

// Rule for the keys that match `path`. "*" matches one path element: a map key or the name of a stage.
struct field_rule {
    std::string_view path;
    std::optional<double> defaultValue; // Used when no file sets the key.
    double minimum = 0;
    double maximum = 0;
};

std::span<const field_rule> configurationRules();
std::span<const field_rule> settingsRules();

// Returns true when a dotted path matches the pattern element by element.
bool matchesPath(std::string_view pattern, std::string_view path);

// Rule of the path, or null.
const field_rule* findRule(std::span<const field_rule> rules, std::string_view path);

// Whether an overlay of a site may set the key. All other keys are equal at all sites.
bool overlayMaySet(std::string_view path);

// Whether an overlay may add the entry at this path when the base file does not have it.
bool overlayMayAdd(std::string_view path);

// The keys that an overlay may set, separated by commas, for error messages.
std::string overlayKeysText();

} // namespace balsamspring::internal

// Parses TOML into protobuf messages by reflection and records the source position of each key.
#pragma once

#include "balsamspring/base/findings.h"
#include "balsamspring/config/field_rules.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
}

namespace balsamspring::internal {

// Source position of each key that a file sets, by its dotted path. An element of a repeated message is addressed by
// its `name` field: "pipelines.report.stages.draft.kind".
using key_places = std::map<std::string, source_place, std::less<>>;

// Source position of the path, else of its closest ancestor that a file sets, else of the file as a whole.
source_place placeOf(const key_places& places, std::string_view path, std::string_view file);

enum class file_role : std::uint8_t {
    Base, // May set every key.
    Overlay, // May set permitted keys of existing entries; merges into the message.
};

// Merges the TOML text into the message: tables are merged by key, arrays and values are replaced. Reports malformed
// TOML, unknown keys, wrong types, values out of range and keys that an overlay must not set as findings.
void readToml(std::string_view file, std::string_view text, file_role role, std::span<const field_rule> rules,
    google::protobuf::Message& message, key_places& places, findings& problems);

// Sets the default of every rule whose key no file sets.
void applyDefaults(std::span<const field_rule> rules, const key_places& places, google::protobuf::Message& message);

// Path element of entry `index` of a repeated message: its key, else its name, else the index.
std::string elementName(const google::protobuf::Message& element, int index);

} // namespace balsamspring::internal

// JSON replies as text for people.
#pragma once

#include <string>

namespace balsamspring::internal {

// Objects as "key: value" lines, lists of objects as aligned tables. Text that is no JSON is returned as it is.
std::string renderJson(const std::string& text);

// Indented JSON.
std::string indentJson(const std::string& text);

// "reason: message" of a refusal body, else the body.
std::string refusalText(const std::string& body);

} // namespace balsamspring::internal

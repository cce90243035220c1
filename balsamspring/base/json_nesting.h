// Bounds the nesting of JSON before it is parsed, which uses stack or memory for each level.
#pragma once

#include <cstddef>
#include <string_view>

namespace balsamspring {

// Whether brackets outside strings are nested more deeply than `limit`. The text need not be valid JSON.
bool nestsDeeperThan(std::string_view text, std::size_t limit);

} // namespace balsamspring

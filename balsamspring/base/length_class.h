// Classes of work by expected service time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace balsamspring {

enum class length_class : std::uint8_t { Short, Medium, Long };

inline constexpr std::size_t lengthClassCount = 3;
inline constexpr std::array<length_class, lengthClassCount> allLengthClasses { length_class::Short,
    length_class::Medium, length_class::Long };

constexpr std::size_t indexOf(length_class value) { return static_cast<std::size_t>(value); }

constexpr std::string_view toString(length_class value)
{
    constexpr std::array<std::string_view, lengthClassCount> names { "short", "medium", "long" };
    return names[indexOf(value)];
}

} // namespace balsamspring

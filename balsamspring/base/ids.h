// Strong identifier types. Two ids of different kinds do not compare, convert or mix.
//
//     backend_id server { "engine-3" };
//     std::unordered_map<backend_id, load> loads;
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace balsamspring {

// A value of type Value that is an identifier of kind Tag. Ordered and hashable; `value()` is the raw value.
template <class Tag, class Value> class strong_id {
public:
    using value_type = Value;

    strong_id() = default;
    explicit strong_id(Value value)
        : m_value(std::move(value))
    {
    }

    const Value& value() const { return m_value; }

    // clang-tidy 14 takes the 0 that a rewritten comparison compares with for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_id& id) { return out << id.m_value; }

private:
    Value m_value {};
};

template <class Tag> using string_id = strong_id<Tag, std::string>;

template <class Tag> using number_id = strong_id<Tag, std::uint64_t>;

using team_id = string_id<struct team_tag>;
using pipeline_id = string_id<struct pipeline_tag>;
using pool_id = string_id<struct pool_tag>;
using backend_id = string_id<struct backend_tag>;
using vm_id = string_id<struct vm_tag>;
using zone_id = string_id<struct zone_tag>;
using region_id = string_id<struct region_tag>;
using model_id = string_id<struct model_tag>;
using request_id = string_id<struct request_tag>;

using attempt_id = number_id<struct attempt_tag>;
using stream_id = number_id<struct stream_tag>;
using config_version = number_id<struct config_version_tag>;
using log_offset = number_id<struct log_offset_tag>;
using incarnation = number_id<struct incarnation_tag>;
using fingerprint = number_id<struct fingerprint_tag>;

} // namespace balsamspring

template <class Tag, class Value> struct std::hash<balsamspring::strong_id<Tag, Value>> {
    std::size_t operator()(const balsamspring::strong_id<Tag, Value>& id) const noexcept
    {
        return std::hash<Value> {}(id.value());
    }
};

// Errors as values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace balsamspring {

// Kinds of errors that callers of this library tell apart.
enum class error_code : std::uint8_t {
    InvalidArgument,
    NotFound,
    AlreadyExists, // same key, other content
    FailedPrecondition, // the state does not allow it
    Conflict, // another writer won
    Expired,
    Unavailable, // may work later; an operation with effects may have taken effect
    Refused, // certainly had no effect
    Timeout, // no answer in time; an operation with effects may have taken effect
    Corrupt, // data that does not decode
    Cancelled,
    Internal,
    QuotaExceeded, // certainly had no effect; the team is above its share of a shared capacity
};

std::string_view toString(error_code code);

struct error {
    error_code code = error_code::Internal;
    std::string message;
};

template <class Value> using result = tl::expected<Value, error>;

inline tl::unexpected<error> makeError(error_code code, std::string message)
{
    return tl::make_unexpected(error { code, std::move(message) });
}

// What a caller is told about the work of its request.
enum class work_state : std::uint8_t {
    NotRun, // did not run and cannot run later
    Completed,
    Running,
    Unknown, // may have run, may still run
};

// "not_run", "completed", "running" or "unknown".
std::string_view toString(work_state state);

} // namespace balsamspring

// Structured log lines on standard output: `level=warn event=backend_ejected backend=e3 reason=slow`.
//
//     logLine(log_level::Warn, "backend_ejected", { { "backend", id.value() }, { "reason", "slow" } });
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace balsamspring {

enum class log_level : std::uint8_t { Debug, Info, Warn, Error };

using log_field = std::pair<std::string_view, std::string>;

// One line without its end. Values with blanks, quotes or control characters are quoted and escaped.
std::string formatLogLine(log_level level, std::string_view event, std::initializer_list<log_field> fields);

// Writes one line with a UTC time stamp. Thread safe; lines below the minimum level are dropped.
void logLine(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

// Where lines go, each with its end. Default: standard output, at once.
using log_writer = std::function<void(log_level, std::string line)>;
void setLogWriter(log_writer writer);

// Default: Info.
void setMinimumLogLevel(log_level level);

} // namespace balsamspring

#include "balsamspring/base/log.h"

#include <atomic>
#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>
#include <fmt/core.h>

namespace balsamspring {

namespace {

std::atomic<log_level> minimumLevel { log_level::Info };
// Set before threads that log are started.
log_writer writer;

std::string_view levelName(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warn:
        return "warn";
    case log_level::Error:
        return "error";
    }
    return "error";
}

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7f')
            return true;
    }
    return false;
}

std::string quote(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += fmt::format("\\{}", c);
        else if (c == '\n')
            text += "\\n";
        else if (static_cast<unsigned char>(c) < 0x20 || c == '\x7f')
            text += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        else
            text += c;
    }
    return text + "\"";
}

} // namespace

std::string formatLogLine(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = fmt::format("level={} event={}", levelName(level), event);
    for (const auto& [key, value] : fields)
        line += fmt::format(" {}={}", key, needsQuotes(value) ? quote(value) : value);
    return line;
}

void logLine(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < minimumLevel.load(std::memory_order_relaxed))
        return;
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto sinceEpoch = now.time_since_epoch().count();
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)), sinceEpoch % 1000, formatLogLine(level, event, fields));
    if (writer) {
        writer(level, std::move(line));
        return;
    }
    // One call per line, so that lines of several threads do not mix.
    std::fwrite(line.data(), 1, line.size(), stdout);
    std::fflush(stdout);
}

void setLogWriter(log_writer newWriter) { writer = std::move(newWriter); }

void setMinimumLogLevel(log_level level) { minimumLevel.store(level, std::memory_order_relaxed); }

} // namespace balsamspring

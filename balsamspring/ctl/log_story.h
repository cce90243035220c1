// Reads the log lines of gateways and tells the story of a request, or counts why requests failed.
#pragma once

#include <cstddef>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamspring {

// One line: `time=... level=... event=... key=value ...`. What stands before `time=` names the source, such as the VM.
struct log_entry {
    std::string source;
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text; // event and fields as written
};

// Nothing when the line is no log line.
std::optional<log_entry> parseLogEntry(std::string_view line);

// What the reason of a `request_done` line means, or none when it is not known.
std::optional<std::string> describeReason(const std::string& outcome, const std::string& reason);

// All reasons that describeReason() knows, without those that carry a number.
std::vector<std::string> knownReasons();

struct request_story {
    std::vector<log_entry> entries; // in order of time
    std::string cause; // empty while unknown
};

// Entries whose id is the request's.
request_story explainRequest(std::istream& log, const std::string& id);

struct failure_summary {
    std::map<std::string, std::size_t> byCause; // "refused/keys_unconfirmed"
    std::size_t failed = 0;
    std::size_t explained = 0;
};

// All requests that ended in another way than served.
failure_summary explainFailures(std::istream& log);

} // namespace balsamspring

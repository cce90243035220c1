#include "balsamspring/ctl/log_story.h"

#include <algorithm>
#include <array>
#include <istream>

#include <fmt/core.h>

namespace balsamspring {

namespace {

struct reason_text {
    std::string_view reason;
    std::string_view text;
};

constexpr std::array reasonTexts = std::to_array<reason_text>({
    { "complete", "the server's answer was delivered whole" },
    { "configuration_unconfirmed", "no route matched, and the store had not confirmed the configuration lately" },
    { "connection_lost", "the server made events that did not arrive, and the stream could not go on elsewhere" },
    { "crashes_servers", "requests with this content have crashed servers before" },
    { "crashing_part", "requests that share a part of their prompt have crashed servers; see part_refused" },
    { "cut_event", "the server's stream ended inside an event and could not go on elsewhere" },
    { "deadline", "the caller's or the route's time was over while a server worked on the request" },
    { "deadline_in_queue", "the caller's or the route's time was over before the request was sent to its server" },
    { "endless_answer", "the server sent a refusal or an invalid answer without end" },
    { "endless_event", "the server sent an event without end" },
    { "event_gap", "another server went on with the stream, but left events out" },
    { "fields_missing_or_ambiguous", "a field that the system needs was missing or stood twice" },
    { "foreign_event", "a server sent something else than an event of the stream" },
    { "in_answer", "the caller closed its connection during the answer" },
    { "inputs_gone", "results of stages were gone when the server wanted to read them" },
    { "key_revoked", "the key was taken away while the request waited" },
    { "keys_unconfirmed", "the store had not confirmed the configuration for too long to trust any key" },
    { "lost", "the connection to the server ended before its answer was complete" },
    { "malformed", "the server sent bytes that are no answer" },
    { "no_configuration", "this VM had not read a configuration yet" },
    { "no_other_server", "an earlier server may have run the request, and no other was left to go on" },
    { "no_route", "no route of the configuration matches host and path" },
    { "no_server", "no server of the pool could take the request" },
    { "no_time_for_next_stage",
        "after a stage had run, the waits of the pools ahead left no time before the deadline" },
    { "no_time_for_stages", "the waits of the pools ahead left no time for the stages before the deadline" },
    { "not_begun", "the request waited too long at a server that had not begun it" },
    { "not_reached", "no connection to the server could be opened" },
    { "piece_key_unreadable", "the key of the pieces, or the id, is no UTF-8" },
    { "piece_count_unreadable", "the number of pieces of a stage could not be read" },
    { "pool_short",
        "a pool of a stage refused requests of this route, so that this one was refused before its first stage" },
    { "prompt_prefix_unreadable", "the parts of the prompt could not be read" },
    { "run_lost", "the server no longer held the run, and the stream could not go on elsewhere" },
    { "server_full", "the server refused the request because it was full" },
    { "servers_limited", "all servers of the pool had named limits and had had the requests that they take" },
    { "servers_cold", "all servers of the pool were cold and got no more requests than they bear" },
    { "servers_paused", "all servers of the pool have asked for a pause; see server_paused" },
    { "silent", "the server sent nothing for too long" },
    { "stage_expired", "a stage could not be done before the deadline; its servers were busy" },
    { "stage_not_found", "results of an earlier stage were gone: their server left, crashed or dropped them" },
    { "stage_quota_exceeded", "the team was above its share of a stage's pool while the pool had no capacity left" },
    { "stage_refused", "when the request arrived, a stage's queue was too long to meet the deadline" },
    { "stage_unavailable", "servers of a stage failed, and the repeat budget allowed no further try" },
    { "stage_unknown", "the configuration describes no pieces for a stage of the route" },
    { "stopping", "this VM was about to stop" },
    { "token_count_unreadable", "the number of tokens could not be read" },
    { "unknown_key", "no team of the configuration holds the key" },
    { "unreachable", "the server stopped answering, and the stream could not go on elsewhere" },
    { "unsigned_answer", "the server's answer carried no signature" },
    { "waiting", "the caller closed its connection before the answer began" },
    { "zones_evacuated", "all servers of a pool were in zones that the operator empties" },
});

std::string unquote(std::string_view value)
{
    if (value.size() < 2 || value.front() != '"' || value.back() != '"')
        return std::string(value);
    std::string plain;
    for (std::size_t i = 1; i + 1 < value.size(); ++i) {
        if (value[i] == '\\' && i + 2 < value.size())
            i += 1;
        plain += value[i];
    }
    return plain;
}

// Length of a value: up to the next blank outside quotes.
std::size_t valueLength(std::string_view text)
{
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\\')
            i += 1;
        else if (text[i] == '"')
            quoted = !quoted;
        else if (text[i] == ' ' && !quoted)
            return i;
    }
    return text.size();
}

std::string field(const log_entry& entry, const std::string& name)
{
    const auto found = entry.fields.find(name);
    return found == entry.fields.end() ? std::string() : found->second;
}

bool endsRequest(const log_entry& entry) { return entry.event == "request_done"; }

} // namespace

std::optional<log_entry> parseLogEntry(std::string_view line)
{
    const auto begin = line.find("time=");
    if (begin == std::string_view::npos)
        return std::nullopt;
    log_entry entry;
    entry.source = line.substr(0, begin);
    while (!entry.source.empty() && entry.source.back() == ' ')
        entry.source.pop_back();
    std::string_view rest = line.substr(begin);
    while (!rest.empty()) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos)
            break;
        const std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        const std::size_t length = valueLength(rest);
        entry.fields[key] = unquote(rest.substr(0, length));
        rest.remove_prefix(std::min(rest.size(), length + 1));
    }
    entry.time = field(entry, "time");
    entry.event = field(entry, "event");
    if (entry.event.empty())
        return std::nullopt;
    const auto text = line.find("event=");
    entry.text = line.substr(text + std::string_view("event=").size());
    return entry;
}

std::optional<std::string> describeReason(const std::string& outcome, const std::string& reason)
{
    if (reason.starts_with("status_"))
        return fmt::format("a server answered with {} {}", reason.substr(7),
            outcome == "server_error" ? "and its answer was passed on" : "without saying that the request did not run");
    for (const reason_text& known : reasonTexts) {
        if (known.reason == reason)
            return std::string(known.text);
    }
    return std::nullopt;
}

std::vector<std::string> knownReasons()
{
    std::vector<std::string> reasons;
    reasons.reserve(reasonTexts.size());
    for (const reason_text& known : reasonTexts)
        reasons.emplace_back(known.reason);
    return reasons;
}

request_story explainRequest(std::istream& log, const std::string& id)
{
    request_story story;
    for (std::string line; std::getline(log, line);) {
        if (line.find(id) == std::string::npos)
            continue;
        auto entry = parseLogEntry(line);
        if (entry && field(*entry, "id") == id)
            story.entries.push_back(std::move(*entry));
    }
    std::stable_sort(story.entries.begin(), story.entries.end(),
        [](const log_entry& a, const log_entry& b) { return a.time < b.time; });
    for (const log_entry& entry : story.entries) {
        if (endsRequest(entry))
            story.cause = describeReason(field(entry, "outcome"), field(entry, "reason")).value_or(std::string());
    }
    return story;
}

failure_summary explainFailures(std::istream& log)
{
    failure_summary summary;
    for (std::string line; std::getline(log, line);) {
        if (line.find("event=request_done") == std::string::npos)
            continue;
        const auto entry = parseLogEntry(line);
        if (!entry || field(*entry, "outcome") == "served")
            continue;
        const std::string reason = field(*entry, "reason");
        summary.failed += 1;
        summary.byCause[field(*entry, "outcome") + "/" + reason] += 1;
        if (describeReason(field(*entry, "outcome"), reason))
            summary.explained += 1;
    }
    return summary;
}

} // namespace balsamspring

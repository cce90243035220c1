// Commands that read the logs of gateways.
#include "balsamspring/ctl/commands.h"
#include "balsamspring/ctl/log_story.h"
#include "balsamspring/ctl/render.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace balsamspring::internal {

namespace {

// All lines of the files, or of standard input without files. Error `NotFound` names the file that cannot be read.
result<std::string> readLogs(const std::vector<std::string>& files)
{
    std::ostringstream text;
    if (files.empty())
        text << std::cin.rdbuf();
    for (const std::string& name : files) {
        const std::ifstream file(name, std::ios::binary);
        if (!file)
            return makeError(error_code::NotFound, fmt::format("{} cannot be read", name));
        text << file.rdbuf() << "\n";
    }
    return text.str();
}

nlohmann::json toJson(const request_story& story)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const log_entry& entry : story.entries)
        entries.push_back({ { "source", entry.source }, { "time", entry.time }, { "event", entry.event },
            { "fields", entry.fields } });
    return { { "cause", story.cause }, { "entries", entries } };
}

} // namespace

exit_code ctl_session::explainRequestId()
{
    const auto logs = readLogs(filesFrom(2));
    if (!logs)
        return fail(exit_code::Refused, logs.error().message);
    std::istringstream text(*logs);
    const request_story story = explainRequest(text, m_options.words[1]);
    if (story.entries.empty())
        return fail(exit_code::Refused, fmt::format("no line names request {}", m_options.words[1]));
    if (m_options.json) {
        m_environment.out << toJson(story).dump(2) << "\n";
        return exit_code::Done;
    }
    for (const log_entry& entry : story.entries)
        m_environment.out << fmt::format(
            "{} {} {}\n", entry.time, entry.source.empty() ? "-" : entry.source, entry.text);
    m_environment.out << "cause: " << (story.cause.empty() ? "unknown" : story.cause) << "\n";
    return exit_code::Done;
}

exit_code ctl_session::listFailures()
{
    const auto logs = readLogs(filesFrom(1));
    if (!logs)
        return fail(exit_code::Refused, logs.error().message);
    std::istringstream text(*logs);
    const failure_summary summary = explainFailures(text);
    if (m_options.json) {
        m_environment.out << nlohmann::json {
            { "failed", summary.failed }, { "explained", summary.explained }, { "by_cause", summary.byCause }
        }.dump(2) << "\n";
        return exit_code::Done;
    }
    for (const auto& [cause, count] : summary.byCause)
        m_environment.out << fmt::format("{:6} {}\n", count, cause);
    m_environment.out << fmt::format("{} of {} explained\n", summary.explained, summary.failed);
    return exit_code::Done;
}

} // namespace balsamspring::internal

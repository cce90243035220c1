#include "balsamspring/config/config_api.h"

#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using nlohmann::json;

// JSON readers that store numbers as doubles represent integers exactly only up to this value.
constexpr std::uint64_t maxExactInteger = 1ULL << 53;

// File names and messages may contain invalid UTF-8, which is replaced.
std::string dumpJson(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

json fileJson(const config_text& text) { return { { "file", text.file }, { "text", text.text } }; }

config_text fileOf(const json& value) { return { value.at("file"), value.at("text") }; }

void addSources(json& value, const config_sources& sources)
{
    value["base"] = fileJson(sources.base);
    value["overlays"] = json::object();
    for (const auto& [site, overlay] : sources.overlays)
        value["overlays"][site] = fileJson(overlay);
}

config_sources sourcesOf(const json& value)
{
    config_sources sources { fileOf(value.at("base")), {} };
    for (const auto& [site, overlay] : value.at("overlays").items())
        sources.overlays[site] = fileOf(overlay);
    return sources;
}

config_version versionOf(const json& value)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maxExactInteger)
        throw std::invalid_argument("a version must be a whole number");
    return config_version(value.get<std::uint64_t>());
}

// Applies `read` to the parsed JSON. Malformed JSON, a missing key or a wrong type gives `InvalidArgument` with the
// message of the exception.
template <class Reader> auto parseWith(std::string_view text, Reader read) -> result<decltype(read(json()))>
{
    try {
        return read(json::parse(text));
    } catch (const std::exception& failure) {
        return makeError(error_code::InvalidArgument, failure.what());
    }
}

json findingsJson(const findings& problems)
{
    json list = json::array();
    for (const finding& item : problems.items()) {
        list.push_back({ { "file", item.place.file }, { "line", item.place.line }, { "column", item.place.column },
            { "message", item.message } });
    }
    return list;
}

api_response errorReply(int status, std::string_view reason, const std::string& message, json list = json::array())
{
    const json body { { "error", { { "reason", reason }, { "message", message }, { "findings", std::move(list) } } } };
    return { status, dumpJson(body) };
}

api_response errorReply(const error& failure)
{
    if (failure.code == error_code::Unavailable)
        return errorReply(503, "config_behind", failure.message);
    return errorReply(
        409, failure.code == error_code::AlreadyExists ? "id_reused" : "config_conflict", failure.message);
}

std::string_view stateOf(const publication& status)
{
    if (status.phase == publication_phase::Pending)
        return "pending";
    if (status.phase == publication_phase::GivenUp)
        return "given_up";
    return status.outcome.verdict == proposal_verdict::Accepted ? "accepted" : "refused";
}

} // namespace

std::string toJson(const proposal_request& request)
{
    json value { { "id", request.id }, { "base_version", request.base.value() }, { "author", request.author } };
    addSources(value, request.sources);
    return dumpJson(value);
}

result<proposal_request> parseProposalRequest(std::string_view text)
{
    return parseWith(text, [](const json& value) {
        return proposal_request { value.at("id"), versionOf(value.at("base_version")), value.at("author"),
            sourcesOf(value) };
    });
}

proposal_reply replyOf(const std::string& id, const publication& status)
{
    const bool isDecided = status.phase == publication_phase::Decided;
    return { id, std::string(stateOf(status)), status.outcome.version,
        isDecided ? status.outcome.message : status.lastError };
}

std::string toJson(const proposal_reply& reply)
{
    return dumpJson({ { "id", reply.id }, { "state", reply.state }, { "version", reply.version.value() },
        { "message", reply.message } });
}

result<proposal_reply> parseProposalReply(std::string_view text)
{
    return parseWith(text, [](const json& value) {
        return proposal_reply { value.at("id"), value.at("state"), versionOf(value.at("version")),
            value.at("message") };
    });
}

config_report reportOf(const config_versions& versions)
{
    config_report report { versions.version(), versions.digest(), std::string(toString(versions.condition())), {} };
    if (versions.inForce())
        report.sources = versions.inForce()->sources;
    return report;
}

std::string toJson(const config_report& report)
{
    json value { { "version", report.version.value() }, { "digest", report.digest },
        { "condition", report.condition } };
    addSources(value, report.sources);
    return dumpJson(value);
}

result<config_report> parseConfigReport(std::string_view text)
{
    return parseWith(text, [](const json& value) {
        return config_report { versionOf(value.at("version")), value.at("digest"), value.at("condition"),
            sourcesOf(value) };
    });
}

std::string toJson(const std::vector<config_member>& members)
{
    json list = json::array();
    for (const config_member& member : members) {
        list.push_back(
            { { "vm", member.vm.value() }, { "version", member.version.value() }, { "digest", member.digest } });
    }
    return dumpJson({ { "members", list } });
}

result<std::vector<config_member>> parseMembers(std::string_view text)
{
    return parseWith(text, [](const json& value) {
        std::vector<config_member> members;
        for (const json& item : value.at("members"))
            members.push_back(
                { vm_id(item.at("vm").get<std::string>()), versionOf(item.at("version")), item.at("digest") });
        return members;
    });
}

std::string historyJson(const std::vector<schema::accepted_proposal>& history)
{
    json list = json::array();
    for (const schema::accepted_proposal& entry : history) {
        list.push_back({ { "version", entry.version() }, { "id", entry.id() }, { "author", entry.author() },
            { "digest", entry.digest() } });
    }
    return dumpJson({ { "history", list } });
}

api_response handleProposal(config_publisher& publisher, std::string_view body, duration limit, mono_time now)
{
    const auto request = parseProposalRequest(body);
    if (!request)
        return errorReply(400, "malformed", request.error().message);
    if (request->id.empty() || request->author.empty())
        return errorReply(400, "malformed", "\"id\" and \"author\" must not be empty");
    const auto proposal = makeProposal(request->sources, request->base, request->id, request->author);
    if (!proposal) {
        return errorReply(422, "config_invalid", proposal.error().toText(), findingsJson(proposal.error()));
    }
    if (const auto published = publisher.publish(*proposal, limit, now); !published)
        return errorReply(published.error());
    const auto status = publisher.find(request->id);
    return { 200, toJson(replyOf(request->id, status.value_or(publication {}))) };
}

} // namespace balsamspring

#include "balsamspring/config/config_digest.h"
#include "balsamspring/ctl/commands.h"
#include "balsamspring/ctl/render.h"

#include <ostream>
#include <set>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace balsamspring::internal {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr duration pollInterval = 500ms;

// A site that only one side has is compared with an empty configuration, so that all its keys show.
std::map<std::string, std::vector<config_change>> diffSites(
    const site_configurations& before, const site_configurations& after)
{
    std::set<std::string> sites;
    for (const auto& [site, config] : before)
        sites.insert(site);
    for (const auto& [site, config] : after)
        sites.insert(site);
    std::map<std::string, std::vector<config_change>> changes;
    const schema::configuration none;
    for (const std::string& site : sites) {
        const auto old = before.find(site);
        const auto fresh = after.find(site);
        changes[site]
            = diffConfigurations(old == before.end() ? none : old->second, fresh == after.end() ? none : fresh->second);
    }
    return changes;
}

std::string joined(const std::vector<std::string>& items)
{
    std::string text;
    for (const std::string& item : items)
        text += (text.empty() ? "" : ", ") + item;
    return text;
}

} // namespace

std::optional<config_sources> ctl_session::readSources(const std::vector<std::string>& files)
{
    auto sources = readConfigFiles(files.front(), { files.begin() + 1, files.end() });
    if (sources)
        return std::move(*sources);
    failWith(sources.error());
    return std::nullopt;
}

exit_code ctl_session::checkFiles()
{
    const auto sources = readSources(filesFrom(2));
    if (!sources)
        return m_code;
    const auto sites = loadAllSites(*sources);
    if (!sites)
        return failWith(sites.error());
    const std::string digest = configDigest(*sources).value();
    if (m_options.json)
        m_environment.out << json { { "sites", sites->size() }, { "digest", digest } }.dump(2) << "\n";
    else
        m_environment.out << fmt::format("valid for {} site(s), digest {}\n", sites->size(), digest);
    return exit_code::Done;
}

exit_code ctl_session::mergeFiles()
{
    const auto sources = readSources(filesFrom(2));
    if (!sources)
        return m_code;
    if (m_options.site.empty() && !sources->overlays.empty())
        return usage("--site is missing");
    const auto config = loadConfiguration(*sources, m_options.site);
    if (!config)
        return failWith(config.error());
    const std::string digest = configDigest(*sources).value();
    const std::string text = configurationText(*config);
    if (!m_options.json) {
        m_environment.out << text << fmt::format("# digest {}\n", digest);
        return exit_code::Done;
    }
    json values = json::object();
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = text.find('\n', begin);
        const std::size_t middle = text.find(" = ", begin);
        values[text.substr(begin, middle - begin)] = text.substr(middle + 3, end - middle - 3);
        begin = end + 1;
    }
    m_environment.out << json { { "site", m_options.site }, { "digest", digest }, { "values", values } }.dump(2)
                      << "\n";
    return exit_code::Done;
}

std::optional<config_report> ctl_session::fetchReport()
{
    operator_api* target = api();
    if (!target)
        return std::nullopt;
    const auto reply = target->call("GET", "/v1/config", {});
    if (!reply) {
        unreachable(reply.error());
        return std::nullopt;
    }
    if (reply->status != 200) {
        refused(*reply);
        return std::nullopt;
    }
    auto report = parseConfigReport(reply->body);
    if (report)
        return std::move(*report);
    fail(exit_code::Unreachable, fmt::format("the reply to /v1/config is malformed: {}", report.error().message));
    return std::nullopt;
}

exit_code ctl_session::diffFiles()
{
    const auto fresh = readSources(filesFrom(2));
    if (!fresh)
        return m_code;
    std::optional<config_sources> old;
    bool isEmpty = false;
    if (!m_options.against.empty()) {
        old = readSources(m_options.against);
    } else if (const auto report = fetchReport()) {
        old = report->sources;
        isEmpty = !report->version.value();
    }
    if (!old)
        return m_code;
    const auto after = loadAllSites(*fresh);
    const auto before = isEmpty ? checked<site_configurations>() : loadAllSites(*old);
    if (!after || !before)
        return failWith(after ? before.error() : after.error());
    json list = json::object();
    std::string text;
    for (const auto& [site, changes] : diffSites(*before, *after)) {
        list[site] = json::array();
        for (const config_change& change : changes) {
            list[site].push_back({ { "key", change.path }, { "before", change.before }, { "after", change.after } });
            text += fmt::format("{}{}{}: {} -> {}\n", site, site.empty() ? "" : " ", change.path,
                change.before.empty() ? "-" : change.before, change.after.empty() ? "-" : change.after);
        }
    }
    m_environment.out << (m_options.json ? list.dump(2) + "\n" : text.empty() ? "no difference\n" : text);
    return exit_code::Done;
}

exit_code ctl_session::publishFiles()
{
    const auto sources = readSources(filesFrom(2));
    if (!sources)
        return m_code;
    // Findings of the local files show before anything is sent.
    if (const auto sites = loadAllSites(*sources); !sites)
        return failWith(sites.error());
    proposal_request request { m_options.id, {}, m_options.author, *sources };
    if (request.author.empty())
        request.author = m_environment.variable("USER");
    if (request.author.empty())
        return usage("--author is missing");
    // A repetition must be the same record, or it could win a second time.
    if (!request.id.empty() && !m_options.baseVersion)
        return usage("--id needs the --base-version of the first attempt");
    if (request.id.empty())
        request.id = m_environment.newId();
    if (m_options.baseVersion) {
        request.base = config_version(*m_options.baseVersion);
    } else {
        const auto report = fetchReport();
        if (!report)
            return m_code;
        request.base = report->version;
    }
    return waitUntilDecided(request);
}

// The same POST is repeated until the proposal is decided; the daemon recognises it by its id.
exit_code ctl_session::waitUntilDecided(const proposal_request& request)
{
    operator_api* target = api();
    if (!target)
        return m_code;
    const std::string body = toJson(request);
    const mono_time end = m_environment.now() + fromSeconds(m_options.waitSeconds);
    std::string reason = "it is not on the log yet";
    for (;;) {
        const auto answer = target->call("POST", "/v1/config/proposals", body);
        if (!answer)
            reason = answer.error().message;
        else if (answer->status != 200 && !isTemporary(answer->status))
            return refused(*answer);
        else if (answer->status != 200)
            reason = refusalText(answer->body);
        else if (const auto reply = parseProposalReply(answer->body); !reply)
            reason = reply.error().message;
        else if (reply->state == "accepted")
            return waitEverywhere(reply->version, configDigest(request.sources).value());
        else if (reply->state == "refused")
            return fail(exit_code::Refused, reply->message);
        else if (!reply->message.empty())
            reason = reply->message;
        if (m_environment.now() >= end) {
            return fail(exit_code::Unreachable,
                fmt::format("the proposal may still take effect: {}; repeat with --id {} --base-version {}", reason,
                    request.id, request.base.value()));
        }
        m_environment.sleep(pollInterval);
    }
}

exit_code ctl_session::waitEverywhere(config_version version, const std::string& digest)
{
    const mono_time end = m_environment.now() + fromSeconds(m_options.waitSeconds);
    std::vector<std::string> lagging;
    for (;;) {
        const auto answer = api()->call("GET", "/v1/config/members", {});
        const auto members = answer && answer->status == 200
            ? parseMembers(answer->body)
            : result<std::vector<config_member>>(makeError(error_code::Unavailable, "no answer"));
        if (members) {
            std::map<vm_id, config_version> versions;
            for (const config_member& member : *members) {
                // VMs tell each other only versions; the digest is known of the VM that answers.
                const bool isKnown = !member.digest.empty();
                if (member.version == version && isKnown && member.digest != digest) {
                    return fail(exit_code::NotEverywhere,
                        fmt::format("VM {} has another digest for version {}", member.vm.value(), version.value()));
                }
                versions[member.vm] = member.version;
            }
            lagging.clear();
            for (const vm_id& vm : laggingMembers(versions, version))
                lagging.push_back(vm.value());
            if (!versions.empty() && lagging.empty())
                return reportWait(version, true, {});
        }
        if (m_environment.now() >= end)
            return reportWait(version, false, lagging);
        m_environment.sleep(pollInterval);
    }
}

exit_code ctl_session::reportWait(config_version version, bool isEverywhere, const std::vector<std::string>& lagging)
{
    if (m_options.json) {
        m_environment.out << json {
            { "version", version.value() }, { "everywhere", isEverywhere }, { "lagging", lagging }
        }.dump(2) << "\n";
    } else if (isEverywhere) {
        m_environment.out << fmt::format("version {} is in force everywhere\n", version.value());
    } else {
        m_environment.out << fmt::format("version {} is accepted; not in force yet at: {}\n", version.value(),
            lagging.empty() ? "unknown, no list of members" : joined(lagging));
    }
    return isEverywhere ? exit_code::Done : exit_code::NotEverywhere;
}

} // namespace balsamspring::internal

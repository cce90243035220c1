#include "balsamspring/config/config_checks.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <vector>

#include <arpa/inet.h>
#include <fmt/core.h>

namespace balsamspring::internal {

namespace {

bool isSha256Hex(std::string_view text)
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

schema::pool::kind_type poolKindFor(schema::stage::kind_type kind)
{
    switch (kind) {
    case schema::stage::encode:
        return schema::pool::encoder;
    case schema::stage::retrieve:
        return schema::pool::retriever;
    case schema::stage::rerank:
        return schema::pool::reranker;
    case schema::stage::generate:
        return schema::pool::engine;
    case schema::stage::call:
        return schema::pool::service;
    default:
        return schema::pool::unspecified;
    }
}

class checker {
public:
    checker(const key_places& places, std::string_view file, findings& problems)
        : m_places(places)
        , m_file(file)
        , m_problems(problems)
    {
    }

protected:
    void add(const std::string& path, std::string message)
    {
        m_problems.add(placeOf(m_places, path, m_file), std::move(message));
    }

    bool isSet(std::string_view path) const { return m_places.contains(path); }

    // A key that is set but has no value already has a finding from the TOML reader.
    void requireValue(bool hasValue, const std::string& path)
    {
        if (!hasValue && !isSet(path))
            add(path, fmt::format("\"{}\" is missing", path));
    }

    void requireText(const std::string& value, const std::string& path)
    {
        if (value.empty())
            add(path, fmt::format("\"{}\" is missing or empty", path));
    }

    void requireAddress(const std::string& value, const std::string& path, port_rule rule)
    {
        if (!isAddress(value, rule))
            add(path, fmt::format("\"{}\" is \"{}\", must be an IP number and a port", path, value));
    }

private:
    const key_places& m_places;
    std::string m_file;
    findings& m_problems;
};

// Dependency graph of the stages of one pipeline: before[i] lists the stages that must end before stage i starts.
using stage_graph = std::vector<std::vector<std::size_t>>;

enum class visit_state : std::uint8_t { New, Open, Done };

// Depth-first search from `stage`. Returns the stages of the first cycle found, or an empty vector.
std::vector<std::size_t> findCycle(const stage_graph& before, std::size_t stage, std::vector<visit_state>& states,
    std::vector<std::size_t>& currentPath)
{
    states[stage] = visit_state::Open;
    currentPath.push_back(stage);
    for (const std::size_t next : before[stage]) {
        if (states[next] == visit_state::Open)
            return { std::find(currentPath.begin(), currentPath.end(), next), currentPath.end() };
        if (states[next] == visit_state::New) {
            if (auto cycle = findCycle(before, next, states, currentPath); !cycle.empty())
                return cycle;
        }
    }
    currentPath.pop_back();
    states[stage] = visit_state::Done;
    return {};
}

class configuration_checker : checker {
public:
    configuration_checker(
        const schema::configuration& config, const key_places& places, std::string_view file, findings& problems)
        : checker(places, file, problems)
        , m_config(config)
    {
    }

    void check()
    {
        for (const auto& [name, pool] : m_config.pools())
            checkPool("pools." + name, pool);
        if (m_config.pipelines().empty())
            add("pipelines", "the configuration has no pipeline");
        for (const auto& [name, pipeline] : m_config.pipelines())
            checkPipeline("pipelines." + name, pipeline);
        for (const auto& [name, team] : m_config.teams())
            checkTeam(name, team);
        checkClaims();
    }

private:
    void checkPool(const std::string& path, const schema::pool& pool)
    {
        requireValue(pool.kind() != schema::pool::unspecified, path + ".kind");
        if (pool.servers().empty())
            add(path, fmt::format("\"{}\" has no server at this site", path));
        const bool isEngine = pool.kind() == schema::pool::engine;
        // Protobuf maps are unordered; sorting by name gives the same findings on every VM.
        const std::map<std::string, schema::backend_server> servers(pool.servers().begin(), pool.servers().end());
        for (const auto& [name, server] : servers) {
            const std::string serverPath = fmt::format("{}.servers.{}", path, name);
            requireAddress(server.address(), serverPath + ".address", port_rule::Fixed);
            requireText(server.zone(), serverPath + ".zone");
            if (!isEngine && !server.models().empty())
                add(serverPath + ".models", fmt::format("\"{}\" may state no models, only engines do", serverPath));
            const auto [owner, isNew] = m_serverOfAddress.emplace(server.address(), serverPath);
            if (!isNew) {
                add(serverPath + ".address",
                    fmt::format("address \"{}\" is also that of \"{}\"", server.address(), owner->second));
            }
        }
    }

    void checkPipeline(const std::string& path, const schema::pipeline& pipeline)
    {
        if (pipeline.stages().empty()) {
            add(path, fmt::format("\"{}\" has no stage", path));
            return;
        }
        const std::string& lengthClass = pipeline.length_class();
        if (!lengthClass.empty() && lengthClass != "short" && lengthClass != "medium" && lengthClass != "long")
            add(path + ".length_class", fmt::format("unknown length class \"{}\"", lengthClass));
        std::map<std::string, std::size_t> indexOf;
        for (int i = 0; i < pipeline.stages_size(); ++i) {
            const schema::stage& stage = pipeline.stages(i);
            const std::string stagePath = path + ".stages." + elementName(stage, i);
            requireText(stage.name(), stagePath + ".name");
            if (stage.name().find('.') != std::string::npos)
                add(stagePath + ".name", "the name of a stage may not contain a dot");
            if (!indexOf.emplace(stage.name(), i).second)
                add(stagePath + ".name", fmt::format("\"{}\" has two stages named \"{}\"", path, stage.name()));
            checkStage(stagePath, stage);
            if (stage.timeout_ms() > pipeline.deadline_ms())
                add(stagePath + ".timeout_ms", fmt::format("the timeout of \"{}\" exceeds its deadline", stagePath));
        }
        checkOrder(path, pipeline, indexOf);
    }

    void checkStage(const std::string& path, const schema::stage& stage)
    {
        requireValue(stage.kind() != schema::stage::unspecified, path + ".kind");
        requireValue(!stage.pool().empty(), path + ".pool");
        const auto pool = m_config.pools().find(stage.pool());
        const auto requiredKind = poolKindFor(stage.kind());
        if (!stage.pool().empty() && pool == m_config.pools().end()) {
            add(path + ".pool", fmt::format("unknown pool \"{}\"", stage.pool()));
        } else if (pool != m_config.pools().end() && requiredKind && pool->second.kind()
            && pool->second.kind() != requiredKind) {
            add(path + ".pool",
                fmt::format("pool \"{}\" is of kind {}, a stage of kind {} needs kind {}", stage.pool(),
                    schema::pool::kind_type_Name(pool->second.kind()), schema::stage::kind_type_Name(stage.kind()),
                    schema::pool::kind_type_Name(requiredKind)));
        }
        const bool isCall = stage.kind() == schema::stage::call;
        const bool isGenerate = stage.kind() == schema::stage::generate;
        checkKindOnlyKey(isGenerate, !stage.model().empty(), path + ".model", "generate");
        checkKindOnlyKey(isGenerate, stage.max_tokens(), path + ".max_tokens", "generate");
        checkKindOnlyKey(isCall, !stage.operation().empty(), path + ".operation", "call");
        if (stage.non_idempotent() && !isCall)
            add(path + ".non_idempotent", fmt::format("\"{}\" is for stages of kind call", path + ".non_idempotent"));
        // A skipped non-idempotent call, such as a transfer, would be reported as completed although it did not run.
        if (stage.non_idempotent() && stage.skippable())
            add(path + ".skippable", fmt::format("\"{}\" is non-idempotent and may not be skippable", path));
    }

    // The key is required for stages of this kind and forbidden for others.
    void checkKindOnlyKey(bool isKind, bool hasValue, const std::string& path, std::string_view kind)
    {
        if (isKind)
            requireValue(hasValue, path);
        else if (hasValue)
            add(path, fmt::format("\"{}\" is for stages of kind {}", path, kind));
    }

    void checkOrder(
        const std::string& path, const schema::pipeline& pipeline, const std::map<std::string, std::size_t>& indexOf)
    {
        stage_graph before(static_cast<std::size_t>(pipeline.stages_size()));
        for (int i = 0; i < pipeline.stages_size(); ++i) {
            const schema::stage& stage = pipeline.stages(i);
            auto& edges = before[static_cast<std::size_t>(i)];
            if (stage.after().empty() && i > 0)
                edges.push_back(static_cast<std::size_t>(i) - 1);
            for (const std::string& name : stage.after()) {
                const auto found = indexOf.find(name);
                if (found != indexOf.end())
                    edges.push_back(found->second);
                else
                    add(path + ".stages." + elementName(stage, i) + ".after",
                        fmt::format("unknown stage \"{}\"", name));
            }
        }
        std::vector<visit_state> states(before.size(), visit_state::New);
        for (std::size_t i = 0; i < before.size(); ++i) {
            std::vector<std::size_t> currentPath;
            if (states[i] != visit_state::New)
                continue;
            const auto cycle = findCycle(before, i, states, currentPath);
            if (cycle.empty())
                continue;
            std::string text;
            for (const std::size_t stage : cycle)
                text += fmt::format("\"{}\" after ", pipeline.stages(static_cast<int>(stage)).name());
            text += fmt::format("\"{}\"", pipeline.stages(static_cast<int>(cycle.front())).name());
            add(path + ".stages." + pipeline.stages(static_cast<int>(cycle.front())).name() + ".after",
                fmt::format("the stages of \"{}\" form a cycle: {}", path, text));
            return;
        }
    }

    void checkTeam(const std::string& name, const schema::team& team)
    {
        const std::string path = "teams." + name;
        if (team.token_sha256().empty() && !isSet(path + ".token_sha256"))
            add(path, fmt::format("\"{}\" has no token", path));
        for (const std::string& token : team.token_sha256()) {
            if (!isSha256Hex(token)) {
                add(path + ".token_sha256", "a token must be given as 64 lower case hex digits of its SHA-256");
                continue;
            }
            const auto [owner, isNew] = m_teamOfToken.emplace(token, name);
            if (!isNew)
                add(path + ".token_sha256", fmt::format("\"{}\" has a token of team \"{}\"", path, owner->second));
        }
        for (const std::string& pipeline : team.pipelines()) {
            if (!m_config.pipelines().contains(pipeline))
                add(path + ".pipelines", fmt::format("unknown pipeline \"{}\"", pipeline));
        }
    }

    // The holder of a claim must have stopped sending before other VMs report the outcome as unknown, which must happen
    // before operators may settle the claim.
    void checkClaims()
    {
        const schema::claims_options& claims = m_config.claims();
        if (claims.send_window_ms() >= claims.outcome_wait_ms())
            add("claims.send_window_ms", "claims.send_window_ms must be less than claims.outcome_wait_ms");
        if (claims.outcome_wait_ms() >= claims.settle_wait_ms())
            add("claims.outcome_wait_ms", "claims.outcome_wait_ms must be less than claims.settle_wait_ms");
    }

    const schema::configuration& m_config;
    std::map<std::string, std::string> m_serverOfAddress;
    std::map<std::string, std::string> m_teamOfToken;
};

class settings_checker : checker {
public:
    using checker::checker;

    void check(const schema::daemon_settings& settings)
    {
        requireText(settings.vm(), "vm");
        requireText(settings.site(), "site");
        requireText(settings.region(), "region");
        requireText(settings.zone(), "zone");
        requireText(settings.resume_key_file(), "resume_key_file");
        requireAddress(settings.caller_address(), "caller_address", port_rule::MayBeChosenBySystem);
        requireAddress(settings.operator_address(), "operator_address", port_rule::MayBeChosenBySystem);
        checkOptional(settings.log_address(), "log_address", port_rule::Fixed);
        checkOptional(settings.vm_list_address(), "vm_list_address", port_rule::Fixed);
        if (!isSha256Hex(settings.operator_token_sha256()))
            add("operator_token_sha256", "\"operator_token_sha256\" must be 64 lower case hex digits of a SHA-256");
        if (settings.vm().find_first_of(". \t\n") != std::string::npos)
            add("vm", "\"vm\" must not contain dots or white space");
        checkConfigSource(settings);
    }

private:
    void checkOptional(const std::string& value, const std::string& path, port_rule rule)
    {
        if (!value.empty())
            requireAddress(value, path, rule);
    }

    // Next to the log, a file would be a second source of versions that may differ between VMs.
    void checkConfigSource(const schema::daemon_settings& settings)
    {
        if (settings.log_address().empty() == settings.config_file().empty())
            add("config_file", "exactly one of \"log_address\" and \"config_file\" must be set");
        if (!settings.overlay_file().empty() && settings.config_file().empty())
            add("overlay_file", "\"overlay_file\" needs \"config_file\"");
    }
};

} // namespace

bool isAddress(std::string_view text, port_rule rule)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, code] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (code != std::errc() || end != portText.data() + portText.size())
        return false;
    if (!port && rule == port_rule::Fixed)
        return false;
    std::string host(text.substr(0, colon));
    in6_addr number {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &number) == 1;
    return inet_pton(AF_INET, host.c_str(), &number) == 1;
}

void checkConfiguration(
    const schema::configuration& config, const key_places& places, std::string_view file, findings& problems)
{
    configuration_checker(config, places, file, problems).check();
}

void checkSettings(
    const schema::daemon_settings& settings, const key_places& places, std::string_view file, findings& problems)
{
    settings_checker(places, file, problems).check(settings);
}

} // namespace balsamspring::internal

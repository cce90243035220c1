#include "balsamspring/config/config.h"

#include "balsamspring/config/config_checks.h"
#include "balsamspring/config/field_rules.h"
#include "balsamspring/config/toml_reader.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <tuple>

#include <fmt/core.h>
#include <google/protobuf/descriptor.h>

namespace balsamspring {

namespace {

using internal::file_role;
using internal::key_places;

using site_configurations = std::map<std::string, schema::configuration, std::less<>>;

constexpr std::string_view commandLineFile = "command line";

// Findings in the base file occur once per site; duplicates are dropped.
findings withoutDuplicates(const findings& problems)
{
    findings unique;
    std::set<std::tuple<std::string, std::uint32_t, std::uint32_t, std::string>> seen;
    for (const finding& item : problems.items()) {
        if (seen.emplace(item.place.file, item.place.line, item.place.column, item.message).second)
            unique.add(item.place, item.message);
    }
    return unique;
}

struct parsed_base {
    schema::configuration config;
    key_places places;
};

parsed_base parseBase(const config_text& base, findings& problems)
{
    parsed_base parsedBase;
    internal::readToml(base.file, base.text, file_role::Base, internal::configurationRules(), parsedBase.config,
        parsedBase.places, problems);
    return parsedBase;
}

schema::configuration mergeSite(
    const parsed_base& base, std::string_view baseFile, const config_text* overlay, findings& problems)
{
    schema::configuration config = base.config;
    key_places places = base.places;
    if (overlay) {
        internal::readToml(
            overlay->file, overlay->text, file_role::Overlay, internal::configurationRules(), config, places, problems);
    }
    internal::applyDefaults(internal::configurationRules(), places, config);
    internal::checkConfiguration(config, places, overlay ? overlay->file : baseFile, problems);
    return config;
}

checked<config_text> readFile(const std::string& file)
{
    std::ifstream input(file, std::ios::binary);
    std::string text { std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>() };
    if (input.is_open() && !input.bad())
        return config_text { file, std::move(text) };
    findings problems;
    problems.add({ file, 0, 0 }, "the file cannot be read");
    return tl::make_unexpected(std::move(problems));
}

std::string tomlString(std::string_view text)
{
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out + "\"";
}

// Formats a command line option as TOML. Values of string keys are given without quotes on the command line.
std::string overrideText(const std::string& key, const std::string& value)
{
    using google::protobuf::FieldDescriptor;
    const auto* field = schema::daemon_settings::descriptor()->FindFieldByName(key);
    const bool isString = field && field->cpp_type() == FieldDescriptor::CPPTYPE_STRING;
    return fmt::format("{} = {}\n", field ? key : tomlString(key), isString || !field ? tomlString(value) : value);
}

} // namespace

checked<config_sources> readConfigFiles(const std::string& baseFile, const std::vector<std::string>& overlayFiles)
{
    findings problems;
    config_sources sources;
    if (auto base = readFile(baseFile))
        sources.base = std::move(*base);
    else
        problems.append(base.error());
    for (const std::string& file : overlayFiles) {
        auto overlay = readFile(file);
        const std::string site = std::filesystem::path(file).stem().string();
        if (!overlay)
            problems.append(overlay.error());
        else if (!sources.overlays.emplace(site, std::move(*overlay)).second)
            problems.add({ file, 0, 0 }, fmt::format("site \"{}\" has two overlays", site));
    }
    if (!problems.empty())
        return tl::make_unexpected(std::move(problems));
    return sources;
}

checked<schema::configuration> loadConfiguration(const config_sources& sources, std::string_view site)
{
    findings problems;
    const auto overlay = sources.overlays.find(site);
    if (!sources.overlays.empty() && overlay == sources.overlays.end())
        problems.add({ sources.base.file, 0, 0 }, fmt::format("site \"{}\" has no overlay", site));
    const parsed_base base = parseBase(sources.base, problems);
    schema::configuration config
        = mergeSite(base, sources.base.file, overlay == sources.overlays.end() ? nullptr : &overlay->second, problems);
    if (!problems.empty())
        return tl::make_unexpected(withoutDuplicates(problems));
    return config;
}

checked<site_configurations> loadAllSites(const config_sources& sources)
{
    findings problems;
    site_configurations sites;
    const parsed_base base = parseBase(sources.base, problems);
    if (sources.overlays.empty())
        sites[""] = mergeSite(base, sources.base.file, nullptr, problems);
    for (const auto& [site, overlay] : sources.overlays)
        sites[site] = mergeSite(base, sources.base.file, &overlay, problems);
    if (!problems.empty())
        return tl::make_unexpected(withoutDuplicates(problems));
    return sites;
}

checked<schema::daemon_settings> loadSettings(
    const config_text& source, const std::vector<std::pair<std::string, std::string>>& overrides)
{
    findings problems;
    schema::daemon_settings settings;
    key_places places;
    const auto rules = internal::settingsRules();
    internal::readToml(source.file, source.text, file_role::Base, rules, settings, places, problems);
    for (const auto& [key, value] : overrides) {
        internal::readToml(
            commandLineFile, overrideText(key, value), file_role::Base, rules, settings, places, problems);
    }
    internal::applyDefaults(rules, places, settings);
    internal::checkSettings(settings, places, source.file, problems);
    if (!problems.empty())
        return tl::make_unexpected(std::move(problems));
    return settings;
}

checked<schema::daemon_settings> loadSettingsFile(
    const std::string& file, const std::vector<std::pair<std::string, std::string>>& overrides)
{
    const auto source = readFile(file);
    if (!source)
        return tl::make_unexpected(source.error());
    return loadSettings(*source, overrides);
}

} // namespace balsamspring

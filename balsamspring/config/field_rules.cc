#include "balsamspring/config/field_rules.h"

#include <array>

namespace balsamspring::internal {

namespace {

constexpr double dayMs = 24.0 * 60 * 60 * 1000;
constexpr double hourMs = 60.0 * 60 * 1000;
constexpr double maxPriority = 7;

constexpr std::array configurationTable {
    field_rule { "pools.*.concurrency", {}, 0, 100'000 },
    field_rule { "pipelines.*.deadline_ms", 6'000, 1, hourMs },
    field_rule { "pipelines.*.priority", 1, 0, maxPriority },
    field_rule { "pipelines.*.linger_ms", 5'000, 0, 10 * 60'000 },
    field_rule { "pipelines.*.stages.*.max_tokens", {}, 1, 1'000'000 },
    field_rule { "pipelines.*.stages.*.timeout_ms", {}, 0, hourMs },
    field_rule { "teams.*.weight", 1, 1, 1'000 },
    field_rule { "teams.*.requests_per_second", {}, 0, 1'000'000 },
    field_rule { "teams.*.priority", 0, 0, maxPriority },
    field_rule { "claims.partitions", 8, 1, 1'024 },
    field_rule { "claims.send_window_ms", 2'000, 1, hourMs },
    field_rule { "claims.outcome_wait_ms", 30'000, 1, hourMs },
    field_rule { "claims.settle_wait_ms", 600'000, 1, dayMs },
};

constexpr std::array settingsTable {
    field_rule { "traffic_threads", 4, 1, 256 }, field_rule { "platform_timeout_ms", 1'000, 1, 60'000 },
    field_rule { "log_retention_s", 24.0 * 60 * 60, 60, 366.0 * 24 * 60 * 60 },
    field_rule { "drain_limit_ms", 0, 0, hourMs }, // 0: the longest deadline plus 5 s.
};

constexpr std::array<std::string_view, 6> overlayKeys {
    "pools.*.servers.*.address",
    "pools.*.servers.*.zone",
    "pools.*.servers.*.models",
    "pools.*.concurrency",
    "teams.*.requests_per_second",
    "pipelines.*.stages.*.timeout_ms",
};

constexpr std::string_view overlayAdditions = "pools.*.servers.*";

std::string_view nextElement(std::string_view& rest)
{
    const auto dot = rest.find('.');
    const std::string_view element = rest.substr(0, dot);
    rest = dot == std::string_view::npos ? std::string_view() : rest.substr(dot + 1);
    return element;
}

} // namespace

std::span<const field_rule> configurationRules() { return configurationTable; }

std::span<const field_rule> settingsRules() { return settingsTable; }

bool matchesPath(std::string_view pattern, std::string_view path)
{
    while (!pattern.empty() && !path.empty()) {
        const std::string_view expected = nextElement(pattern);
        const std::string_view found = nextElement(path);
        if (expected != "*" && expected != found)
            return false;
    }
    return pattern.empty() && path.empty();
}

const field_rule* findRule(std::span<const field_rule> rules, std::string_view path)
{
    for (const field_rule& rule : rules) {
        if (matchesPath(rule.path, path))
            return &rule;
    }
    return nullptr;
}

bool overlayMaySet(std::string_view path)
{
    for (const std::string_view key : overlayKeys) {
        if (matchesPath(key, path))
            return true;
    }
    return false;
}

bool overlayMayAdd(std::string_view path) { return matchesPath(overlayAdditions, path); }

std::string overlayKeysText()
{
    std::string text;
    for (const std::string_view key : overlayKeys) {
        if (!text.empty())
            text += ", ";
        text += key;
    }
    return text;
}

} // namespace balsamspring::internal

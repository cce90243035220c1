#include "balsamspring/base/random.h"
#include "balsamspring/config/config.h"

#include <catch2/catch.hpp>

using namespace balsamspring;

namespace {

const std::string baseText = R"(
[pools.engines]
kind = "engine"
[pools.ledger]
kind = "service"
[pipelines.report]
deadline_ms = 9000
[[pipelines.report.stages]]
name = "draft"
kind = "generate"
pool = "engines"
model = "m"
max_tokens = 900
[[pipelines.report.stages]]
name = "post"
kind = "call"
pool = "ledger"
operation = "post"
non_idempotent = true
[teams.judges]
token_sha256 = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
)";

const std::string siteText = R"(
[pools.engines.servers]
e1 = { address = "127.0.0.1:9001", zone = "a", models = ["m"] }
[pools.ledger.servers]
l1 = { address = "127.0.0.1:9002", zone = "a" }
[pipelines.report.stages.draft]
timeout_ms = 4000
)";

config_sources sourcesOf(const std::string& base, const std::string& overlay)
{
    return { { "base.toml", base }, { { "north", { "north.toml", overlay } } } };
}

std::string findingsOf(const std::string& base, const std::string& overlay)
{
    const auto loaded = loadConfiguration(sourcesOf(base, overlay), "north");
    return loaded ? std::string() : loaded.error().toText();
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("the overlay of a site is merged into the base and unset keys get their defaults")
{
    const auto loaded = loadConfiguration(sourcesOf(baseText, siteText), "north");
    if (!loaded)
        FAIL(loaded.error().toText());
    const schema::pipeline& report = loaded->pipelines().at("report");
    REQUIRE(loaded->pools().at("engines").servers().at("e1").models(0) == "m");
    REQUIRE(report.stages(0).timeout_ms() == 4000);
    REQUIRE(report.stages_size() == 2);
    REQUIRE(report.deadline_ms() == 9000);
    REQUIRE(report.priority() == 1);
    REQUIRE(loaded->claims().partitions() == 8);
}

TEST_CASE("each kind of invalid configuration is reported with its location")
{
    struct fault {
        std::string from, to, expected;
    };
    const std::vector<fault> faults {
        { "deadline_ms = 9000", "deadlin_ms = 9000", "base.toml:7:1: unknown key \"deadlin_ms\"" },
        { "deadline_ms = 9000", "deadline_ms = \"9 s\"",
            "base.toml:7:15: \"pipelines.report.deadline_ms\" must be an integer, not a string" },
        { "deadline_ms = 9000", "deadline_ms = -5",
            "base.toml:7:15: \"pipelines.report.deadline_ms\" is -5, must be from 1" },
        { "deadline_ms = 9000", "deadline_ms = 0", "is 0, must be from 1" },
        { "deadline_ms = 9000", "deadline_ms = ", "base.toml:7:1" },
        { "deadline_ms = 9000", "priority = 8", "is 8, must be from 0 to 7" },
        { "kind = \"generate\"", "kind = \"gnerate\"", "base.toml:10:8: unknown kind \"gnerate\"" },
        { "kind = \"generate\"", "", "\"pipelines.report.stages.draft.kind\" is missing" },
        { "pool = \"engines\"", "pool = \"engine\"", "base.toml:11:1: unknown pool \"engine\"" },
        { "pool = \"engines\"", "pool = \"ledger\"",
            "pool \"ledger\" is of kind service, a stage of kind generate needs kind engine" },
        { "max_tokens = 900", "max_tokens = 900\nafter = [\"post\"]",
            "form a cycle: \"draft\" after \"post\" after \"draft\"" },
        { "max_tokens = 900", "max_tokens = 900\nafter = [\"x\"]", "unknown stage \"x\"" },
        { "max_tokens = 900", "max_tokens = 900\noperation = \"x\"", "is for stages of kind call" },
        { "non_idempotent = true", "non_idempotent = true\nskippable = true", "may not be skippable" },
        { "name = \"post\"", "name = \"draft\"", "two stages named \"draft\"" },
        { "[teams.judges]", "[pipelines.empty]\n[teams.judges]", "\"pipelines.empty\" has no stage" },
        { "[teams.judges]", "[pools.engines]\n[teams.judges]", "base.toml:20:" },
        { "[teams.judges]",
            "[teams.other]\ntoken_sha256 = "
            "[\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"]\n[teams.judges]",
            "has a token of team" },
        { "[teams.judges]", "[teams.judges]\npipelines = [\"x\"]", "unknown pipeline \"x\"" },
        { "[pools.engines]", "[pools.\"a.b\"]", "name \"a.b\" must be" },
        { "[pools.engines]", "x = 1\n[pools.engines]", "unknown key \"x\" in the top level" },
    };
    for (const fault& item : faults) {
        const std::string found = findingsOf(replaced(baseText, item.from, item.to), siteText);
        INFO(item.to << " gave " << found);
        CHECK(found.find(item.expected) != std::string::npos);
    }
}

TEST_CASE("an overlay may set only permitted keys of existing entries")
{
    CHECK(findingsOf(baseText, siteText + "[pipelines.report]\ndeadline_ms = 1\n")
              .find("an overlay may not state \"pipelines.report.deadline_ms\"")
        != std::string::npos);
    CHECK(findingsOf(baseText, siteText + "[teams.new]\nrequests_per_second = 1\n")
              .find("\"teams.new\" does not exist in the base file")
        != std::string::npos);
    CHECK(findingsOf(baseText, siteText + "[pipelines.report.stages.x]\n").find("does not exist in the base file")
        != std::string::npos);
    CHECK(findingsOf(baseText, replaced(siteText, "9002", "9001")).find("is also that of") != std::string::npos);
    CHECK(findingsOf(baseText, replaced(siteText, "127.0.0.1:9002", "ledger:1")).find("must be an IP number")
        != std::string::npos);
}

TEST_CASE("all findings of all files are reported together")
{
    const auto loaded = loadAllSites(sourcesOf(
        replaced(baseText, "deadline_ms = 9000", "deadlin_ms = 9000"), siteText + "[claims]\npartitions = 4\n"));
    REQUIRE_FALSE(loaded);
    REQUIRE(loaded.error().items().size() == 2);
}

TEST_CASE("corrupted files produce findings and no exception")
{
    random_engine random(7);
    int rejectedCount = 0;
    for (int i = 0; i < 2000; ++i) {
        std::string text = baseText;
        for (int corruption = 0; corruption < 3; ++corruption)
            text[uniformBelow(random, static_cast<std::uint32_t>(text.size()))] = static_cast<char>(random());
        const auto loaded = loadAllSites(sourcesOf(text, siteText));
        rejectedCount += !loaded;
        REQUIRE((loaded || !loaded.error().empty()));
    }
    REQUIRE(rejectedCount > 1000);
}

TEST_CASE("settings apply defaults and command line options and require exactly one source of configuration")
{
    const std::string text = "vm = \"v1\"\nsite = \"north\"\nregion = \"nl\"\nzone = \"a\"\n"
                             "caller_address = \"127.0.0.1:0\"\noperator_address = \"127.0.0.1:0\"\n"
                             "resume_key_file = \"key\"\noperator_token_sha256 = \""
        + std::string(64, 'b') + "\"\n";
    const auto settings
        = loadSettings({ "s.toml", text }, { { "log_address", "127.0.0.1:7000" }, { "traffic_threads", "6" } });
    if (!settings)
        FAIL(settings.error().toText());
    REQUIRE(settings->traffic_threads() == 6);
    REQUIRE(settings->platform_timeout_ms() == 1000);
    REQUIRE(loadSettings({ "s.toml", text }).error().toText().find("exactly one of") != std::string::npos);
    REQUIRE(loadSettings({ "s.toml", text }, { { "vmm", "v" } }).error().toText().find("command line:1:1: unknown key")
        != std::string::npos);
}

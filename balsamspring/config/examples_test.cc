// Checks that the example files remain valid when the schema or the validation changes.
#include "balsamspring/config/config_digest.h"

#include <catch2/catch.hpp>

using namespace balsamspring;

namespace {

const std::string folder = BALSAMSPRING_EXAMPLES;

config_sources exampleSources()
{
    const auto sources = readConfigFiles(
        folder + "/base.toml", { folder + "/overlays/nl-west.toml", folder + "/overlays/qc-est.toml" });
    if (!sources)
        FAIL(sources.error().toText());
    return *sources;
}

} // namespace

TEST_CASE("the example configuration is valid at both sites and differs only in permitted keys")
{
    const auto sites = loadAllSites(exampleSources());
    if (!sites)
        FAIL(sites.error().toText());
    const schema::configuration& west = sites->at("nl-west");
    const schema::configuration& east = sites->at("qc-est");
    REQUIRE(west.pipelines_size() == 9);
    REQUIRE(west.pools().at("engines").servers_size() + west.pools().at("engines-legacy").servers_size() == 12);
    REQUIRE(east.pools().at("engines").servers_size() + east.pools().at("engines-legacy").servers_size() == 9);
    for (const char* pipeline : { "entry-registration", "prize-award", "pot-transfer" })
        REQUIRE(west.pipelines().at(pipeline).stages(0).non_idempotent());
    for (const config_change& change : diffConfigurations(west, east)) {
        INFO(change.path);
        const bool isSiteKey = change.path.find(".servers.") != std::string::npos
            || change.path.ends_with(".concurrency") || change.path.ends_with(".requests_per_second")
            || change.path.ends_with(".timeout_ms");
        REQUIRE(isSiteKey);
    }
}

TEST_CASE("the example settings are valid")
{
    const auto settings = loadSettingsFile(folder + "/nl-west-settings.toml");
    if (!settings)
        FAIL(settings.error().toText());
    REQUIRE(exampleSources().overlays.contains(settings->site()));
}

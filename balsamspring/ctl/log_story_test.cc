#include "balsamspring/ctl/log_story.h"

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <catch2/catch.hpp>

using namespace balsamspring;

namespace {

std::string readFile(const std::filesystem::path& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Sources of the gateway and of its program.
std::string gatewaySources()
{
    const std::filesystem::path root = BALSAMSPRING_SOURCE_DIR;
    std::string text = readFile(root / "apps" / "balsamspring-gateway.cc");
    for (const auto& item : std::filesystem::directory_iterator(root / "balsamspring" / "gateway")) {
        const std::string name = item.path().filename().string();
        if (name.ends_with(".cc") && !name.ends_with("_test.cc"))
            text += readFile(item.path());
    }
    return text;
}

std::set<std::string> matches(const std::string& text, const std::regex& pattern)
{
    std::set<std::string> found;
    for (auto match = std::sregex_iterator(text.begin(), text.end(), pattern); match != std::sregex_iterator(); ++match)
        found.insert((*match)[1].str());
    return found;
}

} // namespace

TEST_CASE("lines of several VMs become one story in order of time")
{
    std::istringstream log(
        "vm-2 time=2026-01-01T00:00:02.000Z level=warn event=request_done id=ab route=r outcome=refused "
        "reason=keys_unconfirmed proof_age_ms=4800\n"
        "noise\n"
        "vm-1 time=2026-01-01T00:00:01.000Z level=warn event=call_failed id=ab how=lost why=\"a \\\"b\\\" c\"\n"
        "vm-1 time=2026-01-01T00:00:01.500Z level=info event=request_done id=cd outcome=served reason=complete\n");
    const request_story story = explainRequest(log, "ab");
    REQUIRE(story.entries.size() == 2);
    CHECK(story.entries[0].event == "call_failed");
    CHECK(story.entries[0].source == "vm-1");
    CHECK(story.entries[0].fields.at("why") == "a \"b\" c");
    CHECK(story.cause.find("trust any key") != std::string::npos);
}

TEST_CASE("failures are counted by cause and an unknown reason is not explained")
{
    std::istringstream log("time=1 event=request_done outcome=refused reason=stage_refused\n"
                           "time=1 event=request_done outcome=failed reason=status_503\n"
                           "time=1 event=request_done outcome=failed reason=mystery\n"
                           "time=1 event=request_done outcome=served reason=complete\n");
    const failure_summary summary = explainFailures(log);
    CHECK(summary.failed == 3);
    CHECK(summary.explained == 2);
    CHECK(summary.byCause.at("refused/stage_refused") == 1);
}

TEST_CASE("every event of the gateway's logs and every reason is on the operators' page")
{
    const std::string page = readFile(std::filesystem::path(BALSAMSPRING_SOURCE_DIR) / "docs" / "OPERATIONS.md");
    const std::string sources = gatewaySources();
    const std::set<std::string> events = matches(sources, std::regex("logLine\\([^,]*,[^,\"]*\"([a-z_]+)\""));
    CHECK(events.size() > 15);
    for (const std::string& event : events) {
        INFO(event);
        CHECK(page.find("`" + event + "`") != std::string::npos);
    }
    for (const std::string& reason : knownReasons()) {
        INFO(reason);
        CHECK(page.find("`" + reason + "`") != std::string::npos);
    }
}

TEST_CASE("every reason that a session can end with is explained")
{
    const std::string sources = gatewaySources();
    for (const char* pattern : { "giveUp\\(\"([a-z_]+)\"", "failAfterSend\\(\"([a-z_]+)\"",
             "refuse\\(status[A-Za-z]+, \"([a-z_]+)\"", "abortResponse\\(\"([a-z_]+)\"",
             "call_failure::[A-Za-z]+, \"([a-z_]+)\"", "rejectIfWaiting\\(\"([a-z_]+)\"" }) {
        for (const std::string& reason : matches(sources, std::regex(pattern))) {
            INFO(reason);
            CHECK(describeReason("refused", reason));
        }
    }
    // Why a silent stream was given up.
    const std::string watch
        = readFile(std::filesystem::path(BALSAMSPRING_SOURCE_DIR) / "balsamspring" / "gateway" / "stream_watch.cc");
    const std::set<std::string> losses = matches(watch, std::regex("return \"([a-z_]+)\""));
    CHECK(losses.size() > 5);
    for (const std::string& reason : losses) {
        INFO(reason);
        CHECK((reason == "none" || describeReason("broken", reason)));
    }
}

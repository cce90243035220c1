// Entry point of the test programs. Without arguments it skips and prints the cases that KNOWN-RED.txt lists for the
// program; a case that is named on the command line always runs.
//
// An entry of KNOWN-RED.txt begins with a line `case: <program>: <test case name>`.
//
// BALSAMSPRING_TEST_SPEC selects cases beside that, so that parts of a program are tests of their own: a pattern of
// names, or [#source] for the cases of a source file (its name without extension).
#define CATCH_CONFIG_RUNNER
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include <catch2/catch.hpp>

namespace {

std::string knownRedFilter(const std::string& program)
{
    std::ifstream file(BALSAMSPRING_KNOWN_RED);
    const std::string prefix = "case: " + program + ": ";
    std::string filter;
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(prefix, 0))
            continue;
        const std::string name = line.substr(prefix.size());
        std::cout << "known red, skipped: " << program << ": " << name << "\n";
        filter += "~\"" + name + "\" ";
    }
    return filter;
}

} // namespace

int main(int argc, char** argv)
{
    Catch::Session session;
    const int code = session.applyCommandLine(argc, argv);
    if (code)
        return code;
    if (session.configData().testsOrTags.empty()) {
        std::string filter = knownRedFilter(std::filesystem::path(argv[0]).filename().string());
        if (const char* spec = std::getenv("BALSAMSPRING_TEST_SPEC")) {
            session.configData().filenamesAsTags = true;
            filter = std::string(spec) + " " + filter;
        }
        if (!filter.empty())
            session.configData().testsOrTags.push_back(filter);
    }
    return session.run();
}

// The logic of balsamspringctl: parses a command line, runs one command and returns the exit code.
#pragma once

#include "balsamspring/base/time.h"
#include "balsamspring/ctl/operator_api.h"

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace balsamspring {

enum class exit_code : std::uint8_t {
    Done = 0,
    Refused = 1, // findings, a lost race, an unknown id: repeating the command does not help
    Usage = 2,
    Unreachable = 3, // no answer; an operation may have taken effect
    NotEverywhere = 4, // published, but some VM did not report the version in time
};

// What a command may use of the world.
struct ctl_environment {
    std::ostream& out;
    std::ostream& err;
    std::function<std::unique_ptr<operator_api>(const std::string& address, const std::string& token, duration)>
        connect;
    std::function<mono_time()> now;
    std::function<void(duration)> sleep;
    std::function<std::string()> newId; // unique ids of proposals
    std::function<std::string(const char* name)> variable; // environment variable or ""
};

// `arguments` without the program name.
exit_code runCtl(const std::vector<std::string>& arguments, const ctl_environment& environment);

// Environment of a real process.
ctl_environment processEnvironment();

} // namespace balsamspring

// Command line of balsamspringctl.
#pragma once

#include "balsamspring/base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring::internal {

struct ctl_options {
    std::vector<std::string> words; // command and its arguments
    bool help = false;
    bool version = false;
    bool json = false;
    std::string address;
    std::string tokenFile;
    double timeoutSeconds = 0; // of one call
    std::string site;
    std::vector<std::string> against; // base file, then overlays
    std::optional<std::uint64_t> baseVersion;
    std::string author;
    std::string id;
    double waitSeconds = 0;
    std::string verdict;
    std::string note;
};

// Error `InvalidArgument` with the reason.
result<ctl_options> parseOptions(const std::vector<std::string>& arguments);

std::string helpText();

} // namespace balsamspring::internal

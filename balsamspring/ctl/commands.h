// Commands of balsamspringctl.
#pragma once

#include "balsamspring/config/config_api.h"
#include "balsamspring/ctl/ctl.h"
#include "balsamspring/ctl/options.h"

#include <optional>
#include <string>

namespace balsamspring::internal {

// One command line being run.
class ctl_session {
public:
    ctl_session(const ctl_options& options, const ctl_environment& environment)
        : m_options(options)
        , m_environment(environment)
    {
    }

    exit_code run();

private:
    exit_code runConfig();
    exit_code runCall();

    exit_code explainRequestId();
    exit_code listFailures();
    exit_code checkFiles();
    exit_code mergeFiles();
    exit_code diffFiles();
    exit_code publishFiles();
    exit_code waitUntilDecided(const proposal_request& request);
    exit_code waitEverywhere(config_version version, const std::string& digest);
    exit_code reportWait(config_version version, bool isEverywhere, const std::vector<std::string>& lagging);

    // Calls the operator API and prints the reply.
    exit_code show(const std::string& method, const std::string& path, const std::string& body = {});

    // Nothing after an exit code was set and the reason printed.
    std::optional<config_sources> readSources(const std::vector<std::string>& files);
    std::optional<config_report> fetchReport();

    operator_api* api(); // null when the token cannot be read
    exit_code fail(exit_code code, const std::string& message);
    exit_code failWith(const findings& problems);
    exit_code usage(const std::string& message);
    exit_code unreachable(const error& failure);
    exit_code refused(const operator_reply& reply);

    // Words after the command itself.
    std::vector<std::string> filesFrom(std::size_t first) const;

    const ctl_options& m_options;
    const ctl_environment& m_environment;
    std::unique_ptr<operator_api> m_api;
    exit_code m_code = exit_code::Done;
};

// True for an HTTP status that means "ask again later", not "no".
bool isTemporary(int status);

// One element of a URL path.
std::string encodePath(const std::string& text);

} // namespace balsamspring::internal

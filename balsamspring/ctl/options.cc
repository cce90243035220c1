#include "balsamspring/ctl/options.h"

#include <sstream>

#include <boost/program_options.hpp>

namespace balsamspring::internal {

namespace {

namespace po = boost::program_options;

constexpr double defaultTimeoutSeconds = 5;
constexpr double defaultWaitSeconds = 60;
constexpr double longestSeconds = 24.0 * 60 * 60;

po::options_description describe(ctl_options& options)
{
    po::options_description described("Options");
    auto add = described.add_options();
    add("help,h", po::bool_switch(&options.help), "print this text");
    add("version", po::bool_switch(&options.version), "print the version");
    add("json", po::bool_switch(&options.json), "print JSON");
    add("address", po::value(&options.address),
        "operator API, IP number and port (default: BALSAMSPRING_OPERATOR, else 127.0.0.1:8081)");
    add("token-file", po::value(&options.tokenFile),
        "file with the operator token (default: the variable BALSAMSPRING_OPERATOR_TOKEN)");
    add("timeout", po::value(&options.timeoutSeconds)->default_value(defaultTimeoutSeconds), "seconds for one call");
    add("site", po::value(&options.site), "site to merge");
    add("against", po::value(&options.against)->composing(),
        "older base file, then its overlays, one option each (default: the version in force)");
    add("base-version", po::value<std::uint64_t>(), "version that the proposal is based on (default: in force)");
    add("author", po::value(&options.author), "name of the operator (default: USER)");
    add("id", po::value(&options.id), "id of a proposal that is repeated");
    add("wait", po::value(&options.waitSeconds)->default_value(defaultWaitSeconds),
        "seconds until the version is in force everywhere");
    add("verdict", po::value(&options.verdict), "ran or not_run");
    add("note", po::value(&options.note), "what the settlement is based on");
    return described;
}

bool isDuration(double seconds) { return seconds > 0 && seconds <= longestSeconds; }

} // namespace

result<ctl_options> parseOptions(const std::vector<std::string>& arguments)
{
    ctl_options options;
    po::options_description all = describe(options);
    all.add_options()("words", po::value(&options.words));
    po::positional_options_description positional;
    positional.add("words", -1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(arguments).options(all).positional(positional).run(), values);
        po::notify(values);
        if (values.contains("base-version"))
            options.baseVersion = values["base-version"].as<std::uint64_t>();
    } catch (const po::error& failure) {
        return makeError(error_code::InvalidArgument, failure.what());
    }
    if (!isDuration(options.timeoutSeconds) || !isDuration(options.waitSeconds))
        return makeError(error_code::InvalidArgument, "a time must be above 0 and at most a day");
    return options;
}

std::string helpText()
{
    ctl_options unused;
    std::ostringstream text;
    text << R"(balsamspringctl COMMAND [OPTION...]

Commands on files:
  config check BASE [OVERLAY...]        report all findings of all sites
  config merge BASE [OVERLAY...]        print the configuration of --site and the digest
  config diff BASE [OVERLAY...]         print the changed keys of each site

Commands on logs of gateways (files, or standard input):
  explain ID [FILE...]                  the story of a request and why it ended as it did
  failures [FILE...]                    how requests failed, by cause, and the share that is explained

Commands on a running system:
  config publish BASE [OVERLAY...]      publish and wait until in force everywhere
  config history                        the latest accepted proposals
  status                                state of the VM
  backends                              backend servers as the VM sees them
  request ID                            state of a request
  call KEY                              state of a non-idempotent call
  call settle KEY --verdict V --note N  state whether a call of unknown outcome ran
  drain                                 graceful shutdown of the VM

The site of an overlay is its file name without ".toml".

)" << describe(unused)
         << R"(
Exit codes:
  0  done
  1  refused: findings, a lost race, an unknown id
  2  wrong usage
  3  no answer; an operation may have taken effect
  4  published, but not reported by every VM in time
)";
    return text.str();
}

} // namespace balsamspring::internal

// The entry daemon.
#include "balsamspring/backend/http_backend_client.h"
#include "balsamspring/base/log.h"
#include "balsamspring/config/config.h"
#include "balsamspring/emulator/model_engine.h"
#include "balsamspring/emulator/plain_service.h"
#include "balsamspring/http/http_client.h"
#include "balsamspring/platform/memory_log.h"
#include "balsamspring/server/daemon.h"
#include "balsamspring/server/embedded.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string>

#include <boost/program_options.hpp>
#include <sys/resource.h>

namespace {

using namespace balsamspring;
namespace po = boost::program_options;

constexpr std::size_t minimumKeyBytes = 16;

// Signals that end the daemon. They are blocked in all threads and taken by waitForEnd().
sigset_t endSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void waitForEnd(const entry_daemon& daemon, const sigset_t& signals)
{
    const timespec interval { 0, 100'000'000 };
    while (!daemon.drainRequested()) {
        if (sigtimedwait(&signals, nullptr, &interval) > 0)
            return;
    }
}

// Idle callers hold a descriptor each; the default limit of many systems is 1024.
void raiseDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit))
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int fail(const std::string& event, const std::string& message)
{
    logLine(log_level::Error, event, { { "message", message } });
    return 1;
}

// Without a configuration the daemon reads it from the log service.
int serve(daemon_options options, const schema::configuration* config, const sigset_t& signals)
{
    entry_daemon daemon(std::move(options));
    const auto applied = config ? daemon.applyConfiguration(*config, config_version(1)) : result<void>();
    if (!applied)
        return fail("config_refused", applied.error().message);
    if (const auto started = daemon.start(); !started)
        return fail("start_failed", started.error().message);
    waitForEnd(daemon, signals);
    daemon.drainAndStop();
    return 0;
}

std::string randomKey()
{
    std::random_device device;
    std::string key;
    for (int i = 0; i < 8; ++i)
        key += std::to_string(device());
    return key;
}

void overrideAddresses(schema::daemon_settings& settings, const po::variables_map& values)
{
    if (values.count("caller-address"))
        settings.set_caller_address(values["caller-address"].as<std::string>());
    if (values.count("operator-address"))
        settings.set_operator_address(values["operator-address"].as<std::string>());
}

int runEmbedded(const po::variables_map& values, const sigset_t& signals)
{
    model_engine engineA;
    model_engine engineB;
    plain_service service;
    engineA.start();
    engineB.start();
    service.start();
    daemon_options options;
    options.settings = embeddedSettings();
    overrideAddresses(options.settings, values);
    options.resumeKey = randomKey();
    options.client = std::make_shared<http_backend_client>();
    options.log = std::make_shared<memory_log>();
    const embedded_addresses addresses { engineA.address(), engineB.address(), service.address() };
    const schema::configuration config = embeddedConfiguration(addresses);
    return serve(std::move(options), &config, signals);
}

int reportFindings(const findings& list)
{
    std::cerr << list.toText();
    return 1;
}

checked<schema::configuration> readConfiguration(const schema::daemon_settings& settings)
{
    std::vector<std::string> overlays;
    if (!settings.overlay_file().empty())
        overlays.push_back(settings.overlay_file());
    const auto sources = readConfigFiles(settings.config_file(), overlays);
    if (!sources)
        return tl::make_unexpected(sources.error());
    return loadConfiguration(*sources, settings.site());
}

int runWithSettings(const po::variables_map& values, const sigset_t& signals)
{
    std::vector<std::pair<std::string, std::string>> overrides;
    for (const char* name : { "caller-address", "operator-address" }) {
        if (values.count(name)) {
            std::string key = name;
            std::replace(key.begin(), key.end(), '-', '_');
            overrides.emplace_back(key, values[name].as<std::string>());
        }
    }
    const auto settings = loadSettingsFile(values["settings"].as<std::string>(), overrides);
    if (!settings)
        return reportFindings(settings.error());
    if (settings->config_file().empty() && settings->log_address().empty())
        return fail("config_unknown", "one of the settings log_address and config_file is required");

    std::ifstream keyFile(settings->resume_key_file(), std::ios::binary);
    std::ostringstream key;
    key << keyFile.rdbuf();
    if (!keyFile || key.str().size() < minimumKeyBytes)
        return fail("key_unreadable", "resume_key_file must name a file of at least 16 bytes");
    setHttpThreadCount(settings->traffic_threads());
    daemon_options options;
    options.settings = *settings;
    options.resumeKey = key.str();
    options.client = std::make_shared<http_backend_client>();
    if (!settings->log_address().empty())
        return serve(std::move(options), nullptr, signals);
    const auto config = readConfiguration(*settings);
    if (!config)
        return reportFindings(config.error());
    return serve(std::move(options), &*config, signals);
}

} // namespace

int main(int argc, char** argv)
{
    const sigset_t signals = endSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    raiseDescriptorLimit();
    po::options_description description("balsamspringd serves pipelines to callers. Options");
    auto add = description.add_options();
    add("help", "print this text");
    add("settings", po::value<std::string>(), "TOML file with the settings of this VM");
    add("embedded", "run with stand-in backend servers and the log in this process");
    add("caller-address", po::value<std::string>(), "address for callers, \"127.0.0.1:8080\"");
    add("operator-address", po::value<std::string>(), "address for operators, metrics and health");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help")) {
            std::cout << description;
            return 0;
        }
        if (values.count("embedded"))
            return runEmbedded(values, signals);
        if (values.count("settings"))
            return runWithSettings(values, signals);
        std::cerr << description;
        return 2;
    } catch (const std::exception& failure) {
        std::cerr << "balsamspringd: " << failure.what() << "\n";
        return 2;
    }
}

// Runs the gateway of one VM on the users' platform.
#include "balsamspring/base/log.h"
#include "balsamspring/gateway/gateway.h"
#include "balsamspring/gateway/log_buffer.h"
#include "platform/config_decoder.h"
#include "platform/messages.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

#include <boost/program_options.hpp>
#include <sys/resource.h>
#include <unistd.h>

namespace {

using namespace balsamspring;
namespace po = boost::program_options;

constexpr duration logFlushInterval = std::chrono::milliseconds(100);

// Each caller, backend server and idle connection holds a file descriptor.
void raiseDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit))
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void flushPeriodically(event_loop& loop, log_buffer& buffer)
{
    loop.after(logFlushInterval, [&loop, &buffer] {
        buffer.flush();
        if (const auto dropped = buffer.takeDropped())
            logLine(log_level::Warn, "log_lines_dropped", { { "count", std::to_string(dropped) } });
        flushPeriodically(loop, buffer);
    });
}

std::string settingsPath(const po::variables_map& values)
{
    if (values.count("settings"))
        return values["settings"].as<std::string>();
    const char* path = std::getenv(platform::settingsVariable);
    return path ? path : std::string();
}

// Settings take effect at the next start only. A reload validates the file, so that errors are reported before that.
void validateSettings(const std::string& path, std::uint16_t metricsPort)
{
    const auto settings = platform::readSettings(path, metricsPort);
    if (settings)
        logLine(log_level::Info, "settings_reloaded", { { "vm", settings->vm.value() } });
    else
        logLine(log_level::Error, "settings_invalid", { { "findings", settings.error().toText() } });
}

int run(const po::variables_map& values)
{
    const std::string path = settingsPath(values);
    const auto metricsPort = values["metrics-port"].as<std::uint16_t>();
    const auto settings = platform::readSettings(path, metricsPort);
    if (!settings) {
        std::cerr << settings.error().toText() << "\n";
        return 2;
    }
    if (values.count("check"))
        return 0;
    event_loop loop;
    log_buffer buffer({}, [](std::string_view bytes) { return writeWithoutBlocking(STDOUT_FILENO, bytes); });
    setLogWriter([&buffer](log_level level, const std::string& line) { buffer.add(level, line, bootNow()); });
    logLine(log_level::Info, "started",
        { { "vm", settings->vm.value() }, { "zone", settings->zone.value() },
            { "callers", toString(settings->callers) } });
    const record_store store = platform::makeStore(loop, settings->store);
    const wire_adapter adapter = platform::wireAdapter();
    const record_decoders decoders = platform::recordDecoders();
    std::random_device device;
    gateway vmGateway(loop, *settings, adapter, decoders, store, device());
    // Installed before the sockets are open, so that no signal ends the process while it accepts requests.
    loop.onSignal(SIGTERM, [&] { vmGateway.stop([&loop] { loop.stop(); }); });
    loop.onSignal(SIGINT, [&] { vmGateway.stop([&loop] { loop.stop(); }); });
    loop.onSignal(SIGHUP, [&] { validateSettings(path, metricsPort); });
    const auto started = vmGateway.start();
    if (!started) {
        logLine(log_level::Error, "start_failed", { { "why", started.error().message } });
        buffer.flush();
        setLogWriter(nullptr);
        return 1;
    }
    flushPeriodically(loop, buffer);
    loop.run();
    buffer.flush();
    setLogWriter(nullptr);
    return 0;
}

} // namespace

// The settings are read after this, so a reload that arrives earlier has nothing to do. Runs before the constructors of
// the libraries, which take most of the time of a start.
static void ignoreEarlyReload() { signal(SIGHUP, SIG_IGN); }

__attribute__((section(".preinit_array"), used)) static void (*const earlyStart)() = ignoreEarlyReload;

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    raiseDescriptorLimit();
    po::options_description description("balsamspring-gateway serves callers on one VM of the platform. Options");
    auto add = description.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("settings", po::value<std::string>(), "settings file (default: the file named by BALSAMSPRING_NODE_FILE)");
    add("check", "check the settings file and exit");
    add("metrics-port", po::value<std::uint16_t>()->default_value(0), "port of /metrics; 0 disables it");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help")) {
            std::cout << description;
            return 0;
        }
        if (values.count("version")) {
            std::cout << "balsamspring-gateway " << BALSAMSPRING_VERSION << "\n";
            return 0;
        }
        return run(values);
    } catch (const std::exception& failure) {
        std::cerr << "balsamspring-gateway: " << failure.what() << "\n";
        return 2;
    }
}

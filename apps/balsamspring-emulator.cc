// Stand-ins for backend servers and platform services, and a load generator for daemons.
#include "balsamspring/base/log.h"
#include "balsamspring/emulator/load_generator.h"
#include "balsamspring/emulator/model_engine.h"
#include "balsamspring/emulator/plain_service.h"
#include "balsamspring/emulator/platform_servers.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

#include <boost/program_options.hpp>

namespace {

using namespace balsamspring;
namespace po = boost::program_options;

using ports = std::vector<std::uint16_t>;

duration milliseconds(const po::variables_map& values, const char* name)
{
    return fromSeconds(values[name].as<double>() / 1000);
}

po::options_description serveOptions()
{
    po::options_description options("serve: runs stand-ins on loopback ports (0 takes any) until SIGINT or SIGTERM");
    auto add = options.add_options();
    add("engine", po::value<ports>()->multitoken()->default_value(ports(), ""), "ports of model engines");
    add("service", po::value<ports>()->multitoken()->default_value(ports(), ""), "ports of plain services");
    add("log", po::value<ports>()->multitoken()->default_value(ports(), ""), "ports of log services");
    add("vm-list", po::value<ports>()->multitoken()->default_value(ports(), ""), "ports of VM lists");
    add("max-batch", po::value<std::size_t>()->default_value(32), "streams that an engine runs at a time");
    add("token-gap-ms", po::value<double>()->default_value(20), "between tokens of a stream alone");
    add("gap-per-stream-ms", po::value<double>()->default_value(0.5), "added for each other stream of the batch");
    add("prefill-per-block-ms", po::value<double>()->default_value(2), "per 64 bytes of prompt not in the cache");
    add("hold-ms", po::value<double>()->default_value(10'000), "how long streams without a reader are kept");
    add("models", po::value<std::vector<std::string>>()->multitoken(), "models loaded at start, as name@version");
    add("call-ms", po::value<double>()->default_value(5), "time of one call of a service");
    add("concurrency", po::value<std::size_t>()->default_value(16), "calls that a service runs at a time");
    add("no-load-report", po::bool_switch(), "services report no load");
    add("retention", po::value<std::size_t>()->default_value(0), "records kept per log stream; 0 keeps all");
    return options;
}

po::options_description loadOptions()
{
    po::options_description options("load: sends open-loop load to the caller API of daemons");
    auto add = options.add_options();
    add("daemon", po::value<std::vector<std::string>>()->multitoken()->required(), "addresses of daemons");
    add("token", po::value<std::string>()->default_value(""), "bearer token of the team");
    add("rate", po::value<double>()->default_value(10), "requests a second");
    add("seconds", po::value<double>()->default_value(10), "duration");
    add("short-pipeline", po::value<std::string>()->default_value("question"), "pipeline of short requests");
    add("long-pipeline", po::value<std::string>()->default_value("report"), "pipeline of long requests");
    add("short-input", po::value<std::string>()->default_value(R"("Question {n} [tokens=40]")"), "JSON text");
    add("long-input", po::value<std::string>()->default_value(R"("Report {n} [tokens=400]")"), "JSON text");
    add("long-share", po::value<double>()->default_value(0.2), "share of long requests");
    add("short-deadline-ms", po::value<double>()->default_value(6000), "deadline of short requests");
    add("long-deadline-ms", po::value<double>()->default_value(30'000), "deadline of long requests");
    add("long-priority", po::value<std::uint32_t>()->default_value(0), "priority of long requests");
    add("leave-share", po::value<double>()->default_value(0), "share of callers that leave early");
    add("leave-within", po::value<std::uint32_t>()->default_value(50), "tokens after which they leave at the latest");
    add("sessions", po::value<std::uint32_t>()->default_value(1000), "sessions that requests are spread over");
    add("max-open", po::value<std::size_t>()->default_value(5000), "bound on open requests");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed of the random engine");
    add("json", po::bool_switch(), "print JSON");
    return options;
}

// Starts one server per port and keeps it in the list.
template <class Server, class... Options>
void startAll(std::vector<std::shared_ptr<void>>& running, const po::variables_map& values, const char* kind,
    const Options&... options)
{
    for (const std::uint16_t port : values[kind].as<ports>()) {
        const auto server = std::make_shared<Server>(options...);
        server->start(port);
        logLine(log_level::Info, "stand_in_started", { { "kind", kind }, { "address", server->address() } });
        running.push_back(server);
    }
}

int serve(const po::variables_map& values)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    model_engine_options engine;
    engine.maxBatch = values["max-batch"].as<std::size_t>();
    engine.tokenGap = milliseconds(values, "token-gap-ms");
    engine.gapPerStream = milliseconds(values, "gap-per-stream-ms");
    engine.prefillPerBlock = milliseconds(values, "prefill-per-block-ms");
    engine.hold = milliseconds(values, "hold-ms");
    if (values.count("models"))
        engine.models = values["models"].as<std::vector<std::string>>();
    plain_service_options service;
    service.callTime = milliseconds(values, "call-ms");
    service.concurrency = values["concurrency"].as<std::size_t>();
    service.reportsLoad = !values["no-load-report"].as<bool>();

    std::vector<std::shared_ptr<void>> running;
    startAll<model_engine>(running, values, "engine", engine);
    startAll<plain_service>(running, values, "service", service);
    startAll<log_server>(
        running, values, "log", log_server_options { .retention = values["retention"].as<std::size_t>() });
    startAll<vm_list_server>(running, values, "vm-list");
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

int load(const po::variables_map& values)
{
    load_options options;
    options.daemons = values["daemon"].as<std::vector<std::string>>();
    options.token = values["token"].as<std::string>();
    options.rate = values["rate"].as<double>();
    options.time = fromSeconds(values["seconds"].as<double>());
    options.shortClass = { values["short-pipeline"].as<std::string>(), values["short-input"].as<std::string>(),
        milliseconds(values, "short-deadline-ms"), 0 };
    options.longClass = { values["long-pipeline"].as<std::string>(), values["long-input"].as<std::string>(),
        milliseconds(values, "long-deadline-ms"), values["long-priority"].as<std::uint32_t>() };
    options.longShare = values["long-share"].as<double>();
    options.leaveShare = values["leave-share"].as<double>();
    options.leaveWithin = values["leave-within"].as<std::uint32_t>();
    options.sessions = values["sessions"].as<std::uint32_t>();
    options.maxOpen = values["max-open"].as<std::size_t>();
    options.seed = values["seed"].as<std::uint64_t>();
    if (options.rate <= 0) {
        std::cerr << "--rate must be positive\n";
        return 2;
    }
    const load_report report = runLoad(options);
    std::cout << (values["json"].as<bool>() ? report.toJson() + "\n" : report.toText());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string command = argc > 1 ? argv[1] : "";
    if (command != "serve" && command != "load") {
        std::cerr << "usage: balsamspring-emulator serve|load [options]\n\n" << serveOptions() << "\n" << loadOptions();
        return 2;
    }
    try {
        po::variables_map values;
        const po::options_description options = command == "serve" ? serveOptions() : loadOptions();
        po::store(po::parse_command_line(argc - 1, argv + 1, options), values);
        po::notify(values);
        return command == "serve" ? serve(values) : load(values);
    } catch (const std::exception& e) {
        std::cerr << "balsamspring-emulator: " << e.what() << "\n";
        return 2;
    }
}

// Prints the cost of token streams through http_backend_client: tokens per core-second, threads and memory. The engine
// runs in the same process; the CPU time of its thread is subtracted. Wall-clock figures: nothing passes or fails.
//
// Usage: backend_bench [streams] [token gap in ms] [seconds] [threads]
#include "balsamspring/backend/http_backend_client.h"
#include "balsamspring/emulator/model_engine.h"

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <sys/resource.h>

using namespace balsamspring;

namespace {

duration processCpuTime()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + duration(used.tv_nsec / 1000);
}

// A number of /proc/self/status, for example "VmRSS:" in KiB.
long statusValue(const std::string& name)
{
    std::ifstream file("/proc/self/status");
    for (std::string word; file >> word;) {
        long value = 0;
        if (word == name && file >> value)
            return value;
    }
    return 0;
}

void raiseFileLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

int main(int argc, char** argv)
{
    const auto argument = [&](int index, double fallback) {
        return argc > index ? std::strtod(argv[index], nullptr) : fallback;
    };
    const auto streams = static_cast<std::uint64_t>(argument(1, 2000));
    const double gap = argument(2, 79) / 1000;
    const double seconds = argument(3, 10);
    const auto threads = static_cast<std::size_t>(argument(4, 8));
    raiseFileLimit();
    setHttpThreadCount(threads);

    model_engine_options options;
    options.maxBatch = streams;
    options.tokenGap = fromSeconds(gap);
    options.gapPerStream = {};
    options.prefillPerBlock = {};
    model_engine engine(options);
    engine.start();
    http_backend_client client;
    const long memoryBefore = statusValue("VmRSS:");

    std::atomic<std::uint64_t> tokens { 0 };
    std::atomic<std::uint64_t> ended { 0 };
    std::vector<std::shared_ptr<backend_stream>> open;
    for (std::uint64_t i = 1; i <= streams; ++i) {
        stream_request request;
        request.stream = stream_id(i);
        request.attempt = attempt_id(i);
        request.prompt = fmt::format("Draft the report of class {}", i);
        request.maxTokens = 1'000'000;
        open.push_back(client.openStream(engine.address(), request,
            { .opened = {},
                .token = [&](const stream_token&) { ++tokens; },
                .ended =
                    [&](const result<stream_end>&) {
                        ++ended;
                    } }));
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const std::uint64_t tokensBefore = tokens;
    const duration cpuBefore = processCpuTime() - engine.cpuTime();
    const mono_time begin = monotonicNow();
    std::this_thread::sleep_for(fromSeconds(seconds));
    const duration cpu = processCpuTime() - engine.cpuTime() - cpuBefore;
    const double elapsed = toSeconds(monotonicNow() - begin);
    const auto received = static_cast<double>(tokens - tokensBefore);

    fmt::print("streams open: {}\n", streams - ended);
    fmt::print("tokens/s: {:.0f}\n", received / elapsed);
    fmt::print("client cores used: {:.3f}\n", toSeconds(cpu) / elapsed);
    fmt::print("tokens per core-second: {:.0f}\n", received / toSeconds(cpu));
    fmt::print("threads: {} (pool {}, engine 1, timer 1)\n", statusValue("Threads:"), threads);
    fmt::print("memory: {} KiB before, {} KiB with the streams (both ends)\n", memoryBefore, statusValue("VmRSS:"));

    for (const auto& stream : open)
        stream->disconnect();
    while (ended < streams)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return 0;
}

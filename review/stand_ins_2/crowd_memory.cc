// A crowd of clients sends one request each, which waits or runs at a model server. CROWD=heads: with a head of nearly
// the legal size. CROWD=bodies: a small one, and behind it, on the same connection, a part of a large body of legal
// size. The platform ends a process that exceeds its memory.
#include "support.h"

#include <csignal>
#include <cstdlib>
#include <stdexcept>

#include <sys/resource.h>

namespace {

using namespace review;

constexpr std::string_view config
    = R"({"version":7,"routes":[{"name":"r-report","host":"report.example","path_prefix":"/report/",)"
      R"("kind":"streaming","timeout_ms":15000,"target_latency_ms":1400,"priority":0,"service":"model",)"
      R"("max_attempts":2,"anonymous":true,"session_affinity":true,"resumable":true,"itl_target_ms":150}],)"
      R"("services":[{"name":"model","health_check_path":"/healthz","max_connections":370,"protocol":"h1",)"
      R"("tls":false,"engine":{"slots":64,"kv_capacity_tokens":441798}}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000}})";

constexpr gateway_limits machine { .memoryMb = 260, .descriptors = 4100 };
// The rule counts machines, two at least, on which the process ends three times.
constexpr int machines = 2;
constexpr int lives = 3;
constexpr int servers = 12;
constexpr unsigned promptTokens = 6500;
constexpr unsigned eventsPerStream = 67; // 200 tokens, three in an event
// Fewer than the servers have places for: 64 slots and a queue of 134 each.
constexpr std::size_t clients = 2350;
constexpr std::size_t bodyBytes = 4'000'000;
constexpr std::size_t sentBytes = 100'000;
// Of the parts of a prompt, in a head of at most 16,384 bytes.
constexpr std::size_t longPrefixBytes = 15'000;

enum class crowd_kind : std::uint8_t { Heads, Bodies };

crowd_kind crowdKind()
{
    const char* value = std::getenv("CROWD");
    const std::string_view name = value ? value : "";
    if (name != "heads" && name != "bodies")
        throw std::runtime_error("CROWD is neither heads nor bodies");
    return name == "heads" ? crowd_kind::Heads : crowd_kind::Bodies;
}

void raiseDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_max < 3 * clients)
        throw std::runtime_error("too few file descriptors");
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

// The parts of a prompt of 6,500 tokens, two or many.
std::string promptPrefix(bool isLong)
{
    std::string parts;
    unsigned tokens = 0;
    for (unsigned i = 0; isLong && parts.size() < longPrefixBytes; ++i, tokens += 4)
        parts.append(std::to_string(10'000'000 + 7919 * i)).append(":4,");
    return parts + "91bd3f06:" + std::to_string(promptTokens - tokens);
}

std::string requestHead(const std::string& id, const std::string& prefix, std::size_t length)
{
    return concat({ "POST /report/1 HTTP/1.1\r\nHost: report.example\r\nAttempt-Id: ", id,
        "\r\nDeadline-Ms: 15000\r\nModel: m\r\nToken-Count: 6500,200\r\nPrompt-Prefix: ", prefix,
        "\r\nContent-Length: ", std::to_string(length), "\r\n\r\n" });
}

// Ends the process when it exceeds the memory of its machine. Returns whether it did.
bool exceedsMemory(gateway_process& gateway, event_record& record)
{
    if (!gateway.runs())
        return true;
    const double resident = gateway.residentMb();
    if (resident <= machine.memoryMb)
        return false;
    record.add(concat({ "the process takes ", std::to_string(resident), " MB, more than the ",
        std::to_string(machine.memoryMb), " MB of its machine: the platform kills it" }));
    gateway.signal(SIGKILL);
    return true;
}

void recordUnanswered(const std::vector<std::unique_ptr<tcp_stream>>& crowd, event_record& record)
{
    std::this_thread::sleep_for(milliseconds(200));
    std::size_t unanswered = 0;
    for (const auto& client : crowd) {
        char byte = 0;
        unanswered += client->read(&byte, 1, milliseconds(0)) <= 0 ? 1 : 0;
    }
    record.add(std::to_string(unanswered) + " clients have got no byte of an answer");
}

// Returns whether the process ended.
bool runCrowd(gateway_process& gateway, event_record& record)
{
    const crowd_kind kind = crowdKind();
    const std::string shortPrefix = promptPrefix(false);
    const std::string prefix = promptPrefix(withTrouble() && kind == crowd_kind::Heads);
    const std::string part(sentBytes, 'x');
    bool ended = false;
    std::vector<std::unique_ptr<tcp_stream>> crowd;
    while (crowd.size() < clients && !ended) {
        auto client = tcp_stream::connect(gateway.port());
        if (!client || !client->send(requestHead("a" + std::to_string(crowd.size()), prefix, 8) + "question"))
            throw std::runtime_error("a client cannot send its request");
        crowd.push_back(std::move(client));
        if (crowd.size() % 50 == 0)
            ended = exceedsMemory(gateway, record);
    }
    for (int i = 0; i < 20 && !ended; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
        ended = exceedsMemory(gateway, record);
    }
    record.add(concat({ std::to_string(crowd.size()), " requests sent, with heads of ",
        std::to_string(requestHead("a1", prefix, 8).size()), " bytes; peak of the process ",
        std::to_string(gateway.peakMb()), " MB" }));
    if (!withTrouble() || kind == crowd_kind::Heads) {
        if (ended)
            recordUnanswered(crowd, record);
        return ended;
    }
    std::size_t senders = 0;
    while (senders < clients && !ended) {
        // The gateway stops reading at its own limit, so the rest of the part stays in the kernel.
        if (!crowd[senders]->send(requestHead("b" + std::to_string(senders), shortPrefix, bodyBytes) + part))
            throw std::runtime_error("a client cannot send its second request");
        senders += 1;
        if (senders % 50 == 0)
            ended = exceedsMemory(gateway, record);
    }
    for (int i = 0; i < 20 && !ended; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
        ended = exceedsMemory(gateway, record);
    }
    record.add(
        concat({ std::to_string(senders), " clients have sent ", std::to_string(sentBytes), " bytes of a body of ",
            std::to_string(bodyBytes), "; peak of the process ", std::to_string(gateway.peakMb()), " MB" }));
    if (ended)
        recordUnanswered(crowd, record);
    return ended;
}

unsigned begunStreams(const std::vector<std::unique_ptr<model_stand_in>>& models)
{
    unsigned begun = 0;
    for (const auto& model : models)
        begun += model->begun();
    return begun;
}

int run(event_record& record)
{
    raiseDescriptorLimit();
    crowdKind();
    store_stand_in store;
    store.put("keyed.op", "config", std::string(config));
    std::vector<std::unique_ptr<model_stand_in>> models;
    for (int i = 1; i <= servers; ++i) {
        models.push_back(std::make_unique<model_stand_in>(promptTokens, eventsPerStream));
        store.put("keyed.servers", "i-model-" + std::to_string(i), serverEntry("model", models.back()->address(), 64));
    }
    int machinesEnded = 0;
    for (int number = 1; number <= machines; ++number) {
        int ends = 0;
        for (int life = 1; life <= lives; ++life) {
            record.add(concat({ "machine ", std::to_string(number), ", process ", std::to_string(life) }));
            const unsigned begunBefore = begunStreams(models);
            {
                gateway_process gateway(store.address(), machine);
                std::this_thread::sleep_for(milliseconds(500));
                ends += runCrowd(gateway, record) ? 1 : 0;
                record.add(std::to_string(begunStreams(models) - begunBefore) + " streams have begun");
            }
            for (const auto& model : models)
                model->dropRequests();
        }
        machinesEnded += ends == lives ? 1 : 0;
    }
    record.add(std::to_string(machinesEnded) + " machines on which the process ended three times");
    return machinesEnded == machines ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char** arguments) { return runCase(run, argumentCount, arguments); }

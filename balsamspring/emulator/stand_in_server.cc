#include "balsamspring/emulator/stand_in_server.h"

#include <ctime>
#include <random>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using json = nlohmann::json;

constexpr duration loadHistory = std::chrono::seconds(30);
constexpr std::uint64_t foreignOffset = 1'000'000'000;

std::uint64_t newGeneration()
{
    std::random_device source;
    return (std::uint64_t { source() } << 20) + source() + 1;
}

duration milliseconds(const json& object, const char* name, duration fallback)
{
    const auto found = object.find(name);
    return found == object.end() ? fallback : std::chrono::milliseconds(found->get<std::int64_t>());
}

} // namespace

stand_in_server::stand_in_server()
    : m_generation(newGeneration())
{
}

void stand_in_server::start(std::uint16_t port)
{
    m_server.start(port, [this](const exchange_pointer& exchange) { dispatch(exchange); });
}

void stand_in_server::stop() { m_server.stop(); }

void stand_in_server::setFaults(const server_faults& faults)
{
    m_server.run([&] { applyFaults(faults); });
}

void stand_in_server::silenceConnections()
{
    m_server.run([&] { m_server.silenceConnections(); });
}

void stand_in_server::crash(duration downtime)
{
    m_server.run([&] { crashNow(downtime); });
}

std::uint64_t stand_in_server::generation()
{
    std::uint64_t value = 0;
    m_server.run([&] { value = m_generation; });
    return value;
}

duration stand_in_server::cpuTime()
{
    timespec used {};
    m_server.run([&] { clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used); });
    return std::chrono::seconds(used.tv_sec)
        + std::chrono::duration_cast<duration>(std::chrono::nanoseconds(used.tv_nsec));
}

void stand_in_server::dispatch(const exchange_pointer& exchange)
{
    if (exchange->path() == "/v1/faults" && exchange->method() == "POST") {
        const bool valid = receiveFaults(exchange->body());
        return exchange->reply(valid ? 200 : 400, valid ? "{}" : R"({"error":{"reason":"invalid_faults"}})");
    }
    if (m_faults.stopAnswering) {
        m_held.push_back(exchange);
        return;
    }
    if (m_faults.leaving)
        exchange->setHeader("x-leaving", "1");
    if (!m_faults.crashMarker.empty() && exchange->body().find(m_faults.crashMarker) != std::string::npos)
        return crashNow(m_faults.crashDowntime);
    if (m_faults.draining && exchange->method() == "POST")
        return refuseWork(exchange, 503, "draining");
    try {
        if (!handle(exchange))
            refuseWork(exchange, 404, "unknown_path");
    } catch (const json::exception&) {
        refuseWork(exchange, 400, "invalid_request");
    }
}

void stand_in_server::applyFaults(const server_faults& faults)
{
    m_faults = faults;
    if (faults.stopAnswering)
        return;
    for (const auto& exchange : std::exchange(m_held, {})) {
        if (!exchange->closed())
            dispatch(exchange);
    }
}

void stand_in_server::crashNow(duration downtime)
{
    m_held.clear();
    m_generation = newGeneration();
    m_loads.clear();
    forgetWork();
    m_server.refuse();
    m_server.after(downtime, [this] { m_server.accept(); });
}

bool stand_in_server::receiveFaults(const std::string& body)
{
    static const std::set<std::string> names { "slow_factor", "stop_answering", "never_reply", "answer_late_ms",
        "answer_twice", "foreign_attempt", "reset_after_tokens", "crash_marker", "crash_downtime_ms", "leaving",
        "draining", "load_lag_ms", "silence", "crash" };
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object())
        return false;
    for (const auto& item : object.items()) {
        if (!names.contains(item.key()))
            return false;
    }
    try {
        server_faults faults;
        faults.slowFactor = object.value("slow_factor", faults.slowFactor);
        faults.stopAnswering = object.value("stop_answering", false);
        faults.neverReply = object.value("never_reply", false);
        faults.answerLate = milliseconds(object, "answer_late_ms", faults.answerLate);
        faults.answerTwice = object.value("answer_twice", false);
        faults.foreignAttempt = object.value("foreign_attempt", false);
        faults.resetAfterTokens = object.value("reset_after_tokens", faults.resetAfterTokens);
        faults.crashMarker = object.value("crash_marker", std::string());
        faults.crashDowntime = milliseconds(object, "crash_downtime_ms", faults.crashDowntime);
        faults.leaving = object.value("leaving", false);
        faults.draining = object.value("draining", false);
        faults.loadLag = milliseconds(object, "load_lag_ms", faults.loadLag);
        const bool silence = object.value("silence", false);
        const bool crash = object.value("crash", false);
        applyFaults(faults);
        // The reply to this request is sent before the connections change.
        if (silence)
            m_server.after(std::chrono::milliseconds(5), [this] { m_server.silenceConnections(); });
        if (crash)
            m_server.after(std::chrono::milliseconds(5), [this] { crashNow(m_faults.crashDowntime); });
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

void stand_in_server::afterUnlessCrashed(duration delay, std::function<void()> callback)
{
    m_server.after(delay, [this, generation = m_generation, callback = std::move(callback)] {
        if (generation == m_generation)
            callback();
    });
}

void stand_in_server::noteLoad()
{
    const mono_time now = monotonicNow();
    m_loads.emplace_back(now, currentLoad());
    while (m_loads.front().first + loadHistory < now)
        m_loads.pop_front();
}

server_load stand_in_server::reportedLoad() const
{
    if (m_faults.loadLag <= duration::zero())
        return currentLoad();
    const mono_time asOf = monotonicNow() - m_faults.loadLag;
    server_load load;
    for (const auto& [time, value] : m_loads) {
        if (time > asOf)
            break;
        load = value;
    }
    return load;
}

std::uint64_t stand_in_server::sentAttempt(std::uint64_t attempt) const
{
    return m_faults.foreignAttempt ? attempt + foreignOffset : attempt;
}

void stand_in_server::refuseWork(const exchange_pointer& exchange, int status, std::string_view reason) const
{
    exchange->reply(status, fmt::format(R"({{"error":{{"reason":"{}","work":"not_run"}}}})", reason));
}

} // namespace balsamspring

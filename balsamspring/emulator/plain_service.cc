#include "balsamspring/emulator/plain_service.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace balsamspring {

using json = nlohmann::json;

struct plain_service::waiting_call {
    exchange_pointer exchange;
    std::uint64_t attempt = 0;
    std::string operation;
    json input;
};

plain_service::plain_service(plain_service_options options)
    : m_options(std::move(options))
{
}

plain_service::~plain_service() { stop(); }

std::uint64_t plain_service::executions(const std::string& operation, const std::string& input)
{
    const call_key key(operation, json::parse(input).dump());
    std::uint64_t count = 0;
    m_server.run([&] {
        const auto found = m_executions.find(key);
        count = found == m_executions.end() ? 0 : found->second;
    });
    return count;
}

std::uint64_t plain_service::totalExecutions()
{
    std::uint64_t count = 0;
    m_server.run([&] {
        for (const auto& item : m_executions)
            count += item.second;
    });
    return count;
}

std::uint64_t plain_service::repeatedExecutions()
{
    std::uint64_t count = 0;
    m_server.run([&] {
        for (const auto& item : m_executions)
            count += item.second - 1;
    });
    return count;
}

bool plain_service::handle(const exchange_pointer& exchange)
{
    const std::string& path = exchange->path();
    if (path == "/v1/call" && exchange->method() == "POST") {
        const json body = json::parse(exchange->body());
        const auto call = std::make_shared<waiting_call>();
        call->exchange = exchange;
        call->attempt = body.at("attempt").get<std::uint64_t>();
        call->operation = body.at("operation").get<std::string>();
        call->input = body.at("input");
        m_waiting.emplace(std::pair(body.value("priority", 0U), ++m_arrivals), call);
        startCalls();
        noteLoad();
        return true;
    }
    if (path == "/v1/load" && exchange->method() == "GET") {
        const server_load load = m_options.reportsLoad ? reportedLoad() : server_load {};
        exchange->reply(200,
            json({ { "running", load.running }, { "queued", load.queued }, { "generation", m_generation } }).dump());
        return true;
    }
    if (path == "/v1/state" && exchange->method() == "GET") {
        exchange->reply(200, json({ { "generation", m_generation } }).dump());
        return true;
    }
    if (path == "/v1/executions" && exchange->method() == "GET") {
        json list = json::array();
        for (const auto& [key, count] : m_executions)
            list.push_back({ { "operation", key.first }, { "input", json::parse(key.second) }, { "count", count } });
        exchange->reply(200, list.dump());
        return true;
    }
    return false;
}

void plain_service::forgetWork()
{
    m_waiting.clear();
    m_running = 0;
}

server_load plain_service::currentLoad() const { return { m_running, static_cast<std::uint32_t>(m_waiting.size()) }; }

void plain_service::startCalls()
{
    while (m_running < m_options.concurrency && !m_waiting.empty()) {
        const call_pointer call = m_waiting.begin()->second;
        m_waiting.erase(m_waiting.begin());
        ++m_running;
        const auto found = m_options.operationTimes.find(call->operation);
        const duration time = found == m_options.operationTimes.end() ? m_options.callTime : found->second;
        afterUnlessCrashed(fromSeconds(toSeconds(time) * m_faults.slowFactor), [this, call] { finishCall(call); });
    }
}

void plain_service::finishCall(const call_pointer& call)
{
    if (m_faults.stopAnswering)
        return afterUnlessCrashed(std::chrono::milliseconds(20), [this, call] { finishCall(call); });
    --m_running;
    const std::uint64_t execution = ++m_executions[{ call->operation, call->input.dump() }];
    startCalls();
    noteLoad();
    if (m_faults.neverReply)
        return;
    if (m_faults.resetAfterTokens >= 0)
        return call->exchange->reset();
    if (m_faults.answerLate > duration::zero())
        return afterUnlessCrashed(m_faults.answerLate, [this, call, execution] { answer(call, execution); });
    answer(call, execution);
}

void plain_service::answer(const call_pointer& call, std::uint64_t execution)
{
    const server_load load = m_options.reportsLoad ? reportedLoad() : server_load {};
    const json body { { "attempt", sentAttempt(call->attempt) },
        { "output", { { "operation", call->operation }, { "input", call->input }, { "execution", execution } } },
        { "generation", m_generation }, { "running", load.running }, { "queued", load.queued } };
    if (m_faults.answerTwice)
        call->exchange->replyTwice(200, body.dump());
    else
        call->exchange->reply(200, body.dump());
}

} // namespace balsamspring

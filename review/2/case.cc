// Workers crash, and of the streams that are asked for again, some are broken off inside an event. After the disruption
// all workers are sound. Checks that streams are then served at least a quarter as often as all requests.
#include "review/stand_ins/deployment.h"

#include <map>

#include <fmt/core.h>

namespace balsamspring::review {

namespace {

using namespace std::chrono_literals;

constexpr int workerCount = 4;
constexpr int rounds = 5;
constexpr int soundPerRound = 24; // keeps the share of the answers that are broken off below x = 0.05
constexpr duration downTime = 2s; // `srv_crash`, share = 0.25, for_s = 2.0
constexpr duration firstEvent = 60ms;
constexpr duration lastEvent = 100ms;
constexpr duration clientRetryDelay = 400ms;
constexpr duration requestInterval = 150ms;
constexpr duration afterInterval = 60ms;
constexpr int requestsAfter = 900;

std::string configuration()
{
    return fmt::format(R"({{"version":1,"routes":[{},{}],"services":[{{"name":"schouw-llm","max_connections":370}},)"
                       R"({{"name":"show-ledger","max_connections":110}}],)"
                       R"("tenants":[{{"name":"first","api_keys":["key"]}}],"limits":{{"idle_timeout_ms":15000}}}})",
        routeJson({ .name = "entry-summary",
            .service = "schouw-llm",
            .kind = "streaming",
            .pathPrefix = "/summary/",
            .timeoutMs = 6000,
            .targetMs = 1500,
            .affinity = true }),
        routeJson({ .name = "award-record", .service = "show-ledger", .kind = "unsafe", .pathPrefix = "/award/" }));
}

struct engine {
    std::unique_ptr<worker> server;
    std::vector<std::weak_ptr<response_writer>> streams;
};

class broken_retry_case {
public:
    explicit broken_retry_case(deployment& world)
        : m_world(world)
        , m_ledger(world.loop, "l-1", "show-ledger",
              [](const incoming_request& request, const std::shared_ptr<response_writer>& writer) {
                  writer->send(signedHead(200, request), "done");
              })
    {
    }

    verdict run()
    {
        for (int i = 0; i < workerCount; ++i)
            addEngine();
        m_world.store.put("keyed.servers", m_ledger.id(), m_ledger.entry("ready", 1));
        m_world.store.put("keyed.op", "config", configuration());
        m_machine = &m_world.addMachine("edge-0", {});
        m_world.startMachines();
        for (int round = 0; round < rounds; ++round)
            playRound(round);
        m_world.record.add("the disruption has ended, all workers are sound");
        m_world.runFor(3s);
        const int servedBefore = m_served["streams"];
        for (int i = 0; i < requestsAfter; ++i) {
            sendStream(fmt::format("after-{}", i));
            sendAward();
            m_world.runFor(afterInterval);
        }
        m_world.runFor(2s);
        return judge(servedBefore);
    }

private:
    // Sound streams, then one whose worker crashes and whose repetition is broken off.
    void playRound(int round)
    {
        for (int i = 0; i < soundPerRound; ++i) {
            sendStream(fmt::format("round-{}-{}", round, i));
            sendAward();
            m_world.runFor(requestInterval);
        }
        m_world.runFor(200ms);
        const std::string body = fmt::format("round-{}-repeated", round);
        m_crashBody = troubleWanted() ? body : std::string();
        sendStream(body);
        m_world.runFor(clientRetryDelay);
        m_crashBody.clear();
        m_breakBody = troubleWanted() ? body : std::string();
        // The client asks once more; where it is refused, it comes back when it was told to.
        for (int attempt = 0; attempt < 4; ++attempt) {
            sendStream(body);
            m_world.runFor(1s);
            if (m_lastStatus != 503)
                break;
        }
        m_breakBody.clear();
        m_world.runFor(downTime);
    }

    void addEngine()
    {
        auto added = std::make_unique<engine>();
        engine* item = added.get();
        item->server = std::make_unique<worker>(m_world.loop, fmt::format("e-{}", ++m_engines), "schouw-llm",
            [this, item](const incoming_request& request, const std::shared_ptr<response_writer>& writer) {
                serve(*item, request, writer);
            });
        m_world.store.put("keyed.servers", item->server->id(), item->server->entry("ready", 1));
        m_world.record.add(fmt::format("{} is ready", item->server->id()));
        m_all.push_back(std::move(added));
    }

    void crash(engine& item)
    {
        m_world.record.add(fmt::format("{} crashes", item.server->id()));
        const std::string id = item.server->id();
        for (const auto& weak : item.streams) {
            if (const auto writer = weak.lock())
                writer->abort();
        }
        item.streams.clear();
        m_world.loop.post([&item] { item.server.reset(); });
        m_world.loop.after(downTime, [this, id] {
            m_world.store.remove("keyed.servers", id);
            addEngine();
        });
    }

    void serve(engine& item, const incoming_request& request, const std::shared_ptr<response_writer>& writer)
    {
        m_answers += 1;
        if (!m_crashBody.empty() && request.body == m_crashBody) {
            item.streams.emplace_back(writer);
            m_world.loop.after(firstEvent, [this, &item] { crash(item); });
            return;
        }
        http_head head = signedHead(200, request);
        head.fields.push_back({ "Content-Type", "text/event-stream" });
        const bool breakOff = !m_breakBody.empty() && request.body == m_breakBody;
        if (breakOff) {
            m_brokenOff += 1;
            m_world.record.add(fmt::format("{} breaks off a stream inside an event", item.server->id()));
        }
        m_world.loop.after(firstEvent, [writer, head] {
            writer->begin(head);
            writer->write("id: 1\ndata: a\n\n");
        });
        m_world.loop.after(lastEvent, [writer, breakOff] {
            writer->write(breakOff ? "id: 2\nda" : "id: 2\ndata: b\n\n");
            writer->end();
        });
    }

    void sendStream(const std::string& body)
    {
        m_sent["streams"] += 1;
        m_world.callers.send(m_machine->frontend(),
            { .id = fmt::format("{:016x}", ++m_next),
                .path = "/summary/1",
                .credential = "key",
                .deadlineMs = 6000,
                .fields
                = fmt::format("Model: m\r\nToken-Count: 2368,24\r\nPrompt-Prefix: a1:341,{:x}:1800\r\n", m_next),
                .body = body },
            [this](const client_answer& answer) { count("streams", answer); });
    }

    void sendAward()
    {
        m_sent["awards"] += 1;
        m_world.callers.send(m_machine->frontend(),
            { .id = fmt::format("{:016x}", ++m_next), .path = "/award/1", .credential = "key" },
            [this](const client_answer& answer) { count("awards", answer); });
    }

    void count(const std::string& kind, const client_answer& answer)
    {
        const bool whole = answer.status == 200 && answer.end == exchange_outcome::Complete;
        m_served[kind] += whole ? 1 : 0;
        m_statuses[kind][answer.status] += 1;
        if (kind == "streams")
            m_lastStatus = answer.status;
    }

    verdict judge(int servedBefore)
    {
        for (const auto& [kind, counts] : m_statuses) {
            for (const auto& [status, number] : counts)
                m_world.record.add(fmt::format("answers to {}: {} x {}", kind, status, number));
        }
        const double streams = static_cast<double>(m_served["streams"]) / m_sent["streams"];
        const double all = static_cast<double>(m_served["streams"] + m_served["awards"])
            / static_cast<double>(m_sent["streams"] + m_sent["awards"]);
        m_world.record.add(fmt::format("broken off: {} of {} answers of the workers", m_brokenOff, m_answers));
        m_world.record.add(fmt::format(
            "streams served after the disruption: {} of {}", m_served["streams"] - servedBefore, requestsAfter));
        m_world.record.add(fmt::format("share served: streams {:.3f}, all {:.3f}", streams, all));
        if (servedBefore == 0 || m_served["awards"] == 0)
            return verdict::CouldNotRun;
        return streams < all / 4 ? verdict::Broken : verdict::Held;
    }

    deployment& m_world;
    worker m_ledger;
    machine* m_machine = nullptr;
    std::vector<std::unique_ptr<engine>> m_all;
    std::string m_crashBody; // the worker that runs this stream crashes
    std::string m_breakBody; // this stream is broken off
    std::map<std::string, int> m_sent;
    std::map<std::string, int> m_served;
    std::map<std::string, std::map<unsigned, int>> m_statuses;
    std::uint64_t m_next = 0;
    unsigned m_lastStatus = 0;
    int m_engines = 0;
    int m_answers = 0;
    int m_brokenOff = 0;
};

} // namespace

} // namespace balsamspring::review

int main(int argc, char** argv)
{
    using namespace balsamspring::review;
    return runCase(argc, argv, [](deployment& world) { return broken_retry_case(world).run(); });
}

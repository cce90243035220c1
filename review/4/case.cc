// Nine machines. The one that reads the entries of the workers for all others stands still for some seconds, while
// three of twelve workers leave. Checks that no other machine sends requests to these workers later than `drain_ms`
// after the acknowledgement.
#include "balsamspring/base/hash.h"
#include "review/stand_ins/deployment.h"

#include <csignal>
#include <map>
#include <random>
#include <set>

#include <fmt/core.h>

namespace balsamspring::review {

namespace {

using namespace std::chrono_literals;

constexpr int machineCount = 9;
constexpr int workerCount = 12; // `schouw-llm`
constexpr int leavingPerRound = 3; // `scale_in`, share = 0.25
constexpr int rounds = 12;
constexpr duration freezeLength = 3500ms; // `node_freeze`, share = 0.11, for_s = 3.5
constexpr duration leaveAfter = 800ms; // from the start of the freeze
constexpr duration roundLength = 8s;
constexpr duration drainLimit = 2s; // `drain_ms`
constexpr duration contact = 3s; // `contact_ms`
constexpr duration servesAfterLeaving = 5s;
constexpr duration heartbeat = 1200ms; // `heartbeat_ms`
constexpr double requestsPerSecond = 42.3; // of all streams of the sheet
constexpr unsigned sessions = 150;
constexpr duration firstEvent = 100ms;
constexpr duration lastEvent = 300ms;

std::string configuration()
{
    return fmt::format(R"({{"version":1,"routes":[{}],"services":[{{"name":"schouw-llm","max_connections":370}}],)"
                       R"("tenants":[{{"name":"first","api_keys":["key"]}}],"limits":{{"idle_timeout_ms":15000}}}})",
        routeJson({ .name = "entry-summary",
            .service = "schouw-llm",
            .kind = "streaming",
            .pathPrefix = "/summary/",
            .timeoutMs = 6000,
            .targetMs = 1500,
            .affinity = true }));
}

struct engine_worker {
    std::unique_ptr<worker> server;
    unsigned sequence = 0;
    std::optional<mono_time> leftAt; // acknowledgement of `draining`
};

struct sent_request {
    std::size_t machine = 0;
    mono_time sentAt;
};

class drain_case {
public:
    explicit drain_case(deployment& world)
        : m_world(world)
        , m_frozenUntil(machineCount)
    {
    }

    verdict run()
    {
        for (int i = 0; i < workerCount; ++i)
            addWorker();
        m_world.store.put("keyed.op", "config", configuration());
        for (int i = 0; i < machineCount; ++i)
            m_world.addMachine(fmt::format("edge-{}", i), {});
        m_world.startMachines();
        beat();
        sendRegularly();
        m_world.runFor(contact);
        for (int round = 0; round < rounds; ++round)
            playRound();
        m_world.runFor(2s);
        for (const auto& [status, count] : m_statuses)
            m_world.record.add(fmt::format("answers: {} x {}", status, count));
        m_world.record.add(fmt::format("requests that reached a worker too late: {}", m_late));
        if (m_late > 0)
            return verdict::Broken;
        return m_statuses[200] > 0 ? verdict::Held : verdict::CouldNotRun;
    }

private:
    void playRound()
    {
        const mono_time begin = bootNow();
        const std::size_t frozen = readerOfEntries();
        if (troubleWanted()) {
            m_world.record.add(fmt::format("{} stands still", m_world.machines[frozen]->name()));
            m_world.machines[frozen]->signal(SIGSTOP);
            m_frozenUntil[frozen] = mono_time::max();
        }
        m_world.runFor(leaveAfter);
        for (int i = 0; i < leavingPerRound; ++i)
            leave(*m_workers.at(m_oldest++));
        m_world.runFor(freezeLength - (bootNow() - begin));
        if (troubleWanted()) {
            m_world.machines[frozen]->signal(SIGCONT);
            m_frozenUntil[frozen] = bootNow();
            m_world.record.add(fmt::format("{} goes on", m_world.machines[frozen]->name()));
        }
        for (int i = 0; i < leavingPerRound; ++i)
            addWorker();
        m_world.runFor(roundLength - (bootNow() - begin));
    }

    void leave(engine_worker& leaving)
    {
        leaving.leftAt = bootNow();
        putEntry(leaving);
        m_world.record.add(fmt::format("{} leaves, acknowledged", leaving.server->id()));
        m_world.loop.after(servesAfterLeaving, [this, &leaving] {
            m_world.store.remove("keyed.servers", leaving.server->id());
            leaving.server.reset();
        });
    }

    // The owner of the partition of the group that the topic of the entries falls into.
    std::size_t readerOfEntries() const
    {
        const auto owners = m_world.store.owners("balsamspring-gather");
        if (owners.empty())
            return 0;
        const std::string& owner = owners[hash64("keyed.servers") % owners.size()];
        for (std::size_t i = 0; i < m_world.machines.size(); ++i) {
            if (owner.starts_with(m_world.machines[i]->frontend().address + ":"))
                return i;
        }
        return 0;
    }

    void addWorker()
    {
        auto added = std::make_unique<engine_worker>();
        engine_worker* item = added.get();
        item->server = std::make_unique<worker>(m_world.loop, fmt::format("i-{}", m_workers.size()), "schouw-llm",
            [this, item](const incoming_request& request, const std::shared_ptr<response_writer>& writer) {
                serve(*item, request, writer);
            });
        m_workers.push_back(std::move(added));
        putEntry(*item);
    }

    void putEntry(engine_worker& item)
    {
        m_world.store.put("keyed.servers", item.server->id(),
            item.server->entry(item.leftAt ? "draining" : "ready", ++item.sequence));
    }

    void beat()
    {
        for (const auto& item : m_workers) {
            if (item->server)
                putEntry(*item);
        }
        m_world.loop.after(heartbeat, [this] { beat(); });
    }

    void sendRegularly()
    {
        send();
        std::exponential_distribution<double> pause(requestsPerSecond);
        m_world.loop.after(fromSeconds(pause(m_random)), [this] { sendRegularly(); });
    }

    void send()
    {
        const std::size_t target = m_random() % machineCount;
        // The platform gives no new connections to a machine that does not answer.
        if (m_frozenUntil[target] == mono_time::max())
            return;
        const std::string id = fmt::format("{:016x}", ++m_next);
        m_requests[id] = { target, bootNow() };
        m_world.callers.send(m_world.machines[target]->frontend(),
            { .id = id,
                .path = "/summary/1",
                .credential = "key",
                .deadlineMs = 6000,
                .fields = fmt::format("Model: m\r\nToken-Count: 2368,24\r\nPrompt-Prefix: a1:341,{:x}:227,{}:1800\r\n",
                    0xb000 + m_random() % sessions, id) },
            [this](const client_answer& answer) { m_statuses[answer.status] += 1; });
    }

    void serve(
        const engine_worker& item, const incoming_request& request, const std::shared_ptr<response_writer>& writer)
    {
        const std::string* id = request.head.find("Attempt-Id");
        const auto found = id ? m_requests.find(*id) : m_requests.end();
        const mono_time now = bootNow();
        if (found != m_requests.end() && item.leftAt && now - *item.leftAt > drainLimit) {
            const std::size_t sender = found->second.machine;
            const bool inTouch = m_frozenUntil[sender] != mono_time::max() && now - m_frozenUntil[sender] >= contact;
            m_world.record.add(fmt::format("{} reaches {} {:.3f} s after the acknowledgement, sent on by {}{}", *id,
                item.server->id(), toSeconds(now - *item.leftAt), m_world.machines[sender]->name(),
                inTouch ? "" : ", which is not in touch"));
            m_late += inTouch ? 1 : 0;
        }
        const bool leaving = item.leftAt.has_value();
        m_world.loop.after(firstEvent, [request, writer, leaving] {
            http_head head = signedHead(200, request);
            head.fields.push_back({ "Content-Type", "text/event-stream" });
            if (leaving)
                head.fields.push_back({ "Server-Leaving", "1" });
            writer->begin(head);
            writer->write("id: 1\ndata: a\n\n");
        });
        m_world.loop.after(lastEvent, [writer] {
            writer->write("id: 2\ndata: b\n\n");
            writer->end();
        });
    }

    deployment& m_world;
    std::vector<std::unique_ptr<engine_worker>> m_workers;
    std::size_t m_oldest = 0;
    std::vector<mono_time> m_frozenUntil; // end of the last freeze, or max() while it lasts
    std::map<std::string, sent_request> m_requests;
    std::map<unsigned, int> m_statuses;
    std::mt19937 m_random { 7 };
    std::uint64_t m_next = 0;
    int m_late = 0;
};

} // namespace

} // namespace balsamspring::review

int main(int argc, char** argv)
{
    using namespace balsamspring::review;
    return runCase(argc, argv, [](deployment& world) { return drain_case(world).run(); });
}

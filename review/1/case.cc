// One of three machines, the one that reads the configuration for all, is turned away by the store while many versions
// of a large configuration are written, the last of which takes the keys of a tenant away. Checks that no request with
// such a key runs that was sent later than `revoke_ms` after the acknowledgement of that version.
#include "balsamspring/base/hash.h"
#include "review/stand_ins/deployment.h"

#include <map>
#include <stdexcept>

#include <fmt/core.h>

namespace balsamspring::review {

namespace {

using namespace std::chrono_literals;

constexpr int machineCount = 3; // `platform_down`, how = nodes many, share = 0.33
constexpr int addedRoutes = 350; // `big_config`, count = 350
constexpr int changes = 25; // `config_storm`, for_s = 2.0, gap_s = 0.08 in a standard day
constexpr duration changeInterval = 80ms;
constexpr duration outage = 9s; // `platform_down`, how = nodes many, for_s = 9.0
constexpr duration revocationLimit = 5s; // `revoke_ms`
constexpr int tenantClients = 20; // connected clients of the tenant, 2 requests a second each
constexpr duration requestInterval = 25ms;

std::string configuration(int version, int routes, bool keysOfFirst)
{
    std::string text
        = routeJson({ .name = "award-record", .service = "show-ledger", .kind = "unsafe", .pathPrefix = "/award/" });
    for (int i = 0; i < routes; ++i)
        text += ","
            + routeJson({ .name = fmt::format("added-route-{}", i),
                .service = "show-ledger",
                .kind = "unsafe",
                .pathPrefix = fmt::format("/added-{}/part-{}/", i, i * 7919) });
    return fmt::format(R"({{"version":{},"routes":[{}],"services":[{{"name":"show-ledger","max_connections":110}}],)"
                       R"("tenants":[{{"name":"first","api_keys":[{}]}},{{"name":"second","api_keys":["kept-key"]}}],)"
                       R"("limits":{{"idle_timeout_ms":15000}}}})",
        version, text, keysOfFirst ? R"("taken-key")" : "");
}

struct sent_request {
    std::string key;
    mono_time sentAt;
    unsigned status = 0;
};

class revocation_case {
public:
    explicit revocation_case(deployment& world)
        : m_world(world)
        , m_worker(world.loop, "i-1", "show-ledger",
              [this](const incoming_request& request, const std::shared_ptr<response_writer>& writer) {
                  serve(request, writer);
              })
    {
    }

    verdict run()
    {
        for (int i = 0; i < machineCount; ++i)
            m_world.addMachine(fmt::format("edge-{}", i), {});
        m_world.store.put("keyed.servers", m_worker.id(), m_worker.entry("ready", 1));
        m_world.store.put("keyed.op", "config", configuration(1, 0, true));
        m_world.startMachines();
        m_machine = &readerOfConfiguration();
        sendRegularly();
        m_world.runFor(2s);
        if (m_ranBefore == 0) {
            m_world.record.add("no request with the key ran before the change");
            return verdict::CouldNotRun;
        }
        const mono_time outageBegin = bootNow();
        if (troubleWanted()) {
            m_world.record.add("the store turns the machine away (503)");
            m_world.store.setAccess(m_machine->name(), store_access::TurnedAway);
        }
        std::size_t bytes = 0;
        for (int change = 0; change < changes; ++change) {
            const bool last = change + 1 == changes;
            const std::string text = configuration(2 + change, addedRoutes, !last);
            bytes += text.size();
            m_world.store.put("keyed.op", "config", text);
            m_world.record.add(fmt::format("version {} acknowledged, {} bytes in all{}", 2 + change, bytes,
                last ? ", the key of the first tenant is taken away" : ""));
            if (last)
                m_revokedAt = bootNow();
            m_world.runFor(changeInterval);
        }
        m_world.runFor(outage - (bootNow() - outageBegin));
        if (troubleWanted()) {
            m_world.record.add("the store serves the machine again");
            m_world.store.setAccess(m_machine->name(), store_access::Served);
        }
        const mono_time end = bootNow();
        m_world.runFor(4s);
        return judge(end);
    }

private:
    // The owner of the partition of the group that the operator's topic falls into.
    machine& readerOfConfiguration() const
    {
        const auto owners = m_world.store.owners("balsamspring-gather");
        const std::string owner = owners.empty() ? std::string() : owners[hash64("keyed.op") % owners.size()];
        for (const auto& item : m_world.machines) {
            if (owner.starts_with(item->frontend().address + ":"))
                return *item;
        }
        throw std::runtime_error("no machine reads the configuration for the others");
    }

    void sendRegularly()
    {
        send("taken-key");
        if (m_next % 4 == 0)
            send("kept-key");
        m_world.loop.after(requestInterval, [this] { sendRegularly(); });
    }

    void send(const std::string& key)
    {
        const std::string id = fmt::format("{:016x}", ++m_next);
        m_requests[id] = { key, bootNow() };
        m_world.callers.send(m_machine->frontend(),
            { .id = id,
                .path = fmt::format("/award/{}", m_next % tenantClients),
                .credential = key,
                .keptConnection = true },
            [this, id, key](const client_answer& answer) {
                m_requests[id].status = answer.status;
                m_statuses[key][answer.status] += 1;
            });
    }

    void serve(const incoming_request& request, const std::shared_ptr<response_writer>& writer)
    {
        const std::string* id = request.head.find("Attempt-Id");
        const auto found = id ? m_requests.find(*id) : m_requests.end();
        if (found != m_requests.end() && found->second.key == "taken-key") {
            const sent_request& sent = found->second;
            m_ranBefore += m_revokedAt ? 0 : 1;
            if (m_revokedAt && sent.sentAt - *m_revokedAt > revocationLimit) {
                m_ranLate += 1;
                m_world.record.add(fmt::format("{} runs, sent {:.3f} s after the acknowledgement", found->first,
                    toSeconds(sent.sentAt - *m_revokedAt)));
            }
        }
        m_world.loop.after(15ms, [request, writer] { writer->send(signedHead(200, request), "done"); });
    }

    verdict judge(mono_time outageEnd)
    {
        int servedAfter = 0;
        for (const auto& [id, sent] : m_requests)
            servedAfter += sent.key == "kept-key" && sent.sentAt > outageEnd && sent.status == 200 ? 1 : 0;
        for (const auto& [key, counts] : m_statuses) {
            for (const auto& [status, count] : counts)
                m_world.record.add(fmt::format("answers to {}: {} x {}", key, status, count));
        }
        m_world.record.add(fmt::format("requests with the kept key served afterwards: {}", servedAfter));
        m_world.record.add(fmt::format("requests that ran too late: {}", m_ranLate));
        if (m_ranLate > 0)
            return verdict::Broken;
        return servedAfter > 0 ? verdict::Held : verdict::CouldNotRun;
    }

    deployment& m_world;
    worker m_worker;
    machine* m_machine = nullptr;
    std::map<std::string, sent_request> m_requests;
    std::map<std::string, std::map<unsigned, int>> m_statuses;
    std::optional<mono_time> m_revokedAt;
    std::uint64_t m_next = 0;
    int m_ranBefore = 0;
    int m_ranLate = 0;
};

} // namespace

} // namespace balsamspring::review

int main(int argc, char** argv)
{
    using namespace balsamspring::review;
    return runCase(argc, argv, [](deployment& world) { return revocation_case(world).run(); });
}

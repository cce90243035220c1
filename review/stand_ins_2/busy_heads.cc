// A crowd of clients sends one request each, whose head has many short fields and a long `Connection` field. Meanwhile
// ordinary callers send requests.
#include "support.h"

#include <stdexcept>

namespace {

using namespace review;

constexpr std::string_view config
    = R"({"version":7,"routes":[{"name":"r-lookup","host":"lookup.example",)"
      R"("path_prefix":"/lookup/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,)"
      R"("priority":2,"service":"ledger","max_attempts":2,"anonymous":true}],)"
      R"("services":[{"name":"ledger","health_check_path":"/healthz",)"
      R"("max_connections":110,"protocol":"h1","tls":false}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

// The rule holds for machines that have run undisturbed for `contact_ms`, 3,000.
constexpr auto contactTime = std::chrono::milliseconds(3500);
// Less than the queue of new connections of a listener holds.
constexpr int crowdSize = 450;
constexpr int callers = 20;
constexpr int requestsPerCaller = 3;
// The time-out of the route, and the time after it at which the rule asks for an answer.
constexpr auto routeTimeout = std::chrono::milliseconds(2000);
constexpr auto answerSlack = std::chrono::milliseconds(500);

// The fields of the crowd: 15,000 bytes, in one field or in many.
std::string crowdFields()
{
    constexpr std::size_t bytes = 15'000;
    if (!withTrouble())
        return "Note: " + std::string(bytes, 'x') + "\r\n";
    std::string fields = "Connection: a";
    while (fields.size() < bytes / 2)
        fields += ",a";
    fields += "\r\n";
    while (fields.size() < bytes)
        fields += "b:\r\n";
    return fields;
}

std::string lookup(const std::string& id, const std::string& fields)
{
    return concat({ "GET /lookup/1 HTTP/1.1\r\nHost: lookup.example\r\nAttempt-Id: ", id, "\r\nDeadline-Ms: 4000\r\n",
        fields, "\r\n" });
}

void serve(tcp_stream& stream)
{
    while (const auto request = stream.receive()) {
        const std::string id = request->field("Attempt-Id");
        if (!stream.send(concat({ "HTTP/1.1 200 OK\r\nAttempt-Id: ", id, "\r\nResponse-Signature: 3e1b.", id,
                "\r\nContent-Length: 2\r\n\r\nok" })))
            return;
    }
}

struct answer_counts {
    std::atomic<int> inTime = 0;
    std::atomic<int> late = 0; // after the route's time-out, within the slack
    std::atomic<int> none = 0;
};

// Sends one request on a new connection.
void sendOrdinary(std::uint16_t port, const std::string& id, answer_counts& counts, event_record& record)
{
    const auto client = tcp_stream::connect(port);
    if (!client || !client->send(lookup(id, {})))
        throw std::runtime_error("an ordinary caller cannot send its request");
    if (const auto answer = client->receive(routeTimeout)) {
        record.add(concat({ id, ": status ", std::to_string(answer->status()), " in time" }));
        counts.inTime += 1;
    } else if (const auto late = client->receive(answerSlack)) {
        record.add(concat({ id, ": status ", std::to_string(late->status()), " after the time-out" }));
        counts.late += 1;
    } else {
        record.add(id + ": no answer half a second after the time-out");
        counts.none += 1;
    }
}

int run(event_record& record)
{
    store_stand_in store;
    tcp_service server([](tcp_stream& stream) { serve(stream); });
    store.put("keyed.op", "config", std::string(config));
    store.put("keyed.servers", "i-ledger-1", serverEntry("ledger", server.address(), 6));
    gateway_process gateway(store.address(), {});
    std::this_thread::sleep_for(contactTime);
    answer_counts counts;
    sendOrdinary(gateway.port(), "before the crowd", counts, record);
    if (counts.inTime != 1)
        throw std::runtime_error("an ordinary request is not served before the crowd comes");
    const std::string fields = crowdFields();
    std::vector<std::unique_ptr<tcp_stream>> crowd;
    for (int i = 0; i < crowdSize; ++i) {
        auto client = tcp_stream::connect(gateway.port());
        if (!client || !client->send(lookup("crowd" + std::to_string(i), fields)))
            throw std::runtime_error("a client cannot send its request");
        crowd.push_back(std::move(client));
    }
    record.add(concat({ std::to_string(crowdSize), " requests sent, with heads of ",
        std::to_string(lookup("crowd1", fields).size()), " bytes" }));
    std::vector<std::thread> threads;
    for (int caller = 1; caller <= callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int i = 1; i <= requestsPerCaller; ++i)
                sendOrdinary(gateway.port(), concat({ "caller-", std::to_string(caller), "-", std::to_string(i) }),
                    counts, record);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    record.add(
        concat({ std::to_string(counts.inTime), " ordinary requests answered in time, ", std::to_string(counts.late),
            " within half a second after the route's time-out, ", std::to_string(counts.none), " not" }));
    return counts.none > counts.late && counts.none > callers ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char** arguments) { return runCase(run, argumentCount, arguments); }

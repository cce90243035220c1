// A client sends requests on one connection without waiting for the answers in between. The gateway's process stands
// still while the answer to the first request and the last bytes of the client arrive.
#include "support.h"

#include <csignal>
#include <stdexcept>

namespace {

using namespace review;

constexpr std::string_view config
    = R"({"version":7,"routes":[{"name":"r-lookup","host":"lookup.example",)"
      R"("path_prefix":"/lookup/","kind":"safe","timeout_ms":8000,"target_latency_ms":4000,)"
      R"("priority":0,"service":"ledger","max_attempts":2,"anonymous":true},)"
      R"({"name":"r-entry","host":"lookup.example","path_prefix":"/entry/",)"
      R"("kind":"unsafe","timeout_ms":8000,"target_latency_ms":4000,"priority":0,)"
      R"("service":"ledger","max_attempts":1,"anonymous":true}],)"
      R"("services":[{"name":"ledger","health_check_path":"/healthz",)"
      R"("max_connections":110,"protocol":"h1","tls":false}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string lookup(const std::string& name)
{
    return "GET /lookup/" + name + " HTTP/1.1\r\nHost: lookup.example\r\nAttempt-Id: " + name
        + "\r\nDeadline-Ms: 8000\r\n\r\n";
}

// Answers each lookup with its name, the first one after a delay.
void serve(tcp_stream& stream, event_record& record, std::atomic<bool>& ranQuote)
{
    while (const auto request = stream.receive()) {
        const std::string name = request->field("Attempt-Id");
        record.add("server runs " + request->start + ", Attempt-Id " + name + ", "
            + std::to_string(request->body.size()) + " bytes of body");
        if (name == "quoted-text") {
            ranQuote = true;
            record.add("no client sent this request");
        }
        if (name.starts_with("first"))
            std::this_thread::sleep_for(milliseconds(300));
        const std::string body = "answer to " + name + "\n";
        record.add("server answers " + name);
        if (!stream.send(concat({ "HTTP/1.1 200 OK\r\nAttempt-Id: ", name, "\r\nResponse-Signature: 3e1b.", name,
                "\r\nContent-Length: ", std::to_string(body.size()), "\r\n\r\n", body })))
            return;
    }
}

int runRound(gateway_process& gateway, event_record& record, int round)
{
    const std::string suffix = "-" + std::to_string(round);
    const std::vector<std::string> names { "first" + suffix, "second" + suffix, "third" + suffix };
    const auto client = tcp_stream::connect(gateway.port());
    if (!client)
        throw std::runtime_error("cannot connect to the gateway");
    client->send(lookup(names[0]));
    std::this_thread::sleep_for(milliseconds(50));
    client->send(lookup(names[1]));
    record.add("client sent " + names[0] + " and " + names[1]);
    std::this_thread::sleep_for(milliseconds(100));
    if (withTrouble()) {
        gateway.signal(SIGSTOP);
        record.add("the gateway's process stands still");
    }
    std::this_thread::sleep_for(milliseconds(400));
    client->send(lookup(names[2]));
    record.add("client sent " + names[2]);
    std::this_thread::sleep_for(milliseconds(200));
    if (withTrouble()) {
        gateway.signal(SIGCONT);
        record.add("the gateway's process goes on");
    }
    int outcome = ruleHeld;
    for (const std::string& name : names) {
        const auto answer = client->receive(std::chrono::seconds(9));
        if (!answer) {
            record.add("no answer where that to " + name + " is due");
            break;
        }
        const std::string got = answer->field("Attempt-Id");
        record.add(concat({ "client got ", std::to_string(answer->status()), " for ", got, " where the answer to ",
            name, " is due: ", answer->body.substr(0, answer->body.find('\n')) }));
        if (answer->status() == 200 && got != name)
            outcome = ruleBroken;
    }
    return outcome;
}

// The client sends a lookup, and then an entry in two parts. The text of the entry quotes a request.
void sendQuote(gateway_process& gateway, event_record& record)
{
    const std::string quote = "POST /entry/quoted HTTP/1.1\r\nHost: lookup.example\r\nAttempt-Id: quoted-text\r\n"
                              "Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n";
    const std::string note = "The log of the other program shows:\n";
    const auto client = tcp_stream::connect(gateway.port());
    if (!client)
        throw std::runtime_error("cannot connect to the gateway");
    client->send(lookup("first-4"));
    std::this_thread::sleep_for(milliseconds(50));
    client->send("POST /entry/1 HTTP/1.1\r\nHost: lookup.example\r\nAttempt-Id: entry-4\r\nDeadline-Ms: 8000\r\n"
                 "Content-Length: "
        + std::to_string(note.size() + quote.size()) + "\r\n\r\n" + note);
    record.add("client sent first-4 and the first part of entry-4");
    std::this_thread::sleep_for(milliseconds(100));
    if (withTrouble()) {
        gateway.signal(SIGSTOP);
        record.add("the gateway's process stands still");
    }
    std::this_thread::sleep_for(milliseconds(400));
    client->send(quote);
    record.add("client sent the rest of entry-4");
    std::this_thread::sleep_for(milliseconds(200));
    if (withTrouble()) {
        gateway.signal(SIGCONT);
        record.add("the gateway's process goes on");
    }
    while (const auto answer = client->receive(std::chrono::seconds(2)))
        record.add("client got " + std::to_string(answer->status()) + " for " + answer->field("Attempt-Id"));
}

int run(event_record& record)
{
    std::atomic<bool> ranQuote = false;
    store_stand_in store;
    tcp_service server([&](tcp_stream& stream) { serve(stream, record, ranQuote); });
    store.put("keyed.op", "config", std::string(config));
    store.put("keyed.servers", "i-ledger-1", serverEntry("ledger", server.address(), 6));
    gateway_process gateway(store.address(), {});
    int outcome = ruleHeld;
    for (int round = 1; round <= 3; ++round) {
        if (runRound(gateway, record, round) == ruleBroken)
            outcome = ruleBroken;
    }
    sendQuote(gateway, record);
    return ranQuote ? ruleBroken : outcome;
}

} // namespace

int main(int argumentCount, char** arguments) { return runCase(run, argumentCount, arguments); }

// Clients send requests with one stage to a gateway under steady load. One server of the stage sends a second copy of
// an answer, late, on a connection that carries the next call.
#include "support.h"

#include <array>
#include <cstdio>
#include <functional>
#include <set>
#include <stdexcept>

namespace {

using namespace review;

constexpr std::string_view config
    = R"({"version":7,"routes":[{"name":"r-report","host":"report.example","path_prefix":"/report/",)"
      R"("kind":"streaming","timeout_ms":8000,"target_latency_ms":1600,"priority":0,"service":"model",)"
      R"("max_attempts":2,"stages":[{"service":"portal","after":[],"size_bytes":8000}],"anonymous":true,)"
      R"("session_affinity":true,"resumable":true,"itl_target_ms":150}],)"
      R"("services":[{"name":"model","health_check_path":"/healthz","max_connections":370,"protocol":"h1",)"
      R"("tls":false,"engine":{"slots":64,"kv_capacity_tokens":440117}},)"
      R"({"name":"portal","health_check_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,)"
      R"("segments":{"slots":1,"queue":2,"batch":8,"call_ms":150.0,"item_ms":16.0,"headroom_mb":36.0,)"
      R"("handle_ttl_s":4.0,"link_mbps":10000}}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000}})";

constexpr unsigned clients = 64;
constexpr unsigned stageServers = 4;
constexpr auto runTime = std::chrono::seconds(12);
// The faulty server repeats a single answer, after it has given this many, to stay below the share that the platform
// allows.
constexpr unsigned answersBeforeCopy = 40;
// A call for which each item gets the reason `error`: one in this many.
constexpr unsigned callsPerError = 12;

// All results that the servers of the stage have made, by handle.
class result_table {
public:
    void add(const std::string& handle, const std::string& request)
    {
        const std::lock_guard lock(m_mutex);
        m_madeFor[handle] = request;
    }

    void free(const std::string& handle)
    {
        const std::lock_guard lock(m_mutex);
        m_freed.insert(handle);
    }

    // The request for which the result was made. Nothing if it does not exist any more.
    std::optional<std::string> madeFor(const std::string& handle)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_madeFor.find(handle);
        if (found == m_madeFor.end() || m_freed.contains(handle))
            return std::nullopt;
        return found->second;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_madeFor;
    std::set<std::string> m_freed;
};

std::string okAnswer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Load: 0,0,1\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The strings that follow `"NAME":"` in a JSON text.
std::vector<std::string> jsonTexts(const std::string& text, const std::string& name)
{
    std::vector<std::string> values;
    const std::string begin = "\"" + name + "\":\"";
    for (auto at = text.find(begin); at != std::string::npos; at = text.find(begin, at)) {
        at += begin.size();
        values.push_back(text.substr(at, text.find('"', at) - at));
    }
    return values;
}

std::string join(const std::vector<std::string>& words)
{
    std::string text;
    for (const std::string& word : words)
        text += (text.empty() ? "" : " ") + word;
    return text;
}

// A server of the stage: one call at a time, 150 ms and 16 ms for each item.
class stage_server {
public:
    stage_server(unsigned number, result_table& results, event_record& record)
        : m_id("i-portal-" + std::to_string(number))
        , m_faulty(withTrouble() && number == 1)
        , m_results(results)
        , m_record(record)
        , m_service([this](tcp_stream& stream) { serve(stream); })
    {
    }

    const std::string& id() const { return m_id; }
    std::string address() const { return m_service.address(); }
    unsigned answers() const { return m_answers; }

private:
    void serve(tcp_stream& stream)
    {
        std::string copy; // to be sent once more, ahead of the answer to the next call
        while (const auto request = stream.receive()) {
            const bool isCall = request->target() == "/stage-run";
            if (!copy.empty() && isCall) {
                m_record.add(m_id + " sends a second copy of its answer before it works on the call for "
                    + join(jsonTexts(request->body, "id")));
                if (!stream.send(copy))
                    return;
                copy.clear();
            }
            std::string answer;
            if (isCall)
                answer = work(request->body, copy);
            else if (request->target() == "/stage-free")
                answer = freeResults(request->body);
            else
                answer = okAnswer(R"({"waiting":0,"busy":false,"free_mb":36.0})");
            m_answers += 1;
            if (!stream.send(answer))
                return;
        }
    }

    // Sets `copy` to the answer if it is the one that is sent twice.
    std::string work(const std::string& call, std::string& copy)
    {
        const std::lock_guard oneCall(m_slot);
        const auto requests = jsonTexts(call, "id");
        std::this_thread::sleep_for(milliseconds(150 + 16 * requests.size()));
        const unsigned number = ++m_calls;
        const bool failed = number % callsPerError == 0;
        std::string items;
        for (std::size_t i = 0; i < requests.size(); ++i) {
            items += items.empty() ? "" : ",";
            if (failed) {
                items += R"({"reason":"error"})";
                continue;
            }
            const std::string handle = address() + "/" + m_id + "-" + std::to_string(number) + "-" + std::to_string(i);
            m_results.add(handle, requests[i]);
            items.append(R"({"handle":")").append(handle).append(R"("})");
        }
        std::string answer = okAnswer(R"({"items":[)" + items + "]}");
        m_record.add(
            m_id + " call " + std::to_string(number) + (failed ? ", error, for " : ", made for ") + join(requests));
        if (m_faulty && failed && m_answers >= answersBeforeCopy) {
            copy = answer;
            m_faulty = false;
        }
        return answer;
    }

    std::string freeResults(const std::string& body)
    {
        const auto begin = body.find('[');
        std::string_view list(body);
        list = list.substr(begin == std::string::npos ? body.size() : begin);
        while (!list.empty()) {
            const auto open = list.find('"');
            const auto close = open == std::string_view::npos ? open : list.find('"', open + 1);
            if (close == std::string_view::npos)
                break;
            m_results.free(std::string(list.substr(open + 1, close - open - 1)));
            list.remove_prefix(close + 1);
        }
        return okAnswer("{}");
    }

    const std::string m_id;
    std::atomic<bool> m_faulty;
    result_table& m_results;
    event_record& m_record;
    std::mutex m_slot;
    std::atomic<unsigned> m_answers = 0;
    std::atomic<unsigned> m_calls = 0;
    tcp_service m_service;
};

// Runs the requests: each gives three events. Counts those that were handed results of other requests.
class model_server {
public:
    model_server(unsigned number, result_table& results, event_record& record)
        : m_id("i-model-" + std::to_string(number))
        , m_results(results)
        , m_record(record)
        , m_service([this](tcp_stream& stream) { serve(stream); })
    {
    }

    const std::string& id() const { return m_id; }
    std::string address() const { return m_service.address(); }
    unsigned runs() const { return m_runs; }
    unsigned mixed() const { return m_mixed; }

private:
    void serve(tcp_stream& stream)
    {
        while (const auto request = stream.receive()) {
            const std::string id = request->field("Attempt-Id");
            if (id.empty()) {
                if (!stream.send(okAnswer(R"({"waiting":0,"running":0,"runs":[]})")))
                    return;
                continue;
            }
            const std::string handle = request->field("Input-Count");
            const auto owner = m_results.madeFor(handle);
            if (!owner) {
                m_record.add(concat({ m_id, " rejects ", id, ": no result ", handle }));
                if (!stream.send("HTTP/1.1 409 Conflict\r\nAttempt-Id: " + id
                        + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            m_runs += 1;
            m_record.add(concat({ m_id, " runs ", id, " with ", handle }));
            if (*owner != id) {
                m_mixed += 1;
                m_record.add(
                    concat({ m_id, " runs ", id, " with the result ", handle, ", which was made for ", *owner }));
            }
            if (!answer(stream, id))
                return;
        }
    }

    static bool answer(tcp_stream& stream, const std::string& id)
    {
        if (!stream.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: 3e1b." + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int event = 1; event <= 3; ++event) {
            std::this_thread::sleep_for(milliseconds(15));
            const std::string text = "id: " + std::to_string(event) + "\ndata: text\n\n";
            std::array<char, 16> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
            if (!stream.send(size.data() + text + "\r\n"))
                return false;
        }
        return stream.send("0\r\n\r\n");
    }

    const std::string m_id;
    result_table& m_results;
    event_record& m_record;
    std::atomic<unsigned> m_runs = 0;
    std::atomic<unsigned> m_mixed = 0;
    tcp_service m_service;
};

// Sends requests, each after the answer to the one before.
void runClient(unsigned number, std::uint16_t port, std::atomic<unsigned>& served, event_record& record)
{
    const auto end = std::chrono::steady_clock::now() + runTime;
    std::unique_ptr<tcp_stream> connection;
    for (unsigned count = 1; std::chrono::steady_clock::now() < end; ++count) {
        if (!connection)
            connection = tcp_stream::connect(port);
        const std::string id = "c" + std::to_string(number) + "r" + std::to_string(count);
        const std::string body = "question";
        if (!connection
            || !connection->send(concat({ "POST /report/1 HTTP/1.1\r\nHost: report.example\r\nAttempt-Id: ", id,
                "\r\nDeadline-Ms: 8000\r\nModel: m\r\nToken-Count: 800,9\r\nPrompt-Prefix: 5c1e07a2:400,",
                std::to_string(1000 * number + count), ":400\r\nChunk-Count: 1\r\nChunk-Key: k", id,
                "\r\nContent-Length: ", std::to_string(body.size()), "\r\n\r\n", body }))) {
            connection.reset();
            continue;
        }
        record.add("client sent " + id);
        const auto answer = connection->receive(std::chrono::seconds(9));
        record.add(concat({ "client got ", answer ? std::to_string(answer->status()) : "no answer", " for ", id }));
        if (!answer || answer->field("Connection") == "close")
            connection.reset();
        if (answer && answer->status() == 200)
            served += 1;
        else
            std::this_thread::sleep_for(milliseconds(300));
    }
}

int run(event_record& record)
{
    result_table results;
    store_stand_in store;
    std::vector<std::unique_ptr<stage_server>> portals;
    std::vector<std::unique_ptr<model_server>> models;
    store.put("keyed.op", "config", std::string(config));
    for (unsigned i = 1; i <= stageServers; ++i) {
        portals.push_back(std::make_unique<stage_server>(i, results, record));
        store.put("keyed.servers", portals.back()->id(), serverEntry("portal", portals.back()->address(), 1));
    }
    for (unsigned i = 1; i <= 2; ++i) {
        models.push_back(std::make_unique<model_server>(i, results, record));
        store.put("keyed.servers", models.back()->id(), serverEntry("model", models.back()->address(), 64));
    }
    std::atomic<unsigned> served = 0;
    {
        gateway_process gateway(store.address(), {});
        std::this_thread::sleep_for(std::chrono::seconds(1));
        std::vector<std::thread> threads;
        for (unsigned i = 1; i <= clients; ++i)
            threads.emplace_back(runClient, i, gateway.port(), std::ref(served), std::ref(record));
        for (std::thread& thread : threads)
            thread.join();
    }
    unsigned runs = 0;
    unsigned mixed = 0;
    for (const auto& model : models) {
        runs += model->runs();
        mixed += model->mixed();
    }
    record.add(std::to_string(served) + " requests served, " + std::to_string(runs) + " run, " + std::to_string(mixed)
        + " of them with a result that was made for another request; " + std::to_string(portals.front()->answers())
        + " answers of i-portal-1");
    if (served < clients)
        throw std::runtime_error("hardly any request was served");
    return mixed > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char** arguments) { return runCase(run, argumentCount, arguments); }

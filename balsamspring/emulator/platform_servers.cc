#include "balsamspring/emulator/platform_servers.h"

#include "balsamspring/base/hash.h"

#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using json = nlohmann::json;

constexpr std::string_view logsPath = "/v1/logs/";
constexpr duration slowPieceInterval = std::chrono::milliseconds(20);

std::uint64_t numberOf(const std::string& text, std::uint64_t fallback)
{
    return text.empty() ? fallback : std::stoull(text);
}

log_faults faultsOf(const json& object)
{
    return { .out = object.value("out", false),
        .loseAck = object.value("lose_ack", 0.0),
        .dropAppend = object.value("drop_append", 0.0),
        .duplicate = object.value("duplicate", 0.0),
        .slowReads = object.value("slow_reads", false),
        .brokenReads = object.value("broken_reads", false) };
}

} // namespace

log_server::log_server(const log_server_options& options)
    : m_options(options)
    , m_log(options.seed)
{
}

void log_server::start(std::uint16_t port)
{
    m_server.start(port, [this](const exchange_pointer& exchange) {
        try {
            handle(exchange);
        } catch (const std::exception&) {
            exchange->reply(400, R"({"error":{"reason":"invalid_request","work":"not_run"}})");
        }
    });
}

void log_server::setFaults(const log_faults& faults)
{
    m_server.run([&] {
        m_faults = faults;
        log_faults inLog = faults;
        inLog.slowReads = false;
        inLog.brokenReads = false;
        m_log.setFaults(inLog);
    });
}

void log_server::handle(const exchange_pointer& exchange)
{
    const std::string& path = exchange->path();
    if (path == "/v1/faults" && exchange->method() == "POST") {
        setFaults(faultsOf(json::parse(exchange->body())));
        return exchange->reply(200, "{}");
    }
    if (!path.starts_with(logsPath))
        return exchange->reply(404, R"({"error":{"reason":"unknown_path","work":"not_run"}})");
    const std::string stream = path.substr(logsPath.size());
    if (exchange->method() == "POST")
        append(exchange, stream);
    else
        read(exchange, stream);
}

void log_server::append(const exchange_pointer& exchange, const std::string& stream)
{
    std::vector<std::string> records;
    const json body = json::parse(exchange->body());
    for (const json& item : body.at("records"))
        records.push_back(fromBase64(item.get<std::string>()).value());
    m_log.append(stream, std::move(records), {}, [&](const result<log_offset>& answer) {
        if (answer)
            exchange->reply(200, json({ { "offset", answer->value() } }).dump());
        else if (answer.error().code != error_code::Timeout)
            exchange->reply(503, R"({"error":{"reason":"log_unavailable"}})");
    });
    if (!m_options.retention)
        return;
    m_log.read(stream, log_offset(UINT64_MAX), 0, {}, [&](const result<log_page>& page) {
        if (page && page->next.value() > m_options.retention)
            m_log.trim(stream, log_offset(page->next.value() - m_options.retention));
    });
}

void log_server::read(const exchange_pointer& exchange, const std::string& stream)
{
    if (m_faults.slowReads) {
        exchange->begin(200, "application/json");
        return sendSlowly(exchange);
    }
    const log_offset from(numberOf(exchange->query("from"), 0));
    const std::size_t limit = numberOf(exchange->query("max"), 1000);
    result<log_page> page = log_page {};
    m_log.read(stream, from, limit, {}, [&](result<log_page> answer) { page = std::move(answer); });
    if (!page)
        return exchange->reply(503, R"({"error":{"reason":"log_unavailable"}})");
    json records = json::array();
    for (const log_record& record : page->records)
        records.push_back({ { "offset", record.offset.value() }, { "data", toBase64(record.bytes) } });
    json body { { "records", std::move(records) }, { "earliest", page->earliest.value() },
        { "next", page->next.value() } };
    body["tail"] = page->next.value() + (page->atTail ? 0 : 1); // a lower bound is enough for the reader
    const std::string text = body.dump();
    if (!m_faults.brokenReads)
        return exchange->reply(200, text);
    exchange->begin(200, "application/json");
    exchange->write(std::string_view(text).substr(0, text.size() / 2));
    m_server.after(slowPieceInterval, [exchange] { exchange->reset(); });
}

// Sends a blank now and then, so that only a limit on the whole time ends the read.
void log_server::sendSlowly(const exchange_pointer& exchange)
{
    if (exchange->closed())
        return;
    exchange->write(" ");
    m_server.after(slowPieceInterval, [this, exchange] { sendSlowly(exchange); });
}

void vm_list_server::start(std::uint16_t port)
{
    m_server.start(port, [this](const std::shared_ptr<http_exchange>& exchange) {
        if (exchange->path() != "/v1/vms")
            return exchange->reply(404, "{}");
        if (exchange->method() == "POST") {
            m_list = exchange->body();
            return exchange->reply(200, "{}");
        }
        if (!m_hung)
            exchange->reply(200, m_list);
    });
}

void vm_list_server::setEntries(const std::vector<vm_entry>& entries, duration lag)
{
    json list = json::array();
    for (const vm_entry& entry : entries) {
        list.push_back({ { "id", entry.id.value() }, { "address", entry.address }, { "zone", entry.zone.value() },
            { "kind", entry.kind == vm_kind::Entry ? "entry" : "backend" },
            { "state", entry.state == vm_state::Live ? "live" : "leaving" } });
    }
    m_server.run([this, lag, text = list.dump()] {
        if (lag > duration::zero())
            m_server.after(lag, [this, text] { m_list = text; });
        else
            m_list = text;
    });
}

void vm_list_server::setHung(bool hung)
{
    m_server.run([this, hung] { m_hung = hung; });
}

} // namespace balsamspring

#include "support.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace review {

namespace {

using steady = std::chrono::steady_clock;

const steady::time_point caseStart = steady::now();

// The gateway that runs, for the end of a case by a signal.
std::atomic<pid_t> runningGateway = 0;

void endBySignal(int)
{
    if (const pid_t process = runningGateway)
        kill(process, SIGKILL);
    _exit(notRun);
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// A listener on a port of its own.
int openListener(std::uint16_t& port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (listener < 0 || bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(listener, 4096) != 0
        || getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error("cannot listen on loopback");
    port = ntohs(address.sin_port);
    return listener;
}

bool sameName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string parameter(const std::string& target, const std::string& name)
{
    auto at = target.find("?" + name + "=");
    if (at == std::string::npos)
        at = target.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::string bigEndian(std::uint64_t value, unsigned bytes)
{
    std::string text;
    for (unsigned i = bytes; i > 0; --i)
        text += static_cast<char>(value >> (8 * (i - 1)) & 0xffU);
    return text;
}

std::string base64(const std::string& bytes)
{
    static constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += k <= count ? digits[group >> (18 - 6 * k) & 63U] : '=';
    }
    return text;
}

std::string jsonAnswer(const std::string& body, std::string_view status = "200 OK")
{
    return "HTTP/1.1 " + std::string(status)
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The string after `"NAME":` in a flat JSON object.
std::string jsonText(const std::string& body, const std::string& name)
{
    const auto at = body.find("\"" + name + "\"");
    if (at == std::string::npos)
        return {};
    const auto begin = body.find('"', body.find(':', at)) + 1;
    return body.substr(begin, body.find('"', begin) - begin);
}

} // namespace

bool withTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

std::string concat(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text += part;
    return text;
}

double elapsedMs() { return std::chrono::duration<double, std::milli>(steady::now() - caseStart).count(); }

event_record::event_record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "we"))
{
    if (!m_file)
        throw std::runtime_error("cannot write " + path);
}

event_record::~event_record() { std::fclose(m_file); }

void event_record::add(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%9.1f ms  %s\n", elapsedMs(), line.c_str());
    std::fflush(m_file);
}

std::string http_message::field(std::string_view name) const
{
    for (const auto& [known, value] : fields) {
        if (sameName(known, name))
            return value;
    }
    return {};
}

std::string http_message::method() const { return start.substr(0, start.find(' ')); }

std::string http_message::target() const
{
    const auto begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

int http_message::status() const { return std::atoi(target().c_str()); }

tcp_stream::tcp_stream(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

tcp_stream::~tcp_stream() { ::close(m_descriptor); }

std::unique_ptr<tcp_stream> tcp_stream::connect(std::uint16_t port, int receiveBuffer)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    if (receiveBuffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<tcp_stream>(descriptor);
}

bool tcp_stream::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

ssize_t tcp_stream::read(char* bytes, std::size_t count, milliseconds limit)
{
    pollfd waiting { m_descriptor, POLLIN, 0 };
    const auto wait = std::min<std::int64_t>(limit.count(), 3'600'000);
    if (poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(0, wait))) <= 0)
        return -1;
    return recv(m_descriptor, bytes, count, 0);
}

bool tcp_stream::fill(steady::time_point end)
{
    std::array<char, 16384> bytes {};
    const ssize_t count
        = read(bytes.data(), bytes.size(), std::chrono::duration_cast<milliseconds>(end - steady::now()));
    if (count <= 0)
        return false;
    m_input.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> tcp_stream::takeLine(steady::time_point end)
{
    for (;;) {
        const auto at = m_input.find("\r\n");
        if (at != std::string::npos) {
            std::string line = m_input.substr(0, at);
            m_input.erase(0, at + 2);
            return line;
        }
        if (!fill(end))
            return std::nullopt;
    }
}

std::optional<std::string> tcp_stream::takeBytes(std::size_t count, steady::time_point end)
{
    while (m_input.size() < count) {
        if (!fill(end))
            return std::nullopt;
    }
    std::string bytes = m_input.substr(0, count);
    m_input.erase(0, count);
    return bytes;
}

std::optional<http_message> tcp_stream::receive(milliseconds limit)
{
    const auto end = steady::now() + limit;
    http_message message;
    auto line = takeLine(end);
    if (!line)
        return std::nullopt;
    message.start = *line;
    while ((line = takeLine(end)) && !line->empty()) {
        const auto colon = line->find(':');
        auto begin = colon == std::string::npos ? line->size() : colon + 1;
        while (begin < line->size() && (*line)[begin] == ' ')
            ++begin;
        message.fields.emplace_back(line->substr(0, colon), line->substr(begin));
    }
    if (!line)
        return std::nullopt;
    if (sameName(message.field("Transfer-Encoding"), "chunked")) {
        for (;;) {
            const auto size = takeLine(end);
            if (!size)
                return std::nullopt;
            const std::size_t count = std::strtoull(size->c_str(), nullptr, 16);
            const auto chunk = takeBytes(count + 2, end);
            if (!chunk)
                return std::nullopt;
            if (count == 0)
                return message;
            message.body.append(*chunk, 0, count);
        }
    }
    const std::string length = message.field("Content-Length");
    if (!length.empty()) {
        auto body = takeBytes(std::strtoull(length.c_str(), nullptr, 10), end);
        if (!body)
            return std::nullopt;
        message.body = std::move(*body);
    }
    return message;
}

void tcp_stream::close() { shutdown(m_descriptor, SHUT_RDWR); }

tcp_service::tcp_service(connection_handler handler)
    : m_handler(std::move(handler))
    , m_listener(openListener(m_port))
    , m_acceptor([this] { acceptLoop(); })
{
}

tcp_service::~tcp_service()
{
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& stream : m_streams)
            stream->close();
    }
    for (std::thread& thread : m_threads)
        thread.join();
}

std::string tcp_service::address() const { return "127.0.0.1:" + std::to_string(m_port); }

void tcp_service::acceptLoop()
{
    for (;;) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        auto stream = std::make_shared<tcp_stream>(descriptor);
        const std::lock_guard lock(m_mutex);
        m_streams.push_back(stream);
        m_threads.emplace_back([this, stream] {
            m_handler(*stream);
            stream->close();
        });
    }
}

model_stand_in::model_stand_in(unsigned promptTokens, unsigned events)
    : m_listener(openListener(m_port))
    , m_promptTokens(promptTokens)
    , m_events(events)
    , m_acceptor([this] {
        for (int accepted = 0; (accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
            const std::lock_guard lock(m_mutex);
            m_waiting.push_back(accepted);
        }
    })
    , m_engine([this] { serve(); })
{
}

model_stand_in::~model_stand_in()
{
    m_stopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    m_engine.join();
    ::close(m_listener);
    for (const int connection : m_waiting)
        ::close(connection);
}

void model_stand_in::dropRequests()
{
    const std::lock_guard lock(m_mutex);
    for (const int connection : m_waiting)
        ::close(connection);
    m_waiting.clear();
    m_dropping = true;
}

void model_stand_in::serve()
{
    constexpr double tokensPerMs = 51.1;
    const auto prefill = std::chrono::microseconds(static_cast<std::int64_t>(1000 * m_promptTokens / tokensPerMs));
    constexpr auto eventInterval = milliseconds(75);
    auto nextBegin = steady::now() + prefill;
    auto nextEvent = steady::now() + eventInterval;
    while (!m_stopping) {
        std::this_thread::sleep_until(std::min({ nextBegin, nextEvent, steady::now() + milliseconds(50) }));
        const auto now = steady::now();
        if (m_dropping.exchange(false))
            m_runs.clear();
        if (now >= nextBegin) {
            beginNext();
            nextBegin = now + prefill;
        }
        if (now >= nextEvent) {
            sendEvents();
            nextEvent = now + eventInterval;
        }
    }
}

void model_stand_in::beginNext()
{
    int connection = -1;
    {
        const std::lock_guard lock(m_mutex);
        if (m_waiting.empty())
            return;
        connection = m_waiting.front();
        m_waiting.erase(m_waiting.begin());
    }
    auto stream = std::make_unique<tcp_stream>(connection);
    const auto request = stream->receive(milliseconds(20));
    if (!request)
        return;
    const std::string id = request->field("Attempt-Id");
    if (!stream->send(concat({ "HTTP/1.1 200 OK\r\nAttempt-Id: ", id, "\r\nResponse-Signature: 3e1b.", id,
            "\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" })))
        return;
    m_begun += 1;
    m_runs.push_back({ std::move(stream), 0 });
}

void model_stand_in::sendEvents()
{
    std::erase_if(m_runs, [this](run& item) {
        item.events += 1;
        const std::string event = concat({ "id: ", std::to_string(item.events), "\ndata: text\n\n" });
        std::array<char, 16> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        const bool last = item.events >= m_events;
        const bool sent = item.stream->send(concat({ size.data(), event, "\r\n", last ? "0\r\n\r\n" : "" }));
        return last || !sent;
    });
}

store_stand_in::store_stand_in()
    : m_service(std::make_unique<tcp_service>([this](tcp_stream& stream) { serve(stream); }))
{
}

store_stand_in::~store_stand_in()
{
    m_stopping = true;
    m_changed.notify_all();
    m_service.reset();
}

void store_stand_in::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({ key, value });
    m_changed.notify_all();
}

void store_stand_in::serve(tcp_stream& stream)
{
    while (const auto request = stream.receive()) {
        if (!stream.send(answer(*request)))
            return;
    }
}

std::string store_stand_in::answer(const http_message& request)
{
    const std::string target = request.target();
    const std::string topic = parameter(target, "topic");
    if (target.starts_with("/log-newest"))
        return newest(topic);
    if (target.starts_with("/log-read"))
        return page(topic, std::strtoull(parameter(target, "source").c_str(), nullptr, 10),
            milliseconds(std::atoi(parameter(target, "wait_ms").c_str())));
    if (target.starts_with("/log-append"))
        return append(request, topic);
    if (target.starts_with("/log-owners"))
        return owners();
    const std::lock_guard lock(m_mutex);
    const std::string member = jsonText(request.body, "member");
    const auto known = std::find(m_members.begin(), m_members.end(), member);
    if (target.starts_with("/log-join") && known == m_members.end())
        m_members.push_back(member);
    if (target.starts_with("/log-leave") && known != m_members.end())
        m_members.erase(known);
    return jsonAnswer(R"({"generation":)" + std::to_string(m_members.size()) + R"(,"ttl_ms":3000,"parts":[]})");
}

std::string store_stand_in::newest(const std::string& topic)
{
    const std::lock_guard lock(m_mutex);
    const auto& records = m_topics[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < records.size(); ++i)
        last[records[i].key] = i;
    std::string items;
    for (const auto& [key, offset] : last) {
        if (records[offset].value.empty())
            continue;
        items += (items.empty() ? "" : ",");
        items.append(R"({"key":")").append(key).append(R"(","value":")").append(base64(records[offset].value));
        items.append(R"(","offset":)").append(std::to_string(offset)).append("}");
    }
    return jsonAnswer(
        R"({"items":[)" + items + R"(],"has_more":false,"end_offset":)" + std::to_string(records.size()) + "}");
}

std::string store_stand_in::page(const std::string& topic, std::size_t from, milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return m_stopping || m_topics[topic].size() > from; });
    const auto& records = m_topics[topic];
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
        const auto& [key, value] = records[i];
        body += bigEndian(1 + key.size() + value.size(), 4);
        body += static_cast<char>(key.size());
        body += key + value;
    }
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string store_stand_in::append(const http_message& request, const std::string& topic)
{
    const std::lock_guard lock(m_mutex);
    auto& records = m_topics[topic];
    const std::string expected = parameter(request.target(), "at");
    if (!expected.empty() && std::strtoull(expected.c_str(), nullptr, 10) != records.size())
        return jsonAnswer(R"({"end_offset":)" + std::to_string(records.size()) + "}", "412 Precondition Failed");
    const std::size_t first = records.size();
    std::string_view body = request.body;
    while (body.size() > 4) {
        std::size_t length = 0;
        for (const char byte : body.substr(0, 4))
            length = length << 8U | static_cast<unsigned char>(byte);
        const std::string_view bytes = body.substr(4, length);
        const auto keyBytes = static_cast<unsigned char>(bytes.front());
        records.push_back({ std::string(bytes.substr(1, keyBytes)), std::string(bytes.substr(1U + keyBytes)) });
        body.remove_prefix(4 + length);
    }
    m_changed.notify_all();
    return jsonAnswer(
        R"({"offset":)" + std::to_string(first) + R"(,"end_offset":)" + std::to_string(records.size()) + "}");
}

std::string store_stand_in::owners()
{
    const std::lock_guard lock(m_mutex);
    std::string rows;
    constexpr std::size_t partitions = 12;
    for (std::size_t part = 0; part < partitions && !m_members.empty(); ++part) {
        rows += (rows.empty() ? "" : ",");
        rows.append(R"(["balsamspring",)").append(std::to_string(part)).append(R"(,")");
        rows.append(m_members[part % m_members.size()]).append(R"(",0])");
    }
    return jsonAnswer(R"({"parts":[)" + rows + "]}");
}

std::string serverEntry(const std::string& service, const std::string& address, unsigned slots)
{
    return R"({"service":")" + service + R"(","address":")" + address + R"(","zone":"z-a","version":"v1","slots":)"
        + std::to_string(slots) + R"(,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1770000000000})";
}

std::uint16_t freePort()
{
    std::uint16_t port = 0;
    ::close(openListener(port));
    return port;
}

gateway_process::gateway_process(const std::string& store, const gateway_limits& limits)
    : m_port(freePort())
    , m_readiness(freePort())
{
    std::string directory = "/tmp/review-gateway-XXXXXX";
    if (!mkdtemp(directory.data()))
        throw std::runtime_error("cannot create a temporary folder");
    m_directory = directory;
    const std::uint16_t internal = freePort();
    const std::string settingsPath = m_directory + "/boot.toml";
    const auto address = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    std::ofstream settings(settingsPath);
    settings << "node_name = \"edge-z-a-1\"\nrole = \"gateway\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\n"
             << "ip = \"127.0.0.1\"\nzone = \"z-a\"\nregion = \"z\"\ninternal_port_range = [" << internal << ","
             << internal + 15 << "]\nheartbeat_ms = 1200\n[listen_addresses]\nfrontend = " << address(m_port)
             << "\nreadiness = " << address(m_readiness)
             << "\n[limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = " << limits.memoryMb
             << "\nfile_descriptors = " << limits.descriptors
             << "\nlink_mbps = 1000.0\n[bounds]\naddress_reuse_s = 2\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\n"
                "loss_slack_ms = 200\nconfig_apply_ms = 2000\nrevocation_strict = true\nrevoke_ms = 5000\n"
                "retry_budget_ratio = 0.2\nbudget_window_s = 10\nretry_budget_slack = 58\n[platform]\naddress = \""
             << store << "\"\nform = \"log\"\nparts = 12\n";
    settings.close();
    std::vector<std::string> words { "target/apps/balsamspring-gateway", "--metrics-port", std::to_string(freePort()) };
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::string variable = "BALSAMSPRING_NODE_FILE=" + settingsPath;
    std::vector<char*> environment { variable.data() };
    for (char** entry = environ; *entry; ++entry)
        environment.push_back(*entry);
    environment.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, (m_directory + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const int failure
        = posix_spawn(&m_process, words.front().c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw std::runtime_error("cannot start " + words.front());
    runningGateway = m_process;
    if (becomesReady())
        return;
    end();
    throw std::runtime_error("the gateway did not become ready");
}

gateway_process::~gateway_process() { end(); }

bool gateway_process::becomesReady() const
{
    const auto limit = steady::now() + std::chrono::seconds(10);
    while (steady::now() < limit) {
        std::this_thread::sleep_for(milliseconds(50));
        if (isReady(std::chrono::seconds(1)))
            return true;
    }
    return false;
}

bool gateway_process::isReady(milliseconds limit) const
{
    const auto probe = tcp_stream::connect(m_readiness);
    if (!probe || !probe->send("GET /readyz HTTP/1.1\r\nHost: readiness\r\n\r\n"))
        return false;
    const auto response = probe->receive(limit);
    return response && response->status() == 200;
}

void gateway_process::end()
{
    if (runs()) {
        signal(SIGKILL);
        signal(SIGCONT);
        waitpid(m_process, nullptr, 0);
    }
    runningGateway = 0;
    if (const char* kept = std::getenv("KEEP_LOG"))
        std::rename((m_directory + "/log").c_str(), kept);
    unlink((m_directory + "/log").c_str());
    unlink((m_directory + "/boot.toml").c_str());
    rmdir(m_directory.c_str());
}

void gateway_process::signal(int number) const
{
    if (m_process > 0 && !m_ended)
        kill(m_process, number);
}

bool gateway_process::runs()
{
    if (m_process > 0 && !m_ended)
        m_ended = waitpid(m_process, nullptr, WNOHANG) == m_process;
    return m_process > 0 && !m_ended;
}

double gateway_process::statusMb(std::string_view name) const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(name))
            return std::strtod(line.c_str() + name.size(), nullptr) * 1024 / 1e6;
    }
    return 0;
}

int runCase(const std::function<int(event_record&)>& body, int argumentCount, char** arguments)
{
    signal(SIGPIPE, SIG_IGN);
    // The limit of the script, and a user who stops it.
    signal(SIGTERM, endBySignal);
    signal(SIGINT, endBySignal);
    if (argumentCount != 2) {
        std::cerr << "usage: " << arguments[0] << " RECORD\n";
        return notRun;
    }
    try {
        event_record record(arguments[1]);
        record.add(withTrouble() ? "with the disruption" : "without the disruption");
        try {
            const int outcome = body(record);
            record.add(outcome == ruleHeld  ? "the rule held"
                    : outcome == ruleBroken ? "the rule was broken"
                                            : "not run");
            return outcome;
        } catch (const std::exception& failure) {
            record.add(std::string("not run: ") + failure.what());
            std::cerr << failure.what() << "\n";
            return notRun;
        }
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return notRun;
    }
}

} // namespace review

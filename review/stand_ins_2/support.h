// Stand-ins for the platform's store, backend servers and clients, and the gateway as a child process. They use plain
// sockets and threads on loopback, and share no code with the gateway.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int notRun = 2;

using std::chrono::milliseconds;

// False for the run without the disruption (TROUBLE=0).
bool withTrouble();

std::string concat(std::initializer_list<std::string_view> parts);

// Milliseconds since the start of the case.
double elapsedMs();

// Lines of record.txt, in the order of their events.
class event_record {
public:
    // Throws std::runtime_error if the file cannot be written.
    explicit event_record(const std::string& path);
    ~event_record();
    event_record(const event_record&) = delete;
    event_record& operator=(const event_record&) = delete;

    void add(const std::string& line);

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

struct http_message {
    std::string start; // request or status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    // Value of a header field; empty if there is none.
    std::string field(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

// One TCP connection. Not thread-safe, except for close().
class tcp_stream {
public:
    explicit tcp_stream(int descriptor);
    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    // Returns null if no connection is established. `receiveBuffer`: size of the socket's buffer in bytes; 0: default.
    static std::unique_ptr<tcp_stream> connect(std::uint16_t port, int receiveBuffer = 0);

    bool send(std::string_view bytes);
    // Reads the next message; the body is framed by its length, by chunks, or else is empty. Nothing at the end of the
    // stream, or after `limit`.
    std::optional<http_message> receive(milliseconds limit = std::chrono::hours(1));
    // Reads at most `count` bytes. Returns 0 at an orderly end of the stream, and -1 after an error or the limit.
    ssize_t read(char* bytes, std::size_t count, milliseconds limit);
    // Ends the connection, also while another thread reads.
    void close();

private:
    bool fill(std::chrono::steady_clock::time_point end);
    std::optional<std::string> takeLine(std::chrono::steady_clock::time_point end);
    std::optional<std::string> takeBytes(std::size_t count, std::chrono::steady_clock::time_point end);

    int m_descriptor;
    std::string m_input;
};

// Accepts connections and serves each on a thread of its own.
class tcp_service {
public:
    using connection_handler = std::function<void(tcp_stream&)>;

    explicit tcp_service(connection_handler handler);
    // Ends all connections and waits for their threads.
    ~tcp_service();
    tcp_service(const tcp_service&) = delete;
    tcp_service& operator=(const tcp_service&) = delete;

    std::uint16_t port() const { return m_port; }
    std::string address() const;

private:
    void acceptLoop();

    connection_handler m_handler;
    std::uint16_t m_port = 0;
    int m_listener;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<tcp_stream>> m_streams;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

// A model server at the speed of the platform's sheet, in a single thread: reads the prompts of its requests one after
// the other at 51.1 tokens a ms, and makes an event of each stream every 75 ms, which is three steps of 5 ms that each
// read 1,024 tokens of other prompts besides. Serves one request on a connection.
class model_stand_in {
public:
    // All requests have prompts of this many tokens and as many events.
    model_stand_in(unsigned promptTokens, unsigned events);
    ~model_stand_in();
    model_stand_in(const model_stand_in&) = delete;
    model_stand_in& operator=(const model_stand_in&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    // Streams that have begun.
    unsigned begun() const { return m_begun; }
    // Drops all requests, as their gateway has ended.
    void dropRequests();

private:
    struct run {
        std::unique_ptr<tcp_stream> stream;
        unsigned events = 0;
    };

    void serve();
    void beginNext();
    void sendEvents();

    std::uint16_t m_port = 0;
    int m_listener;
    unsigned m_promptTokens;
    unsigned m_events;
    std::mutex m_mutex;
    std::vector<int> m_waiting; // connections with a request, oldest first
    std::vector<run> m_runs;
    std::atomic<bool> m_dropping = false;
    std::atomic<unsigned> m_begun = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_acceptor;
    std::thread m_engine;
};

// The platform's store: keyed topics of one partition, and one group.
class store_stand_in {
public:
    store_stand_in();

    void put(const std::string& topic, const std::string& key, const std::string& value);
    std::string address() const { return m_service->address(); }

private:
    struct topic_record {
        std::string key;
        std::string value;
    };

    void serve(tcp_stream& stream);
    std::string answer(const http_message& request);
    std::string newest(const std::string& topic);
    std::string page(const std::string& topic, std::size_t from, milliseconds wait);
    std::string append(const http_message& request, const std::string& topic);
    std::string owners();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<topic_record>> m_topics;
    std::vector<std::string> m_members;
    std::atomic<bool> m_stopping = false;
    // Last, so that its threads end before the rest is destroyed.
    std::unique_ptr<tcp_service> m_service;

public:
    ~store_stand_in();
};

// The entry of a ready backend server under `servers/ID`.
std::string serverEntry(const std::string& service, const std::string& address, unsigned slots);

struct gateway_limits {
    unsigned memoryMb = 260;
    unsigned descriptors = 4100;
};

// A gateway with the run command of the deploy file. Signals and ends this process only.
class gateway_process {
public:
    // Starts it and waits until it is ready. Throws std::runtime_error if it does not become ready.
    gateway_process(const std::string& store, const gateway_limits& limits);
    ~gateway_process();
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;

    std::uint16_t port() const { return m_port; }
    // Whether it answers within the limit that it is ready, on a new connection.
    bool isReady(milliseconds limit) const;
    void signal(int number) const;
    // Whether it has not ended.
    bool runs();
    // Resident memory now and at its peak, in megabytes.
    double residentMb() const { return statusMb("VmRSS:"); }
    double peakMb() const { return statusMb("VmHWM:"); }

private:
    bool becomesReady() const;
    void end();
    double statusMb(std::string_view name) const;

    std::string m_directory;
    std::uint16_t m_port = 0;
    std::uint16_t m_readiness = 0;
    pid_t m_process = -1;
    bool m_ended = false;
};

// A port of 127.0.0.1 that is free now.
std::uint16_t freePort();

// Runs a case. An exception is reported and means that the case could not run.
int runCase(const std::function<int(event_record&)>& body, int argumentCount, char** arguments);

} // namespace review

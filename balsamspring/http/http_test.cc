// Replies of faulty servers, written byte by byte, as the client reports them.
#include "balsamspring/http/http_client.h"
#include "balsamspring/net/connection.h"
#include "balsamspring/net/event_loop.h"

#include <atomic>
#include <future>
#include <memory>
#include <thread>

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

// Answers each connection's first bytes through a hook that runs on the server's thread.
class raw_server {
public:
    using connection_ptr = std::shared_ptr<connection>;
    using request_hook = std::function<void(event_loop&, const connection_ptr&)>;

    explicit raw_server(request_hook hook)
        : m_hook(std::move(hook))
        , m_listener(std::move(
              *listener::open(m_loop, { "127.0.0.1", 0 }, 1s, [this](const connection_ptr& conn) { accept(conn); })))
        , m_thread([this] { m_loop.run(); })
    {
    }

    ~raw_server()
    {
        m_loop.post([this] { m_loop.stop(); });
        m_thread.join();
        for (const connection_ptr& conn : m_connections)
            conn->abort();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener->port()); }

private:
    void accept(const connection_ptr& conn)
    {
        m_connections.push_back(conn);
        conn->start({ .onConnected = nullptr,
            .onData = [this, weak = std::weak_ptr(conn)](std::string_view) { m_hook(m_loop, weak.lock()); },
            .onEnd = nullptr,
            .onWritten = nullptr });
    }

    event_loop m_loop;
    request_hook m_hook;
    std::vector<connection_ptr> m_connections;
    std::unique_ptr<listener> m_listener;
    std::thread m_thread;
};

result<http_reply> sendTo(const raw_server& server, http_client& client)
{
    http_request request;
    request.address = server.address();
    request.headTimeout = 1s;
    request.timeout = 2s;
    request.freshConnection = true;
    auto done = std::make_shared<std::promise<result<http_reply>>>();
    auto outcome = done->get_future();
    const auto transfer = client.send(request, [done](result<http_reply> reply) { done->set_value(std::move(reply)); });
    return outcome.get();
}

} // namespace

TEST_CASE("a reply that ends in the middle of its head, or of a body with a length or chunks, is no reply")
{
    // A reply cut short that looks whole would be passed on as one.
    http_client client;
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    for (const std::string& reply : { head + "\r\n", head + "Content-Length: 4\r\n\r\nbody",
             head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" }) {
        const bool framed = reply.size() > head.size() + 2;
        for (std::size_t cutAt = 0; cutAt < reply.size(); cutAt += 3) {
            INFO("cut at " << cutAt << ": " << reply.substr(0, cutAt));
            const raw_server server([&](event_loop&, const raw_server::connection_ptr& conn) {
                conn->write(reply.substr(0, cutAt));
                conn->close();
            });
            const auto outcome = sendTo(server, client);
            CHECK_FALSE(outcome);
        }
        INFO(reply);
        const raw_server server([&](event_loop&, const raw_server::connection_ptr& conn) {
            conn->write(reply);
            conn->close();
        });
        const auto whole = sendTo(server, client);
        REQUIRE(whole);
        CHECK(whole->body == (framed ? "body" : ""));
    }
}

TEST_CASE("a reply whose head does not end is not collected without a limit")
{
    // A faulty server that sends header fields until its client closes would use up the client's memory.
    constexpr std::size_t limit = 16UL * 1024 * 1024; // far above what the buffers of both sockets hold
    std::atomic<std::size_t> accepted = 0;
    std::function<void(event_loop&, const raw_server::connection_ptr&)> flood
        = [&](event_loop& loop, const raw_server::connection_ptr& conn) {
              if (!conn->isOpen() || accepted > 2 * limit)
                  return;
              std::string fields;
              while (fields.size() < 256UL * 1024)
                  fields += "X: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n";
              if (conn->unwritten() == 0) {
                  conn->write(fields);
                  accepted += fields.size();
              }
              loop.after(1ms, [&, conn] { flood(loop, conn); });
          };
    http_client client;
    const raw_server server([&](event_loop& loop, const raw_server::connection_ptr& conn) {
        conn->write("HTTP/1.1 200 OK\r\n");
        flood(loop, conn);
    });
    CHECK_FALSE(sendTo(server, client));
    CHECK(accepted < limit);
}

// Small HTTP server with faults on the level of connections, on which the stand-ins are built. One thread runs all
// handlers and timers, so the stand-ins need no locks.
#pragma once

#include "balsamspring/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace balsamspring {

// One request and its reply. All members are used on the server's thread only. Calls after the connection has closed
// do nothing.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    virtual const std::string& method() const = 0;
    virtual const std::string& path() const = 0; // without the query
    virtual std::string query(std::string_view name) const = 0;
    virtual std::string header(std::string_view name) const = 0;
    virtual const std::string& body() const = 0;

    virtual void setHeader(std::string name, std::string value) = 0; // before the reply begins
    virtual void reply(int status, std::string_view body) = 0;

    // Sends the whole reply again after the first one, where the caller's next request on the connection meets it.
    virtual void replyTwice(int status, std::string_view body) = 0;

    // A reply in pieces.
    virtual void begin(int status, std::string_view contentType) = 0;
    virtual void write(std::string_view piece) = 0;
    virtual void finish() = 0;
    virtual std::size_t unsent() const = 0; // bytes that the socket has not taken yet

    // Closes the connection with a TCP reset.
    virtual void reset() = 0;

    virtual bool closed() const = 0;
    virtual void onClosed(std::function<void()> callback) = 0;
};

class http_server {
public:
    using handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

    http_server();
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Listens on 127.0.0.1; port 0 takes any free port. Throws std::runtime_error when the port is taken.
    void start(std::uint16_t port, handler handle);
    void stop();

    std::uint16_t port() const;
    std::string address() const; // "127.0.0.1:8080"

    // Runs the function on the server's thread and waits for its end. After `stop` it runs on the caller's thread.
    void run(const std::function<void()>& function);

    // The functions below are called on the server's thread.

    void after(duration delay, std::function<void()> callback);

    // Closes all connections with a reset and refuses new ones until `accept`.
    void refuse();
    void accept();

    // The connections that are open now stay open, send nothing more and have their requests ignored.
    void silenceConnections();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace balsamspring

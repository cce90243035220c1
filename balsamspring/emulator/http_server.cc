#include "balsamspring/emulator/http_server.h"

#include <cstdio>
#include <future>
#include <optional>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace balsamspring {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t maxBody = std::size_t { 8 } * 1024 * 1024;
constexpr int sendBuffer = 16 * 1024; // small, so that a reader that stops is felt soon

class connection;

class exchange : public http_exchange {
public:
    exchange(std::weak_ptr<connection> owner, beast::http::request<beast::http::string_body> request)
        : m_owner(std::move(owner))
        , m_method(request.method_string())
        , m_request(std::move(request))
    {
        const std::string target(m_request.target());
        const auto mark = target.find('?');
        m_path = target.substr(0, mark);
        if (mark != std::string::npos)
            m_query = "&" + target.substr(mark + 1);
    }

    const std::string& method() const override { return m_method; }
    const std::string& path() const override { return m_path; }
    std::string query(std::string_view name) const override
    {
        const std::string key = "&" + std::string(name) + "=";
        const auto found = m_query.find(key);
        if (found == std::string::npos)
            return {};
        const auto first = found + key.size();
        return m_query.substr(first, m_query.find('&', first) - first);
    }
    std::string header(std::string_view name) const override
    {
        return std::string(m_request[beast::string_view(name.data(), name.size())]);
    }
    const std::string& body() const override { return m_request.body(); }
    void setHeader(std::string name, std::string value) override { m_headers += name + ": " + value + "\r\n"; }
    void reply(int status, std::string_view body) override { send(whole(status, body), true); }
    void replyTwice(int status, std::string_view body) override
    {
        send(whole(status, body), false);
        send(whole(status, body), true);
    }
    void begin(int status, std::string_view contentType) override;
    void write(std::string_view piece) override;
    void finish() override;
    std::size_t unsent() const override;
    void reset() override;
    bool closed() const override { return m_closed || m_owner.expired(); }
    void onClosed(std::function<void()> callback) override { m_onClosed = std::move(callback); }

    void markClosed()
    {
        m_closed = true;
        if (const auto callback = std::exchange(m_onClosed, {}))
            callback();
    }

private:
    std::string head(int status, std::string_view contentType) const
    {
        return "HTTP/1.1 " + std::to_string(status) + " "
            + std::string(beast::http::obsolete_reason(beast::http::status(status)))
            + "\r\nContent-Type: " + std::string(contentType) + "\r\n" + m_headers;
    }
    std::string whole(int status, std::string_view body) const
    {
        return head(status, "application/json") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + std::string(body);
    }
    void send(std::string_view bytes, bool last);

    std::weak_ptr<connection> m_owner;
    std::string m_method;
    beast::http::request<beast::http::string_body> m_request;
    std::string m_path;
    std::string m_query;
    std::string m_headers;
    bool m_closed = false;
    std::function<void()> m_onClosed;
};

class connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, const http_server::handler& handle, std::set<std::shared_ptr<connection>>& all)
        : m_socket(std::move(socket))
        , m_handle(handle)
        , m_all(all)
    {
        error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_socket.set_option(asio::socket_base::send_buffer_size(sendBuffer), ignored);
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(maxBody);
        beast::http::async_read(
            m_socket, m_input, *m_parser, [self = shared_from_this()](error_code failure, std::size_t) {
                if (failure)
                    return self->close(false);
                if (self->m_silent)
                    return self->read();
                self->m_waiting = self->m_parser->release();
                self->serve();
            });
    }

    void send(std::string_view bytes, bool last)
    {
        if (m_silent || m_dead)
            return;
        m_output += bytes;
        m_finished = m_finished || last;
        flush();
    }

    std::size_t unsent() const { return m_output.size() + m_writing.size(); }

    void silence() { m_silent = true; }

    void close(bool withReset)
    {
        if (std::exchange(m_dead, true))
            return;
        error_code ignored;
        if (withReset)
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
        const auto self = shared_from_this();
        m_all.erase(self);
        if (const auto current = std::exchange(m_current, nullptr))
            current->markClosed();
    }

private:
    // A pipelined request waits until the reply before it has been sent.
    void serve()
    {
        if (m_current || !m_waiting)
            return;
        m_current = std::make_shared<exchange>(weak_from_this(), std::move(*m_waiting));
        m_waiting.reset();
        const auto current = m_current;
        read(); // notices that the caller closes the connection
        m_handle(current);
    }

    void flush()
    {
        if (!m_writing.empty() || m_dead)
            return;
        if (m_output.empty()) {
            if (std::exchange(m_finished, false)) {
                m_current = nullptr;
                serve();
            }
            return;
        }
        m_writing.swap(m_output);
        asio::async_write(
            m_socket, asio::buffer(m_writing), [self = shared_from_this()](error_code failure, std::size_t) {
                self->m_writing.clear();
                if (failure)
                    return self->close(false);
                self->flush();
            });
    }

    tcp::socket m_socket;
    const http_server::handler& m_handle;
    std::set<std::shared_ptr<connection>>& m_all;
    beast::flat_buffer m_input;
    std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
    std::optional<beast::http::request<beast::http::string_body>> m_waiting;
    std::shared_ptr<exchange> m_current;
    std::string m_output;
    std::string m_writing;
    bool m_finished = false;
    bool m_silent = false;
    bool m_dead = false;
};

void exchange::send(std::string_view bytes, bool last)
{
    const auto owner = m_owner.lock();
    if (m_closed || !owner)
        return;
    if (last) {
        m_closed = true;
        m_onClosed = {};
    }
    owner->send(bytes, last);
}

void exchange::begin(int status, std::string_view contentType)
{
    send(head(status, contentType) + "Transfer-Encoding: chunked\r\n\r\n", false);
}

void exchange::write(std::string_view piece)
{
    if (piece.empty())
        return;
    char size[24];
    const int length = std::snprintf(size, sizeof(size), "%zx\r\n", piece.size());
    std::string chunk;
    chunk.reserve(piece.size() + static_cast<std::size_t>(length) + 2);
    chunk.append(size, static_cast<std::size_t>(length)).append(piece).append("\r\n");
    send(chunk, false);
}

void exchange::finish() { send("0\r\n\r\n", true); }

std::size_t exchange::unsent() const
{
    const auto owner = m_owner.lock();
    return owner ? owner->unsent() : 0;
}

void exchange::reset()
{
    if (const auto owner = m_owner.lock())
        owner->close(true);
}

} // namespace

struct http_server::state {
    asio::io_context context { 1 };
    tcp::acceptor acceptor { context };
    tcp::endpoint endpoint;
    handler handle;
    std::set<std::shared_ptr<connection>> connections;
    std::thread thread;

    void listen()
    {
        acceptor.open(tcp::v4());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(4096);
        endpoint = acceptor.local_endpoint();
        acceptNext();
    }

    void acceptNext()
    {
        acceptor.async_accept([this](error_code failure, tcp::socket socket) {
            if (failure == asio::error::operation_aborted || !acceptor.is_open())
                return;
            if (!failure) {
                const auto opened = std::make_shared<connection>(std::move(socket), handle, connections);
                connections.insert(opened);
                opened->read();
            }
            acceptNext();
        });
    }

    void closeAll()
    {
        error_code ignored;
        acceptor.close(ignored);
        const auto open = connections;
        for (const auto& item : open)
            item->close(true);
    }
};

http_server::http_server()
    : m_state(std::make_shared<state>())
{
}

http_server::~http_server() { stop(); }

void http_server::start(std::uint16_t port, handler handle)
{
    m_state->handle = std::move(handle);
    m_state->endpoint = tcp::endpoint(asio::ip::address_v4::loopback(), port);
    try {
        m_state->listen();
    } catch (const std::exception& e) {
        throw std::runtime_error("cannot listen on port " + std::to_string(port) + ": " + e.what());
    }
    m_state->thread = std::thread([state = m_state] {
        const auto work = asio::make_work_guard(state->context);
        state->context.run();
    });
}

void http_server::stop()
{
    if (!m_state->thread.joinable())
        return;
    run([this] { m_state->closeAll(); });
    m_state->context.stop();
    m_state->thread.join();
}

std::uint16_t http_server::port() const { return m_state->endpoint.port(); }

std::string http_server::address() const { return "127.0.0.1:" + std::to_string(port()); }

void http_server::run(const std::function<void()>& function)
{
    if (!m_state->thread.joinable() || m_state->thread.get_id() == std::this_thread::get_id())
        return function();
    std::promise<void> done;
    asio::post(m_state->context, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

void http_server::after(duration delay, std::function<void()> callback)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_state->context, delay);
    timer->async_wait([timer, callback = std::move(callback)](error_code failure) {
        if (!failure)
            callback();
    });
}

void http_server::refuse() { m_state->closeAll(); }

void http_server::accept()
{
    if (!m_state->acceptor.is_open())
        m_state->listen();
}

void http_server::silenceConnections()
{
    for (const auto& item : m_state->connections)
        item->silence();
}

} // namespace balsamspring

#include "balsamspring/http/http_client.h"

#include "balsamspring/base/timer.h"
#include "balsamspring/http/flow_buffer.h"

#include <algorithm>
#include <cctype>
#include <deque>
#include <mutex>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>
#include <pplx/threadpool.h>

namespace balsamspring {

namespace {

namespace wire = web::http;
using boost::asio::ip::tcp;

// cpprestsdk's own inactivity timeout must not end a stream that is paused for long.
constexpr std::chrono::hours libraryTimeout { 24 };

// Only this message says that no connection was made; the error code of a failed write is the same as that of a
// refused connect.
constexpr std::string_view connectFailure = "Failed to connect to any resolved endpoint";

error errorOf(const std::exception_ptr& pointer)
{
    try {
        std::rethrow_exception(pointer);
    } catch (const wire::http_exception& e) {
        const std::string text = e.what();
        if (text.find(connectFailure) != std::string::npos)
            return { error_code::Refused, text };
        return { error_code::Unavailable, text };
    } catch (const std::exception& e) {
        return { error_code::Unavailable, e.what() };
    }
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

using library_client = wire::client::http_client;

// Delivers the events of one reply one at a time.
class transfer : public http_transfer, public std::enable_shared_from_this<transfer> {
public:
    transfer(std::shared_ptr<timer_thread> timer, http_handlers handlers)
        : m_timer(std::move(timer))
        , m_handlers(std::move(handlers))
    {
    }

    void start(const std::shared_ptr<library_client>& client, const http_request& request, std::function<void()> stale);

    void pause() override
    {
        const std::lock_guard lock(m_mutex);
        m_paused = true;
    }

    void resume() override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_paused = false;
        }
        drainLater();
    }

    void cancel() override { abort({ error_code::Cancelled, "closed by this side" }); }

    void finish(result<void> outcome);

private:
    void armTimeout(duration delay, bool headOnly);
    void receiveHead(const wire::http_response& response);
    pplx::task<void> receiveData(std::string bytes);
    void abort(error reason);
    void drain();
    void drainLater();
    bool deliverable() const;

    std::shared_ptr<timer_thread> m_timer;
    http_handlers m_handlers;
    pplx::cancellation_token_source m_cancellation;
    std::function<void()> m_stale;

    std::mutex m_mutex;
    bool m_busy = false;
    bool m_paused = false;
    bool m_over = false; // `ended` was taken for delivery
    std::optional<std::pair<int, http_headers>> m_head;
    bool m_headSeen = false;
    std::deque<std::string> m_data;
    std::optional<pplx::task_completion_event<void>> m_written;
    std::optional<result<void>> m_outcome;
    bool m_aborted = false;
    std::vector<timer_thread::timer_id> m_timers;
};

void transfer::start(
    const std::shared_ptr<library_client>& client, const http_request& request, std::function<void()> stale)
{
    m_stale = std::move(stale);
    auto self = shared_from_this();
    armTimeout(request.headTimeout, true);
    armTimeout(request.timeout, false);

    wire::http_request message(request.method);
    message.set_request_uri(web::uri(request.path));
    for (const auto& [name, value] : request.headers)
        message.headers().add(name, value);
    if (!request.body.empty()) {
        // cpprestsdk sends a request again when a pooled connection breaks before the reply, unless it cannot rewind
        // the body. Retries are decided elsewhere, so the body is a stream that cannot be rewound.
        Concurrency::streams::producer_consumer_buffer<unsigned char> body;
        body.putn_nocopy(reinterpret_cast<const unsigned char*>(request.body.data()), request.body.size()).get();
        body.close(std::ios_base::out).get();
        message.set_body(body.create_istream(), request.body.size(), request.contentType);
    }
    const internal::flow_buffer_handle buffer(
        [self](std::string bytes) { return self->receiveData(std::move(bytes)); });
    message.set_response_stream(Concurrency::streams::basic_ostream<unsigned char>(buffer));

    // The client is held until the reply has ended, because its connections belong to it.
    client->request(message, m_cancellation.get_token())
        .then([self](const wire::http_response& response) {
            self->receiveHead(response);
            return response.content_ready();
        })
        .then([self, client](const pplx::task<wire::http_response>& task) {
            try {
                task.get();
                self->finish({});
            } catch (...) {
                self->finish(tl::make_unexpected(errorOf(std::current_exception())));
            }
        });
}

void transfer::armTimeout(duration delay, bool headOnly)
{
    if (delay <= duration::zero())
        return;
    const auto id = m_timer->after(delay, [weak = weak_from_this(), headOnly] {
        const auto self = weak.lock();
        if (!self)
            return;
        {
            const std::lock_guard lock(self->m_mutex);
            if (headOnly && self->m_headSeen)
                return;
        }
        self->abort({ error_code::Timeout, "no answer in time" });
    });
    const std::lock_guard lock(m_mutex);
    m_timers.push_back(id);
}

void transfer::receiveHead(const wire::http_response& response)
{
    http_headers headers;
    for (const auto& [name, value] : response.headers())
        headers[lowerCase(name)] = value;
    {
        const std::lock_guard lock(m_mutex);
        m_head.emplace(response.status_code(), std::move(headers));
        m_headSeen = true;
    }
    drain();
}

pplx::task<void> transfer::receiveData(std::string bytes)
{
    const pplx::task_completion_event<void> written;
    {
        const std::lock_guard lock(m_mutex);
        if (m_over || m_aborted)
            return pplx::task_from_result();
        m_data.push_back(std::move(bytes));
        m_written = written;
    }
    drain();
    return pplx::create_task(written);
}

void transfer::finish(result<void> outcome)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_outcome)
            return;
        if (!outcome && !m_headSeen && m_stale)
            m_stale();
        m_outcome = std::move(outcome);
    }
    drain();
}

void transfer::abort(error reason)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_aborted || m_over)
            return;
        m_aborted = true;
        m_data.clear();
        m_head.reset();
        m_headSeen = true;
        if (reason.code == error_code::Timeout && m_stale)
            m_stale();
        m_outcome = tl::make_unexpected(std::move(reason));
    }
    drainLater();
    pplx::create_task([self = shared_from_this()] { self->m_cancellation.cancel(); });
}

bool transfer::deliverable() const
{
    if (m_over || m_busy)
        return false;
    if (m_aborted || m_head)
        return true;
    if (!m_data.empty())
        return m_headSeen && !m_paused;
    return m_outcome.has_value();
}

void transfer::drain()
{
    std::unique_lock lock(m_mutex);
    while (deliverable()) {
        m_busy = true;
        if (m_head) {
            const auto head = std::move(*m_head);
            m_head.reset();
            lock.unlock();
            if (m_handlers.head)
                m_handlers.head(head.first, head.second);
            lock.lock();
        } else if (!m_data.empty()) {
            const std::string bytes = std::move(m_data.front());
            m_data.pop_front();
            lock.unlock();
            if (m_handlers.data)
                m_handlers.data(bytes);
            lock.lock();
            if (m_written && m_data.empty()) {
                const auto written = *m_written;
                m_written.reset();
                lock.unlock();
                written.set();
                lock.lock();
            }
        } else {
            m_over = true;
            const auto outcome = std::move(*m_outcome);
            const auto timers = std::move(m_timers);
            const auto written = m_written;
            const auto handlers = std::move(m_handlers);
            lock.unlock();
            for (const auto id : timers)
                m_timer->cancel(id);
            if (written)
                written->set();
            handlers.ended(outcome);
            lock.lock();
        }
        m_busy = false;
    }
}

void transfer::drainLater()
{
    pplx::create_task([self = shared_from_this()] { self->drain(); });
}

} // namespace

struct http_client::state {
    http_client_options options;
    std::shared_ptr<timer_thread> timer = std::make_shared<timer_thread>();
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<library_client>, std::less<>> pooled;

    std::shared_ptr<library_client> makeClient(const std::string& address) const
    {
        wire::client::http_client_config config;
        config.set_timeout(libraryTimeout);
        const bool v6 = address.starts_with('[');
        config.set_nativehandle_options([v6, bytes = static_cast<int>(options.receiveBuffer)](void* handle) {
            // cpprestsdk calls this before it opens the socket, and the option must be set before the connect.
            auto* socket = static_cast<tcp::socket*>(handle);
            boost::system::error_code ignored;
            if (!socket->is_open())
                socket->open(v6 ? tcp::v6() : tcp::v4(), ignored);
            socket->set_option(boost::asio::socket_base::receive_buffer_size(bytes), ignored);
        });
        return std::make_shared<library_client>("http://" + address, config);
    }

    std::shared_ptr<library_client> pooledClient(const std::string& address)
    {
        const std::lock_guard lock(mutex);
        auto& client = pooled[address];
        if (!client)
            client = makeClient(address);
        return client;
    }

    // Forgets the pool of a server that did not answer, because its other idle connections may be silent or closed as
    // well.
    void dropPool(const std::string& address, const std::shared_ptr<library_client>& client)
    {
        const std::lock_guard lock(mutex);
        const auto found = pooled.find(address);
        if (found != pooled.end() && found->second == client)
            pooled.erase(found);
    }
};

http_client::http_client(const http_client_options& options)
    : m_state(std::make_shared<state>())
{
    m_state->options = options;
}

http_client::~http_client() = default;

std::shared_ptr<http_transfer> http_client::open(const http_request& request, http_handlers handlers)
{
    auto opened = std::make_shared<transfer>(m_state->timer, std::move(handlers));
    try {
        const auto client
            = request.freshConnection ? m_state->makeClient(request.address) : m_state->pooledClient(request.address);
        opened->start(client, request,
            [weak = std::weak_ptr(m_state), address = request.address, weakClient = std::weak_ptr(client)] {
                const auto owner = weak.lock();
                const auto stale = weakClient.lock();
                if (owner && stale)
                    owner->dropPool(address, stale);
            });
    } catch (const std::exception& e) {
        // cpprestsdk throws for an address or a path that is not a URI, before anything is sent.
        opened->finish(makeError(error_code::Refused, e.what()));
    }
    return opened;
}

std::shared_ptr<http_transfer> http_client::send(
    const http_request& request, std::function<void(result<http_reply>)> done)
{
    const auto reply = std::make_shared<http_reply>();
    const auto tooLarge = std::make_shared<bool>(false);
    const std::size_t limit = m_state->options.maxBodyBytes;
    http_handlers handlers;
    handlers.head = [reply](int status, const http_headers& headers) {
        reply->status = status;
        reply->headers = headers;
    };
    handlers.data = [reply, tooLarge, limit](std::string_view bytes) {
        *tooLarge = *tooLarge || reply->body.size() + bytes.size() > limit;
        if (!*tooLarge)
            reply->body += bytes;
    };
    handlers.ended = [reply, tooLarge, done = std::move(done)](const result<void>& outcome) {
        if (!outcome)
            done(tl::make_unexpected(outcome.error()));
        else if (*tooLarge)
            done(makeError(error_code::Corrupt, "the reply is too large"));
        else
            done(std::move(*reply));
    };
    return open(request, std::move(handlers));
}

bool setHttpThreadCount(std::size_t count)
{
    try {
        crossplat::threadpool::initialize_with_threads(count);
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

} // namespace balsamspring

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

// Long enough that cpprestsdk's own inactivity timeout does not end a stream that is paused for a long time.
constexpr std::chrono::hours libraryInactivityTimeout { 24 };

// Only this message identifies a failed connect: cpprestsdk reports the same error code for a failed write as for a
// refused connection.
constexpr std::string_view connectFailureMessage = "Failed to connect to any resolved endpoint";

error toError(const std::exception_ptr& pointer)
{
    try {
        std::rethrow_exception(pointer);
    } catch (const wire::http_exception& e) {
        const std::string text = e.what();
        if (text.find(connectFailureMessage) != std::string::npos)
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

// Runs the callbacks of one reply one at a time, in the order head, data, end.
class transfer : public http_transfer, public std::enable_shared_from_this<transfer> {
public:
    transfer(std::shared_ptr<timer_thread> timer, http_handlers handlers)
        : m_timer(std::move(timer))
        , m_handlers(std::move(handlers))
    {
    }

    void start(const std::shared_ptr<library_client>& client, const http_request& request,
        std::function<void()> discardConnections);

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
        scheduleDelivery();
    }

    void cancel() override { abort({ error_code::Cancelled, "closed by this side" }); }

    void finish(result<void> outcome);

private:
    void armTimeout(duration delay, bool headOnly);
    void receiveHead(const wire::http_response& response);
    pplx::task<void> receiveData(std::string bytes);
    void abort(error reason);
    void deliverEvents();
    void scheduleDelivery();
    bool hasDeliverableEvent() const;

    std::shared_ptr<timer_thread> m_timer;
    http_handlers m_handlers;
    pplx::cancellation_token_source m_cancellation;
    std::function<void()> m_discardConnections;

    std::mutex m_mutex;
    bool m_delivering = false;
    bool m_paused = false;
    bool m_endDelivered = false; // set just before `ended` runs
    std::optional<std::pair<int, http_headers>> m_pendingHead;
    bool m_headReceived = false; // also set by `abort`, which discards the head
    std::deque<std::string> m_pendingData;
    std::optional<pplx::task_completion_event<void>> m_writeCompletion;
    std::optional<result<void>> m_outcome;
    bool m_aborted = false;
    std::vector<timer_thread::timer_id> m_timers;
};

void transfer::start(const std::shared_ptr<library_client>& client, const http_request& request,
    std::function<void()> discardConnections)
{
    m_discardConnections = std::move(discardConnections);
    auto self = shared_from_this();
    armTimeout(request.headTimeout, true);
    armTimeout(request.timeout, false);

    wire::http_request message(request.method);
    message.set_request_uri(web::uri(request.path));
    for (const auto& [name, value] : request.headers)
        message.headers().add(name, value);
    if (!request.body.empty()) {
        // cpprestsdk resends a request if a pooled connection fails before the reply, unless the body cannot be
        // rewound. Callers decide about retries, so the body is a stream that cannot be rewound.
        Concurrency::streams::producer_consumer_buffer<unsigned char> body;
        body.putn_nocopy(reinterpret_cast<const unsigned char*>(request.body.data()), request.body.size()).get();
        body.close(std::ios_base::out).get();
        message.set_body(body.create_istream(), request.body.size(), request.contentType);
    }
    const internal::callback_stream_buffer_handle buffer(
        [self](std::string bytes) { return self->receiveData(std::move(bytes)); });
    message.set_response_stream(Concurrency::streams::basic_ostream<unsigned char>(buffer));

    // The continuation keeps the client alive until the reply has ended, because the client owns the connection.
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
                self->finish(tl::make_unexpected(toError(std::current_exception())));
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
            if (headOnly && self->m_headReceived)
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
        m_pendingHead.emplace(response.status_code(), std::move(headers));
        m_headReceived = true;
    }
    deliverEvents();
}

pplx::task<void> transfer::receiveData(std::string bytes)
{
    const pplx::task_completion_event<void> writeCompletion;
    {
        const std::lock_guard lock(m_mutex);
        if (m_endDelivered || m_aborted)
            return pplx::task_from_result();
        m_pendingData.push_back(std::move(bytes));
        m_writeCompletion = writeCompletion;
    }
    deliverEvents();
    return pplx::create_task(writeCompletion);
}

void transfer::finish(result<void> outcome)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_outcome)
            return;
        if (!outcome && !m_headReceived && m_discardConnections)
            m_discardConnections();
        m_outcome = std::move(outcome);
    }
    deliverEvents();
}

void transfer::abort(error reason)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_aborted || m_endDelivered)
            return;
        m_aborted = true;
        m_pendingData.clear();
        m_pendingHead.reset();
        m_headReceived = true;
        if (reason.code == error_code::Timeout && m_discardConnections)
            m_discardConnections();
        m_outcome = tl::make_unexpected(std::move(reason));
    }
    scheduleDelivery();
    pplx::create_task([self = shared_from_this()] { self->m_cancellation.cancel(); });
}

bool transfer::hasDeliverableEvent() const
{
    if (m_endDelivered || m_delivering)
        return false;
    if (m_aborted || m_pendingHead)
        return true;
    if (!m_pendingData.empty())
        return m_headReceived && !m_paused;
    return m_outcome.has_value();
}

void transfer::deliverEvents()
{
    std::unique_lock lock(m_mutex);
    while (hasDeliverableEvent()) {
        m_delivering = true;
        if (m_pendingHead) {
            const auto head = std::move(*m_pendingHead);
            m_pendingHead.reset();
            lock.unlock();
            if (m_handlers.head)
                m_handlers.head(head.first, head.second);
            lock.lock();
        } else if (!m_pendingData.empty()) {
            const std::string bytes = std::move(m_pendingData.front());
            m_pendingData.pop_front();
            lock.unlock();
            if (m_handlers.data)
                m_handlers.data(bytes);
            lock.lock();
            if (m_writeCompletion && m_pendingData.empty()) {
                const auto writeCompletion = *m_writeCompletion;
                m_writeCompletion.reset();
                lock.unlock();
                writeCompletion.set();
                lock.lock();
            }
        } else {
            m_endDelivered = true;
            const auto outcome = std::move(*m_outcome);
            const auto timers = std::move(m_timers);
            const auto writeCompletion = m_writeCompletion;
            const auto handlers = std::move(m_handlers);
            lock.unlock();
            for (const auto id : timers)
                m_timer->cancel(id);
            if (writeCompletion)
                writeCompletion->set();
            handlers.ended(outcome);
            lock.lock();
        }
        m_delivering = false;
    }
}

void transfer::scheduleDelivery()
{
    pplx::create_task([self = shared_from_this()] { self->deliverEvents(); });
}

} // namespace

struct http_client::impl {
    http_client_options options;
    std::shared_ptr<timer_thread> timer = std::make_shared<timer_thread>();
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<library_client>, std::less<>> pooledClients;

    std::shared_ptr<library_client> createClient(const std::string& address) const
    {
        wire::client::http_client_config config;
        config.set_timeout(libraryInactivityTimeout);
        const bool v6 = address.starts_with('[');
        config.set_nativehandle_options([v6, bytes = static_cast<int>(options.receiveBufferBytes)](void* handle) {
            // cpprestsdk calls this before it opens the socket. The buffer size must be set before the connect, so the
            // socket is opened here.
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
        auto& client = pooledClients[address];
        if (!client)
            client = createClient(address);
        return client;
    }

    // Discards the pooled connections of a server that did not reply, because its other idle connections may be
    // unresponsive or closed as well.
    void discardPool(const std::string& address, const std::shared_ptr<library_client>& client)
    {
        const std::lock_guard lock(mutex);
        const auto found = pooledClients.find(address);
        if (found != pooledClients.end() && found->second == client)
            pooledClients.erase(found);
    }
};

http_client::http_client(const http_client_options& options)
    : m_impl(std::make_shared<impl>())
{
    m_impl->options = options;
}

http_client::~http_client() = default;

std::shared_ptr<http_transfer> http_client::open(const http_request& request, http_handlers handlers)
{
    auto newTransfer = std::make_shared<transfer>(m_impl->timer, std::move(handlers));
    try {
        const auto client
            = request.freshConnection ? m_impl->createClient(request.address) : m_impl->pooledClient(request.address);
        newTransfer->start(client, request,
            [weak = std::weak_ptr(m_impl), address = request.address, weakClient = std::weak_ptr(client)] {
                const auto owner = weak.lock();
                const auto stale = weakClient.lock();
                if (owner && stale)
                    owner->discardPool(address, stale);
            });
    } catch (const std::exception& e) {
        // cpprestsdk throws if the address or the path is not a valid URI, before anything is sent.
        newTransfer->finish(makeError(error_code::Refused, e.what()));
    }
    return newTransfer;
}

std::shared_ptr<http_transfer> http_client::send(
    const http_request& request, std::function<void(result<http_reply>)> done)
{
    const auto reply = std::make_shared<http_reply>();
    const auto tooLarge = std::make_shared<bool>(false);
    const std::size_t limit = m_impl->options.maxBodyBytes;
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

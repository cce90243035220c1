#include "balsamspring/server/memory_backend.h"

#include "balsamspring/server/timer_service.h"

#include <optional>

#include <fmt/core.h>

namespace balsamspring {

struct memory_backend::connection : backend_stream {
    void pause() override { paused = true; }
    void resume() override { paused = false; }
    void disconnect() override { closed = true; }

    std::string address;
    stream_request request;
    stream_handlers handlers;
    std::uint64_t next = 0;
    std::uint64_t breakAt = 0;
    std::atomic<bool> paused { false };
    std::atomic<bool> closed { false };
};

memory_backend::memory_backend(const memory_backend_options& options)
    : m_options(options)
{
}

memory_backend::~memory_backend() = default;

void memory_backend::setFaults(const memory_backend_faults& faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
    std::erase_if(m_streams, [&faults](const stream_key& key) { return faults.refusing.count(key.first); });
}

std::shared_ptr<backend_stream> memory_backend::openStream(
    const std::string& address, const stream_request& request, stream_handlers handlers)
{
    auto open = std::make_shared<connection>();
    open->address = address;
    open->request = request;
    open->handlers = std::move(handlers);
    open->next = request.resumeFrom;
    std::optional<error> failure;
    {
        const std::lock_guard lock(m_mutex);
        if (m_faults.refusing.count(address))
            failure = error { error_code::Refused, "connection refused" };
        else if (request.joinOnly && !m_streams.count({ address, request.stream }))
            failure = error { error_code::NotFound, "unknown stream" };
        else
            m_streams.insert({ address, request.stream });
        open->breakAt = std::exchange(m_faults.breakAfter, 0);
    }
    runSoon([self = shared_from_this(), open, failure] {
        if (failure) {
            open->handlers.ended(tl::make_unexpected(*failure));
            return;
        }
        open->handlers.opened(open->request.attempt, server_info { 1, {}, false });
        self->step(open);
    });
    return open;
}

void memory_backend::step(const std::shared_ptr<connection>& open)
{
    runAfter(m_options.tokenInterval, [self = shared_from_this(), open] { self->deliver(open); });
}

void memory_backend::deliver(const std::shared_ptr<connection>& open)
{
    bool silent = false;
    bool crossed = false;
    bool known = false;
    {
        const std::lock_guard lock(m_mutex);
        silent = m_faults.silent.count(open->address);
        crossed = m_faults.crossed.count(open->address);
        known = m_streams.count({ open->address, open->request.stream });
    }
    const attempt_id attempt = open->request.attempt;
    if (open->closed)
        return open->handlers.ended(makeError(error_code::Cancelled, "disconnected"));
    if (!known)
        return open->handlers.ended(makeError(error_code::Unavailable, "connection lost"));
    if (open->paused || silent)
        return step(open);
    if (open->breakAt && open->next == open->breakAt)
        return open->handlers.ended(makeError(error_code::Unavailable, "connection reset"));
    if (open->next >= m_options.tokens)
        return open->handlers.ended(stream_end { attempt, open->next });
    const stream_token token { attempt, open->next,
        fmt::format("{}-{} {}", open->request.prompt.substr(0, 24), open->next, m_options.padding) };
    ++open->next;
    ++m_tokensGenerated;
    if (crossed)
        open->handlers.token({ attempt_id(attempt.value() + 1), token.sequence, "foreign" });
    open->handlers.token(token);
    if (crossed)
        open->handlers.token(token);
    step(open);
}

void memory_backend::cancelStream(const std::string& address, stream_id stream, std::function<void(result<void>)> done)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_streams.erase({ address, stream }))
            ++m_streamsCancelled;
    }
    runSoon([done = std::move(done)] { done({}); });
}

void memory_backend::call(
    const std::string& address, const call_request& request, std::function<void(result<call_reply>)> done)
{
    bool refused = false;
    {
        const std::lock_guard lock(m_mutex);
        refused = m_faults.refusing.count(address);
    }
    runAfter(m_options.callTime, [request, refused, done = std::move(done)] {
        if (refused)
            return done(makeError(error_code::Refused, "connection refused"));
        done(call_reply {
            request.attempt, fmt::format(R"({{"operation":"{}"}})", request.operation), server_info { 1, {}, false } });
    });
}

void memory_backend::queryState(const std::string&, duration, std::function<void(result<engine_state>)> done)
{
    runSoon([done = std::move(done)] { done(engine_state { 1, {}, {} }); });
}

} // namespace balsamspring

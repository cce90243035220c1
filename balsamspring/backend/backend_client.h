// Client interface for backend servers: token streams from model engines, and calls to other servers.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring {

// Load that a server reports in its replies.
struct server_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

// Information about a server that it includes in every reply.
struct server_info {
    std::uint64_t generation = 0; // changes when the server restarts
    server_load load;
    bool leaving = false; // the server is draining and asks for no new work
};

struct stream_request {
    stream_id stream; // if the engine already runs a stream with this id, the caller joins it
    attempt_id attempt;
    model_id model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint64_t resumeFrom = 0; // sequence number of the first token to send
    bool joinOnly = false; // fails with `NotFound` instead of starting a new stream
};

struct stream_token {
    attempt_id attempt;
    std::uint64_t sequence = 0; // starts at 0, without gaps
    std::string text;
};

struct stream_end {
    attempt_id attempt;
    std::uint64_t sequence = 0; // number of tokens in the whole stream
};

// Callbacks of one stream. They run on any thread, never concurrently with each other. `ended` runs exactly once, as
// the last one.
struct stream_handlers {
    std::function<void(attempt_id, const server_info&)> opened;
    std::function<void(const stream_token&)> token;
    std::function<void(result<stream_end>)> ended;
};

// One open connection to a stream. Thread safe.
class backend_stream {
public:
    virtual ~backend_stream() = default;

    // Stops reading, so that flow control stops the engine.
    virtual void pause() = 0;
    virtual void resume() = 0;

    // Closes the connection without cancelling the stream, which the engine retains for a limited time. `ended` runs
    // with `Cancelled`.
    virtual void disconnect() = 0;
};

struct call_request {
    attempt_id attempt;
    std::string operation;
    std::string input; // JSON text
    std::uint32_t priority = 0;
    duration timeout {};
    bool freshConnection = false; // required for non-idempotent calls
    std::optional<mono_time> sendBefore {}; // from this time on, the call fails with `Refused` instead of being sent
};

struct call_reply {
    attempt_id attempt; // as echoed by the server; the caller discards answers for other attempts
    std::string output; // JSON text
    server_info serverInfo;
};

// State that an engine reports about itself.
struct engine_state {
    std::uint64_t generation = 0;
    std::vector<std::string> models; // "name@version"
    std::string role;
};

// Client for all backend servers. Thread safe. Callbacks run on any thread, exactly once unless stated otherwise.
//
// Errors: `Refused` guarantees that the work did not run (the connection was refused, or the server says so).
// `NotFound` means that the stream of a `joinOnly` request is unknown. After `Timeout` and `Unavailable` the work may
// have run or may still be running.
class backend_client {
public:
    virtual ~backend_client() = default;

    // Addresses consist of host and port, such as "10.0.0.1:8080".
    virtual std::shared_ptr<backend_stream> openStream(
        const std::string& address, const stream_request& request, stream_handlers handlers)
        = 0;

    // Cancels a stream at the engine. Idempotent.
    virtual void cancelStream(const std::string& address, stream_id stream, std::function<void(result<void>)> done) = 0;

    virtual void call(
        const std::string& address, const call_request& request, std::function<void(result<call_reply>)> done)
        = 0;

    virtual void queryState(
        const std::string& address, duration timeout, std::function<void(result<engine_state>)> done)
        = 0;
};

} // namespace balsamspring

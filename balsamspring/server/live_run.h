// Connects a pipeline run to its caller, to the backend servers and to the clock.
#pragma once

#include "balsamspring/backend/backend_client.h"
#include "balsamspring/execution/pipeline_run.h"
#include "balsamspring/server/metrics.h"
#include "balsamspring/server/serving_hooks.h"

#include <deque>
#include <memory>
#include <mutex>

namespace balsamspring {

// The connection of a caller. Used by one run at a time and by one thread at a time.
class caller_sink {
public:
    virtual ~caller_sink() = default;

    // `id` is the resume token after this event, empty for Error.
    virtual void send(const caller_event& event, const std::string& id, const run_request& request) = 0;
    // Writes something that the caller ignores, so that a lost connection is noticed.
    virtual void keepAlive() = 0;
    // Bytes that the caller has not taken yet.
    virtual std::size_t pending() const = 0;
    // No further events follow: the run has ended or another connection has taken over.
    virtual void close() = 0;
};

// What all runs of a daemon share.
struct run_environment {
    serving_hooks hooks;
    std::shared_ptr<backend_client> client;
    std::string resumeKey;
    run_options options;
    std::shared_ptr<balsamspring::metrics> metrics;
};

struct run_status {
    work_state work = work_state::Running;
    bool ended = false;
    bool callerPresent = true;
};

// Thread safe. Events are handled one after the other on whichever thread brings them; no call blocks.
class live_run : public std::enable_shared_from_this<live_run> {
public:
    using ended_callback = std::function<void(const live_run&)>;

    live_run(std::shared_ptr<const run_environment> environment, run_request request,
        std::shared_ptr<const pipeline_plan> plan, ended_callback ended);

    void start(std::shared_ptr<caller_sink> sink);
    void resumeAt(const caller_position& position, const chosen_server& holder, stream_id stream,
        std::shared_ptr<caller_sink> sink);
    // Replaces the caller's connection and repeats the events from the position on.
    void attach(const caller_position& position, std::shared_ptr<caller_sink> sink);
    // Ignored when the sink was replaced before.
    void onCallerDisconnected(const caller_sink* sink);
    void cancel();

    const run_request& request() const { return m_request; }
    const pipeline_plan& plan() const { return *m_plan; }
    run_status status() const;

private:
    using event_function = std::function<void(mono_time now)>;

    void post(event_function event);
    void handle(const event_function& event);
    void perform(run_action& action, mono_time now);
    void performEmit(const caller_event& event, mono_time now);
    void performEnd(const run_ended_action& action, mono_time now);
    void performChoose(const choose_server_action& action);
    void performOpen(const open_stream_action& action);
    void performCall(const start_call_action& action);
    void performNonIdempotent(const run_non_idempotent_action& action);
    void replaceSink(std::shared_ptr<caller_sink> sink);
    void observeSink(mono_time now);
    void armTimer(mono_time now);
    void scheduleKeepAlive();

    std::shared_ptr<const run_environment> m_environment;
    const run_request m_request;
    std::shared_ptr<const pipeline_plan> m_plan;
    ended_callback m_endedCallback;

    // Used only by the thread that handles events.
    pipeline_run m_run;
    std::shared_ptr<caller_sink> m_sink;
    std::map<attempt_id, std::shared_ptr<backend_stream>> m_streams;
    mono_time m_started;
    mono_time m_lastWrite;
    std::optional<mono_time> m_timerAt;
    bool m_sawToken = false;
    bool m_keepAliveScheduled = false;

    mutable std::mutex m_mutex; // guards what follows
    std::deque<event_function> m_events;
    bool m_busy = false;
    run_status m_status;
};

} // namespace balsamspring

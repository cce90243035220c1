// State machine of one request through the stages of its pipeline.
#pragma once

#include "balsamspring/execution/attempt_filter.h"
#include "balsamspring/execution/caller_presence.h"
#include "balsamspring/execution/run_types.h"
#include "balsamspring/execution/stage_input.h"

#include <map>
#include <memory>

namespace balsamspring {

// Consumes events with an explicit time and collects actions. Does no I/O, takes no lock and reads no clock: the owner
// serializes events, executes the actions in order and calls tick() at nextTick(). Not thread-safe.
//
// Guarantees to the caller: the tokens of one run of a stage are delivered in order and exactly once, tokens of a new
// run follow a Restart event for that stage, and exactly one Done or Error event ends the run.
class pipeline_run {
public:
    pipeline_run(
        run_request request, std::shared_ptr<const pipeline_plan> plan, run_hooks hooks, const run_options& options);

    // Joins the stream of a run on another VM. Called instead of start(). `position.stage` must be the last stage
    // unless the request carries its input.
    void resumeAt(const caller_position& position, const chosen_server& holder, stream_id stream, mono_time now);

    void start(mono_time now);
    void tick(mono_time now);

    // Results of choose_server_action.
    void serverChosen(attempt_id attempt, const chosen_server& server, mono_time now);
    void serverRefused(attempt_id attempt, const run_failure& cause, mono_time now);

    // Events of the connection that was opened for the attempt `connection`. `frame` is the attempt id that the server
    // sent and may differ.
    void streamOpened(attempt_id connection, attempt_id frame, mono_time now);
    void tokenArrived(attempt_id connection, const token_frame& frame, mono_time now);
    void streamEnded(attempt_id connection, attempt_id frame, std::uint64_t tokenCount, mono_time now);
    void streamFailed(attempt_id connection, const error& cause, mono_time now);
    void callEnded(attempt_id connection, const result<std::string>& output, attempt_id frame, mono_time now);
    void nonIdempotentEnded(attempt_id connection, const non_idempotent_outcome& outcome, mono_time now);

    void setCallerBufferedBytes(std::size_t bytes, mono_time now);
    void onCallerDisconnected(mono_time now);
    // The caller has reconnected, or another connection replaces its own. Emits the events from `position` on again.
    void onCallerReconnected(const caller_position& position, mono_time now);
    void cancel(mono_time now, const std::string& reason = "cancelled");

    std::vector<run_action> takeActions();
    // Time of the next timer. Empty once the run has ended.
    std::optional<mono_time> nextTick() const;

    bool ended() const { return m_ended; }
    work_state work() const;
    const run_request& request() const { return m_request; }
    const pipeline_plan& plan() const { return *m_plan; }
    const frame_counts& droppedFrames() const { return m_dropped; }
    caller_presence::state_type callerState() const { return m_presence.state(); }

private:
    enum class stage_status : std::uint8_t { Waiting, Running, Completed, Skipped };

    struct stage_state {
        stage_status status = stage_status::Waiting;
        std::string output; // JSON text
        // Tokens of the current run.
        std::vector<std::string> tokens;
        std::uint32_t run = 0;
        // Whether the caller may have received tokens of the current run.
        bool tokensEmitted = false;
        // Tokens below this sequence number were delivered to the caller by another VM and are not emitted.
        std::uint64_t firstTokenToEmit = 0;
        std::uint32_t failures = 0;
        // Number of resumes since the last accepted token.
        std::uint32_t resumesSinceProgress = 0;
        attempt_filter filter;
        // Server that may hold the stream of the current run.
        std::optional<chosen_server> holder;
        stream_id stream;
        std::vector<backend_id> excludedServers;
        std::optional<mono_time> retryAt;
        std::optional<mono_time> hedgeAt;
        mono_time limit;
        // Input as sent to the server.
        std::string input;
        fingerprint content;
    };

    struct attempt_state {
        std::size_t stage = 0;
        bool hedge = false;
        // Whether the attempt resumes a stream on the server that holds it.
        bool continuation = false;
        // Empty until a server has been chosen.
        std::optional<chosen_server> server;
        bool opened = false;
        std::uint64_t tokens = 0;
        bool paused = false;
        mono_time startedAt;
        mono_time lastFrameAt;
        // Moving average of the time between two tokens.
        duration averageGap {};
    };

    stage_outputs predecessorOutputs(std::size_t stage) const;
    void startReadyStages(mono_time now);
    void startStage(std::size_t stage, mono_time now);
    void skipStage(std::size_t stage, mono_time now);
    void completeStage(std::size_t stage, std::string output, mono_time now);
    void requestServer(std::size_t stage, bool hedge, mono_time now);
    void sendNonIdempotent(std::size_t stage, mono_time now);
    void sendStream(attempt_id id, attempt_state& attempt, mono_time now);
    void sendCall(attempt_id id, attempt_state& attempt, mono_time now);

    attempt_state* findAttempt(attempt_id id);
    bool hasAttempt(std::size_t stage) const;
    void endAttempt(attempt_id id, attempt_outcome outcome, mono_time now);
    void cancelAttempts(std::size_t stage, mono_time now);
    void attemptFailed(attempt_id id, const error& cause, attempt_outcome outcome, mono_time now);
    void retryStage(std::size_t stage, const error& cause, mono_time now);
    void stageFailed(std::size_t stage, run_failure failure, mono_time now);
    bool resumeStream(std::size_t stage, const error& cause, mono_time now);
    bool beginNewRun(std::size_t stage, mono_time now);
    void checkIdleStreams(mono_time now);
    void checkStageTimers(mono_time now);
    mono_time idleDeadline(const attempt_state& attempt) const;

    void updateFlowControl(mono_time now);
    void emit(caller_event_kind kind, std::size_t stage, std::uint64_t next, std::string text);
    void emitDone();
    void finish(mono_time now, const run_failure* failure);
    bool clearIfExpired(std::optional<mono_time>& timer, mono_time now) const;
    duration remaining(mono_time now) const;
    // Sets the work states of the failure from the attempts of this run.
    void setWorkState(run_failure& failure) const;
    bool mayHaveRun() const { return m_attemptsSent > m_attemptsRefused; }
    bool hasNonIdempotentCall() const;

    run_request m_request;
    std::shared_ptr<const pipeline_plan> m_plan;
    run_hooks m_hooks;
    run_options m_options;
    caller_presence m_presence;
    std::vector<stage_state> m_stages;
    std::map<attempt_id, attempt_state> m_attempts;
    std::vector<run_action> m_actions;
    frame_counts m_dropped;
    mono_time m_deadline;
    bool m_started = false;
    bool m_ended = false;
    // Streams are not cancelled when the run ends, because another VM may have joined them for the caller.
    bool m_keepStreams = false;
    // Attempts that were sent, and those of them that are known not to have run.
    std::uint64_t m_attemptsSent = 0;
    std::uint64_t m_attemptsRefused = 0;
    // A non-idempotent call cannot be revoked, so the run is cancelled when it completes.
    bool m_cancelAfterNonIdempotentCall = false;
    std::optional<run_failure> m_failure;
};

} // namespace balsamspring

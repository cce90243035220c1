// Serves one request of a caller: admits it, runs its stages, sends it to a backend server, with retries, and relays
// the response. A session runs on the thread of the gateway's event loop.
#pragma once

#include "balsamspring/gateway/event_splitter.h"
#include "balsamspring/gateway/gateway_context.h"
#include "balsamspring/gateway/piece_router.h"
#include "balsamspring/gateway/server_call.h"
#include "balsamspring/gateway/stream_watch.h"
#include "balsamspring/net/http_service.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamspring {

struct session_options {
    // The session ends the request this long before the caller's deadline, so that the caller still gets a response.
    duration deadlineMargin = std::chrono::milliseconds(30);
    // An idempotent call that is not complete after this share of the latency target is retried on another server,
    // unless its response is already being relayed.
    double attemptTimeoutShare = 0.6;
    // When a silent resumable stream is continued on another server, if a retry is allowed.
    stream_watch_options streamWatch;
    // Range of the Retry-After value of a refusal.
    duration minRetryAfter = std::chrono::milliseconds(150);
    duration maxRetryAfter = std::chrono::milliseconds(900);
    // Longest time by which a refusal for limited servers is beyond that range.
    duration maxLimitedRetryAfter = std::chrono::seconds(2);
    // Refuses requests before their first stage, or ends them before the next one, by the waits of the pools ahead, and
    // derives the Retry-After from them (early_refusal). For routes with stages.
    bool refuseEarly = true;
    // Factor for teams above their share, whose surge may last longer than a burst of all.
    double overShareRetryFactor = 2;
    // Longer response bodies are relayed while they arrive. Their calls can then no longer be retried.
    std::size_t maxBufferedBytes = 256 * 1024;
    // An event of a stream that is longer than this is not a valid one.
    std::size_t maxEventBytes = 1024 * 1024;
    // Reading from the server pauses while more bytes than this wait to be written to the caller.
    std::size_t relayHighWaterMark = 256 * 1024;
    // Prefill rate and fixed time of an engine call, for the estimate of its duration.
    double prefillTokensPerMs = 40;
    duration engineBaseTime = std::chrono::milliseconds(80);
    // Scheduling slack that a stage leaves for each later stage, as a share of the duration of a full call: a server
    // becomes free after half a call on average.
    double stageSlackFactor = 0.5;
    // Scheduling slack for the engine call: the difference between the 90th percentile and the median of its latency.
    duration engineSlack = std::chrono::milliseconds(100);
    // A request that has run this long on a server since its first event does not crash it.
    duration crashProof = std::chrono::milliseconds(500);
    // A branch of stages starts this much earlier than necessary to end together with the longest one.
    duration branchMargin = std::chrono::milliseconds(120);
    // The entry of a server that is down is gone after this time; until then it may return without being tried.
    duration entryLapse = std::chrono::seconds(4);
    // Longest idle time of a connection that is reused: for idempotent requests, and for all others.
    duration idleReuse = std::chrono::seconds(2);
    duration unsafeIdleReuse = std::chrono::milliseconds(300);
};

// The context and the options must outlive the session. `onDone` is called once, at the end of the request.
class request_session : public std::enable_shared_from_this<request_session> {
public:
    request_session(const gateway_context& context, const session_options& options, incoming_request request,
        std::shared_ptr<response_writer> writer, std::function<void(request_session&)> onDone);

    void begin();
    // Refuses the request if no part of it has been sent to a server yet.
    void rejectIfWaiting(std::string_view reason);
    // Ends the request at `limit` at the latest, with a response. To be called before begin(), or later.
    void endBy(mono_time limit);
    // Ends the call to a server, or the plan of one, without an answer to the caller, at the end of the gateway.
    void abandon();

private:
    struct stage_progress {
        piece_ticket ticket = 0;
        bool submitted = false;
        bool done = false;
        bool released = false;
        // Number of stages that still need the results.
        unsigned pendingConsumers = 0;
        mono_time submittedAt {};
        mono_time doneAt {};
        std::vector<piece_result> results;
    };

    // Admission. Functions that return false have ended the request.
    bool admit();
    void start();
    // Claims the probe of a blocked part of the prompt for this request, and refuses it if that fails.
    void claimProbe(const part_verdict& verdict);
    // Whether a part of the prompt has been blocked since the admission. Ends the request in that case.
    bool refuseBlocked();
    bool findRoute();
    bool authenticate();
    bool keyStillValid();
    void startTimers();
    void armDeadline();

    // Stages.
    void prepareStages();
    void submitReadyStages();
    // Time until the stage should start. A branch whose results would only wait for a longer branch starts later, since
    // waiting results occupy the storage that limits a pool.
    duration stageStartDelay(std::size_t index) const;
    // Expected time until the longest chain of stages that have not ended is done, from its stage `index` on.
    duration remainingStageTime(std::size_t index) const;
    void submitStage(std::size_t index);
    // Calls of the longest chain of stages: of all, and of those from the stage `index` on.
    std::vector<stage_ahead> longestChain() const;
    std::vector<stage_ahead> longestChainFrom(std::size_t index) const;
    request_ahead aheadOf(const std::vector<stage_ahead>& stages) const;
    // Whether the waits of the pools ahead ended the request.
    bool refusedBeforeFirstStage();
    bool refusedBeforeStage(std::size_t index);
    // Tells early_refusal what this VM has seen of a pool.
    void recordStageEnd(std::size_t index, const result<std::vector<piece_result>>& outcome);
    void stageDone(std::size_t index, result<std::vector<piece_result>> outcome);
    bool isFinalStage(std::size_t index) const;
    duration expectedTimeAfterStage(std::size_t index, double margin) const;
    duration expectedEngineTime() const;
    void releaseStage(std::size_t index);
    void releaseFinalResults();
    // Whether the results that the engine reads have not been released.
    bool inputsKept() const;
    // Runs all stages again, because their results were released or have expired. Ends with send().
    void remakeInputs();
    // Expected time from now to the response if all stages run again.
    duration expectedRemakeTime() const;
    std::vector<std::string> finalStageHandles() const;
    // The availability zone in which the results of a stage without inputs should be made: that of the engine that has
    // cached the prompt. Empty if the engine is chosen by the results.
    zone_id preferredStageZone() const;
    // The availability zone that stores most bytes of the results of these stages. Empty if there are no results.
    zone_id zoneOfResults(const std::vector<std::size_t>& stages) const;
    std::vector<std::size_t> finalStages() const;

    // The call to the backend server.
    void send();
    // Sends the request to another server, after making its inputs again if necessary.
    void sendAgain();
    const server_entry* chooseServer();
    const server_entry* chooseAmong(const std::vector<const server_entry*>& servers, mono_time now);
    // Removes the servers that must not get this request because they are cold. If none is left, sets when to return.
    void excludeCold(std::vector<const server_entry*>& servers, const pool_spec& pool, mono_time now);
    // If all servers of the pool are in zones that the operator empties: ends the request.
    bool refuseEvacuated(const pool_id& pool);
    std::uint64_t prefixHash() const;
    // Whether the request is sent to an engine, which caches prompts.
    bool usesEngine() const;
    // Chooses the engine of the request, so that its stages can make their results in the zone of that engine, and runs
    // the stages. Keeps a permit if the engine is limited. Ends the request if no engine takes one.
    void placeCall();
    void runStages();
    // Whether this request may be sent to the server now.
    bool admits(const server_entry& server, mono_time now) const;
    // Calls choose() until it returns a server that admits the request, or null. Removes the others from the list.
    const server_entry* chooseAdmitting(std::vector<const server_entry*>& servers, mono_time now,
        const std::function<const server_entry*(const std::vector<const server_entry*>&)>& choose);
    // If the server that suits best admits no request: asks for permits, once, and calls `next` after the answer.
    bool waitsForPermit(const std::function<void()>& next);
    // Ends the request because all servers of its pool are limited and have had what they take.
    void refuseLimited();
    // The servers among which the placement chooses.
    std::vector<engine_candidate> engineCandidates(
        const std::vector<const server_entry*>& servers, mono_time now) const;
    const server_entry* chooseEngine(const std::vector<const server_entry*>& servers, mono_time now);
    void headArrived(const http_head& head);
    void bodyArrived(std::string_view bytes);
    void callEnded(exchange_outcome end);
    void callFailed(call_failure kind, std::string_view cause);
    // Ids of the prompt parts that other requests may share: all but the last one.
    std::vector<std::string_view> sharedParts() const;
    void callRejected();
    void callWithheld();
    void callTimedOut();
    bool mayRetry();
    // If all servers of the pool have asked for a pause: ends the request, and has the caller return after the first.
    bool refusePaused(const pool_id& pool);
    void armCallTimer(duration limit);
    // Watches over a silent stream.
    void checkStream();
    void askAboutRun();
    void runStatusArrived(report_outcome outcome, const server_report* report, attempt_id asked);
    bool mayReplaceStream();
    // `ran`: the response shows that the server has run the request.
    void recordSuccess(bool ran);
    // The current server has run the request long enough to show that its content and its parts are harmless.
    void recordProof();

    // The response to the caller.
    void relayEvents(std::string_view bytes);
    void streamEnded();
    void deliverResponse();
    void beginResponse();
    void refuse(unsigned status, std::string_view reason);
    // Ends the request with the status that is true of it: whether a server may have executed it.
    void giveUp(std::string_view reason);
    void failAfterSend(std::string_view reason);
    void abortResponse(std::string_view reason);
    void deadlinePassed();
    void callerDisconnected();
    void applyBackpressure();
    void finish(std::string_view outcome, std::string_view reason);
    duration retryAfter();
    duration remaining() const;

    const gateway_context& m_context;
    const session_options& m_options;
    incoming_request m_incoming;
    std::shared_ptr<response_writer> m_writer;
    std::function<void(request_session&)> m_onDone;

    std::shared_ptr<const serving_config> m_config;
    const route_spec* m_route = nullptr; // Owned by m_config.
    std::optional<team_id> m_team;
    unsigned m_priority = 0;
    pool_id m_pool;
    caller_request m_request;
    fingerprint m_content;
    // Fingerprints of the parts of the prompt that other requests may share.
    std::vector<fingerprint> m_parts;
    // The stages or the call of the request have begun.
    bool m_started = false;
    // The request tests a blocked part of its prompt.
    bool m_probing = false;
    // The current server has run the request long enough.
    bool m_proven = false;
    // Overrides the Retry-After value of a refusal.
    std::optional<duration> m_retryAfter;
    // Time at which the route's latency target is reached.
    mono_time m_targetTime {};
    mono_time m_deadline {};
    std::optional<mono_time> m_endBy; // the gateway ends soon after
    std::vector<stage_progress> m_stages;
    placed_call m_placedCall; // until the request is sent
    struct kept_permit {
        server_process server;
        send_permit permit;
    };
    std::optional<kept_permit> m_permit; // for the engine of m_placedCall, if it is limited
    // The servers that suited better in the last choice and admitted no request: the best one, or all if none did.
    std::vector<server_process> m_unadmitted;
    bool m_askedForPermit = false; // for the present choice

    std::shared_ptr<client_exchange> m_exchange;
    std::unique_ptr<server_call> m_call; // null while no call is in progress
    std::set<backend_id> m_tried;
    mono_time m_sentAt {};
    unsigned m_attempts = 0;
    // A server may have begun to execute the request.
    bool m_mayHaveRun = false;
    backend_response m_response;
    // The head for the caller. For a resumed stream it comes from the first server.
    http_head m_responseHead;
    std::string m_responseBody;
    // The head was written to the caller.
    bool m_responseStarted = false;
    event_splitter m_splitter;
    event_sequence m_events;
    stream_watch m_watch;
    // Events that were delivered to the caller, including those of its previous connection.
    std::uint64_t m_deliveredEvents = 0;
    bool m_firstEventSeen = false;
    // The current server answers the continuation of a stream with something else than a stream of the same kind.
    bool m_otherAnswer = false;
    // The current server has sent an event.
    bool m_serverBegan = false;
    mono_time m_serverBeganAt {};
    // The request is refused because its team is above its share.
    bool m_overShare = false;
    // The stages run for the second time or later.
    bool m_stagesRepeated = false;
    mono_time m_firstEventAt {};
    event_loop::timer_id m_deadlineTimer = 0;
    event_loop::timer_id m_callTimer = 0;
    event_loop::timer_id m_stageTimer = 0;
    bool m_done = false;
};

} // namespace balsamspring

// One request of a caller: admission, its stages, the call to a backend server, the relay of the answer.
#pragma once

#include "balsamspring/gateway/event_splitter.h"
#include "balsamspring/gateway/gateway_context.h"
#include "balsamspring/gateway/piece_router.h"
#include "balsamspring/net/http_service.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamspring {

struct session_options {
    duration stopMargin = std::chrono::milliseconds(30); // the final answer precedes the caller's deadline by this
    double repeatShare = 0.6; // of the latency target, after which a silent idempotent call goes to another server
    // A stream that sends nothing for this long goes on at another server, if it may.
    duration firstEventSilence = std::chrono::milliseconds(1800);
    duration eventSilence = std::chrono::milliseconds(600);
    duration minRetryAfter = std::chrono::milliseconds(150);
    duration maxRetryAfter = std::chrono::milliseconds(900);
    std::size_t bufferedAnswerBytes = 256 * 1024; // longer answers are relayed while they arrive
    std::size_t relayHighWater = 256 * 1024; // unwritten bytes at which the server is read no further
    double prefillTokensPerMs = 40; // of an engine, for the estimate of its part of the time
    duration engineBase = std::chrono::milliseconds(80);
    // Time in hand that a stage leaves for what follows: a server is free half a call later on average, and engines
    // answer this much later at nine tenths of requests than at half of them.
    double stageMargin = 0.5; // of a full call, for each stage that follows
    duration engineMargin = std::chrono::milliseconds(100);
    duration idleReuse = std::chrono::seconds(2); // of connections for requests that may be repeated
    duration unsafeIdleReuse = std::chrono::milliseconds(300); // of connections for others
};

class request_session : public std::enable_shared_from_this<request_session> {
public:
    request_session(const gateway_context& context, const session_options& options, incoming_request request,
        std::shared_ptr<response_writer> writer, std::function<void(request_session&)> onDone);

    void begin();
    // Rejects the request if nothing of it was sent to its server yet.
    void rejectIfWaiting(std::string_view reason);

private:
    struct stage_progress {
        piece_ticket ticket = 0;
        bool submitted = false;
        bool done = false;
        bool released = false;
        unsigned readers = 0; // stages that still need the results
        unsigned level = 0; // stages that follow, on the longest way to the end
        std::vector<piece_result> results;
    };

    // Admission.
    bool accept();
    bool findRoute();
    bool findTeam();
    bool keyStillHeld();
    void startTimers();

    // Stages.
    void prepareStages();
    void submitReadyStages();
    bool stageIsDue(std::size_t index) const;
    void submitStage(std::size_t index);
    void stageDone(std::size_t index, result<std::vector<piece_result>> outcome);
    bool isFinalStage(std::size_t index) const;
    duration timeAfterStage(std::size_t index, double margin) const;
    duration engineTime() const;
    void releaseStage(std::size_t index);
    void releaseFinalResults();
    std::vector<std::string> finalInputs() const;
    // The availability zone in which most bytes of the results of these stages lie; empty when there are none.
    zone_id zoneOfResults(const std::vector<std::size_t>& stages) const;
    std::vector<std::size_t> finalStages() const;

    // The call.
    void send();
    const server_entry* chooseServer();
    std::uint64_t prefixHash() const;
    void headArrived(const http_head& head);
    void bodyArrived(std::string_view bytes);
    void callEnded(exchange_end end);
    void callFailed(call_failure kind, std::string_view how);
    void callRejected();
    void callSilent();
    bool mayRepeat();
    void armSilence(duration limit);
    void endCall();

    // The answer.
    void relayEvents(std::string_view bytes);
    void streamEnded();
    void deliverAnswer();
    void beginAnswer();
    void refuse(unsigned status, std::string_view reason);
    void refuseWaiting(std::string_view reason);
    void failAfterSend(std::string_view reason);
    void breakOff(std::string_view reason);
    void deadlinePassed();
    void callerGone();
    void relayPaused();
    void finish(std::string_view outcome, std::string_view reason);
    duration retryAfter();
    duration remaining() const;

    const gateway_context& m_context;
    const session_options& m_options;
    incoming_request m_incoming;
    std::shared_ptr<response_writer> m_writer;
    std::function<void(request_session&)> m_onDone;

    std::shared_ptr<const serving_config> m_config;
    const route_spec* m_route = nullptr; // owned by m_config
    std::optional<team_id> m_team;
    unsigned m_priority = 0;
    pool_id m_pool;
    caller_request m_request;
    fingerprint m_content;
    mono_time m_wanted {};
    mono_time m_deadline {};
    std::vector<stage_progress> m_stages;

    std::shared_ptr<client_exchange> m_exchange;
    std::optional<server_entry> m_server;
    std::set<backend_id> m_tried;
    mono_time m_sentAt {};
    attempt_id m_attempt;
    unsigned m_attempts = 0;
    bool m_mayHaveRun = false; // some server may have begun the request
    backend_answer m_answer;
    http_head m_answerHead; // of the first server of a stream
    std::string m_answerBody;
    bool m_answerStarted = false; // the head was written to the caller
    event_splitter m_splitter;
    event_sequence m_events;
    bool m_firstEventSeen = false;
    mono_time m_firstEventAt {};
    event_loop::timer_id m_deadlineTimer = 0;
    event_loop::timer_id m_silenceTimer = 0;
    bool m_done = false;
};

} // namespace balsamspring

#include "balsamspring/execution/pipeline_run.h"
#include "balsamspring/execution/resume_token.h"
#include "balsamspring/gateway/crash_quarantine.h"
#include "balsamspring/schema/config.pb.h"

#include <catch2/catch.hpp>

using namespace balsamspring;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Runs a pipeline, by default of one generate stage, on virtual time. The test acts as the servers.
struct harness {
    explicit harness(bool resumable = false, schema::stage::kind_type kind = schema::stage::generate)
    {
        schema::pipeline source;
        schema::stage* stage = source.add_stages();
        stage->set_name("draft");
        stage->set_kind(kind);
        source.set_deadline_ms(60'000);
        source.set_resumable(resumable);
        start(source);
    }
    explicit harness(const schema::pipeline& source) { start(source); }

    void start(const schema::pipeline& source)
    {
        auto plan = std::make_shared<pipeline_plan>(*compilePipeline(pipeline_id("p"), source));
        run_request request;
        request.id = request_id("r1");
        request.input = "\"hello\"";
        request.deadline = plan->deadline;
        run = std::make_unique<pipeline_run>(request, plan, defaultRunHooks(7), run_options {});
        run->start(now);
        processActions();
    }

    // Assigns servers to attempts and records the actions of the run.
    void processActions()
    {
        for (auto actions = run->takeActions(); !actions.empty(); actions = run->takeActions()) {
            for (const run_action& action : actions) {
                if (const auto* choose = std::get_if<choose_server_action>(&action)) {
                    lastServerRequest = *choose;
                    if (assignServers)
                        run->serverChosen(choose->attempt, { backend_id("e1"), "a" }, now);
                } else if (const auto* open = std::get_if<open_stream_action>(&action)) {
                    openedStreams.push_back(*open);
                } else if (const auto* call = std::get_if<start_call_action>(&action)) {
                    calls.push_back(*call);
                } else if (const auto* emit = std::get_if<emit_action>(&action)) {
                    events.push_back(emit->event);
                } else {
                    otherActions.push_back(action);
                }
            }
        }
    }

    void token(std::uint64_t sequence, std::optional<attempt_id> frame = {})
    {
        const attempt_id connection = openedStreams.back().attempt;
        run->tokenArrived(connection, { frame.value_or(connection), sequence, std::to_string(sequence) }, now);
        processActions();
    }
    void failStream(error_code code)
    {
        run->streamFailed(openedStreams.back().attempt, { code, "test" }, now);
        processActions();
    }
    void endStream(std::uint64_t count)
    {
        run->streamEnded(openedStreams.back().attempt, openedStreams.back().attempt, count, now);
        processActions();
    }
    void advance(duration step)
    {
        now += step;
        run->tick(now);
        processActions();
    }
    template <class Action> std::size_t count() const
    {
        std::size_t found = 0;
        for (const run_action& action : otherActions)
            found += std::holds_alternative<Action>(action);
        return found;
    }
    std::string emittedText() const
    {
        std::string text;
        for (const caller_event& event : events) {
            if (event.kind == caller_event_kind::Token)
                text += event.text;
            if (event.kind == caller_event_kind::Restart)
                text += "|";
        }
        return text;
    }

    mono_time now { seconds(100) };
    bool assignServers = true;
    std::unique_ptr<pipeline_run> run;
    choose_server_action lastServerRequest;
    std::vector<open_stream_action> openedStreams;
    std::vector<start_call_action> calls;
    std::vector<caller_event> events;
    std::vector<run_action> otherActions;
};

} // namespace

TEST_CASE("the caller receives each token once and in order despite frames of other attempts, duplicates and gaps")
{
    harness test;
    test.token(0);
    test.token(0);
    test.token(1, attempt_id(99));
    test.token(1);
    REQUIRE(test.emittedText() == "01");
    test.token(3);
    REQUIRE(test.openedStreams.size() == 2);
    REQUIRE(test.openedStreams.back().resumeFrom == 2);
    REQUIRE(test.openedStreams.back().joinOnly);
    test.token(2);
    test.token(3);
    test.endStream(4);
    REQUIRE(test.emittedText() == "0123");
    REQUIRE(test.events.back().kind == caller_event_kind::Done);
    REQUIRE(test.run->droppedFrames().duplicate == 1);
    REQUIRE(test.run->droppedFrames().otherAttempt == 1);
    REQUIRE(test.run->droppedFrames().gap == 1);
}

TEST_CASE("a stream that ends before its last token is resumed, so that the response is complete")
{
    harness test;
    test.token(0);
    test.endStream(3);
    REQUIRE(test.openedStreams.size() == 2);
    REQUIRE(test.openedStreams.back().resumeFrom == 1);
}

TEST_CASE("an idle stream is resumed after eight average token gaps and at least one second")
{
    harness test;
    for (std::uint64_t i = 0; i < 5; ++i) {
        test.advance(milliseconds(20));
        test.token(i);
    }
    test.advance(milliseconds(999));
    REQUIRE(test.openedStreams.size() == 1);
    test.advance(milliseconds(1));
    REQUIRE(test.openedStreams.size() == 2);
    REQUIRE(test.openedStreams.back().resumeFrom == 5);
}

TEST_CASE("a restart event separates the tokens of two runs when the stream is lost")
{
    harness test;
    test.token(0);
    test.token(1);
    test.failStream(error_code::Unavailable);
    test.failStream(error_code::NotFound);
    test.advance(seconds(1));
    REQUIRE(test.openedStreams.size() == 3);
    REQUIRE_FALSE(test.openedStreams.back().joinOnly);
    REQUIRE(test.openedStreams.back().stream != test.openedStreams.front().stream);
    test.token(0);
    test.endStream(1);
    REQUIRE(test.emittedText() == "01|0");
}

TEST_CASE("a failed run reports not_run only when every attempt was refused")
{
    harness test;
    for (int i = 0; i < 4; ++i) {
        test.failStream(error_code::Refused);
        test.advance(seconds(1));
    }
    REQUIRE(test.run->ended());
    REQUIRE(test.run->work() == work_state::NotRun);

    harness other;
    other.failStream(error_code::Unavailable);
    for (int i = 0; i < 4; ++i) {
        other.advance(seconds(1));
        if (!other.run->ended())
            other.failStream(error_code::Refused);
    }
    REQUIRE(other.run->ended());
    REQUIRE(other.run->work() == work_state::Unknown);
}

TEST_CASE("a resumable run pauses the engine without a caller, loses no token on return and does not cancel the stream")
{
    harness test(true);
    test.token(0);
    test.run->onCallerDisconnected(test.now);
    test.processActions();
    REQUIRE(test.count<pause_stream_action>() == 1);
    test.advance(seconds(4));
    test.events.clear();
    test.run->onCallerReconnected({ 0, 0, 0 }, test.now);
    test.processActions();
    REQUIRE(test.emittedText() == "0");
    REQUIRE(test.count<resume_stream_action>() == 1);
    test.run->onCallerDisconnected(test.now);
    test.advance(seconds(6));
    REQUIRE(test.run->ended());
    REQUIRE(test.count<disconnect_stream_action>() == 1);
    REQUIRE(test.count<cancel_stream_action>() == 0);

    harness other;
    other.token(0);
    other.run->onCallerDisconnected(other.now);
    other.processActions();
    REQUIRE(other.run->ended());
    REQUIRE(other.count<cancel_stream_action>() == 1);
}

TEST_CASE("a caller that stops reading pauses the engine and is treated as disconnected after the stall timeout")
{
    harness test;
    test.token(0);
    test.run->setCallerBufferedBytes(std::size_t { 64 } * 1024, test.now);
    test.processActions();
    REQUIRE(test.count<pause_stream_action>() == 1);
    test.run->setCallerBufferedBytes(std::size_t { 32 } * 1024, test.now);
    test.processActions();
    REQUIRE(test.count<resume_stream_action>() == 1);
    test.run->setCallerBufferedBytes(std::size_t { 64 } * 1024, test.now);
    test.advance(seconds(30));
    REQUIRE(test.run->ended());
    REQUIRE(test.count<cancel_stream_action>() == 1);
}

TEST_CASE("a run behind schedule skips a skippable stage and fails at its deadline")
{
    schema::pipeline source;
    source.set_deadline_ms(1000);
    for (const char* name : { "first", "extra", "last" }) {
        schema::stage* stage = source.add_stages();
        stage->set_name(name);
        stage->set_kind(schema::stage::call);
        stage->set_timeout_ms(300);
    }
    source.mutable_stages(1)->set_skippable(true);
    harness test(source);
    test.now += milliseconds(500);
    test.run->callEnded(test.calls.back().attempt, std::string("1"), test.calls.back().attempt, test.now);
    test.processActions();
    REQUIRE(test.calls.size() == 2);
    REQUIRE(test.lastServerRequest.stage == 2);
    test.advance(milliseconds(500));
    REQUIRE(test.events.back().kind == caller_event_kind::Error);
    REQUIRE(test.events.back().failure.reason == "deadline_exceeded");
}

TEST_CASE("a call response that carries another attempt id is rejected and the call is retried")
{
    harness test(false, schema::stage::call);
    test.run->callEnded(test.calls.back().attempt, std::string("\"foreign\""), attempt_id(5), test.now);
    test.advance(seconds(1));
    REQUIRE(test.calls.size() == 2);
    REQUIRE_FALSE(test.run->ended());
}

TEST_CASE("a resume token with any modified character is rejected, so that no caller can read another caller's stream")
{
    const resume_token token { request_id("v.1.2"), team_id("t"), pipeline_id("p"), config_version(3), 1, 2,
        backend_id("e"), stream_id(9), 77 };
    const std::string text = encodeResumeToken(token, "key");
    REQUIRE(*decodeResumeToken(text, "key") == token);
    REQUIRE_FALSE(decodeResumeToken(text, "other").has_value());
    for (std::size_t i = 0; i + 1 < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        REQUIRE_FALSE(decodeResumeToken(changed, "key").has_value());
    }
}

TEST_CASE(
    "content is quarantined after two server crashes, and other content on a crashed server is cleared by a success")
{
    crash_quarantine quarantine({});
    mono_time now { seconds(1) };
    const fingerprint crashingContent(1);
    const fingerprint harmlessContent(2);
    const backend_id server("e1");
    quarantine.generationSeen(server, 1, now);
    quarantine.started(attempt_id(1), crashingContent, server, now);
    quarantine.started(attempt_id(2), harmlessContent, server, now);
    quarantine.connectionLost(attempt_id(1), now);
    quarantine.connectionLost(attempt_id(2), now);
    quarantine.generationSeen(server, 2, now);
    REQUIRE(quarantine.quarantineStatus(crashingContent, now) == quarantine_status::Suspect);
    REQUIRE(quarantine.quarantineStatus(harmlessContent, now) == quarantine_status::Suspect);

    quarantine.started(attempt_id(3), crashingContent, server, now);
    REQUIRE_FALSE(quarantine.mayStart(harmlessContent, server, now));
    quarantine.connectionLost(attempt_id(3), now);
    quarantine.connectRefused(server, now);
    REQUIRE(quarantine.quarantineStatus(crashingContent, now) == quarantine_status::Quarantined);
    REQUIRE_FALSE(quarantine.mayStart(crashingContent, backend_id("e2"), now));

    REQUIRE(quarantine.mayStart(harmlessContent, server, now));
    quarantine.started(attempt_id(4), harmlessContent, server, now);
    quarantine.succeeded(attempt_id(4), now);
    REQUIRE(quarantine.quarantineStatus(harmlessContent, now) == quarantine_status::Clear);
    now += std::chrono::minutes(10);
    REQUIRE(quarantine.quarantineStatus(crashingContent, now) == quarantine_status::Clear);
}

TEST_CASE("a refusal after an attempt that may have run does not report not_run")
{
    harness test;
    test.assignServers = false;
    test.failStream(error_code::Unavailable);
    test.advance(seconds(1));
    test.run->serverRefused(test.lastServerRequest.attempt, { "queue_full", "full", work_state::NotRun }, test.now);
    test.processActions();
    REQUIRE(test.run->ended());
    REQUIRE(test.events.back().failure.reason == "queue_full");
    REQUIRE(test.run->work() == work_state::Unknown);
}

TEST_CASE("a run that fails before its non-idempotent call reports not_run for this attempt only, not for the key")
{
    schema::pipeline source;
    schema::stage* lookup = source.add_stages();
    lookup->set_name("lookup");
    lookup->set_kind(schema::stage::retrieve);
    schema::stage* award = source.add_stages();
    award->set_name("award");
    award->set_kind(schema::stage::call);
    award->set_non_idempotent(true);
    source.set_deadline_ms(60'000);
    harness test(source);
    test.assignServers = false;
    REQUIRE(test.calls.size() == 1);
    SECTION("cancelled") { test.run->cancel(test.now); }
    SECTION("deadline") { test.advance(seconds(61)); }
    SECTION("no server")
    {
        test.run->callEnded(test.calls.back().attempt, tl::make_unexpected(error { error_code::Refused, "draining" }),
            test.calls.back().attempt, test.now);
        test.processActions();
        test.advance(seconds(1));
        test.run->serverRefused(test.lastServerRequest.attempt, { "overloaded", "full", work_state::NotRun }, test.now);
    }
    REQUIRE(test.run->ended());
    REQUIRE(test.run->work() == work_state::Unknown);
}

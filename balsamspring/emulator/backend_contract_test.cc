// Contract of backend_client, run over HTTP against the stand-ins, with one row per fault.
#include "balsamspring/backend/http_backend_client.h"
#include "balsamspring/emulator/model_engine.h"
#include "balsamspring/emulator/plain_service.h"

#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>
#include <thread>

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

// Collects the events of one stream.
struct stream_log {
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<server_info> serverInfo;
    std::vector<stream_token> tokens;
    std::optional<result<stream_end>> outcome;
    int ends = 0;
    mono_time firstToken {};
};

struct open_stream {
    std::shared_ptr<stream_log> log = std::make_shared<stream_log>();
    std::shared_ptr<backend_stream> stream;

    template <class Predicate> bool wait(Predicate predicate, duration limit = 10s) const
    {
        std::unique_lock lock(log->mutex);
        return log->changed.wait_for(lock, limit, [&] { return predicate(*log); });
    }
    bool waitTokens(std::size_t count) const
    {
        return wait([&](const stream_log& seen) { return seen.tokens.size() >= count; });
    }
    bool waitEnd() const
    {
        return wait([](const stream_log& seen) { return seen.outcome.has_value(); });
    }
};

open_stream openStream(backend_client& client, const std::string& address, const stream_request& request)
{
    open_stream opened;
    const auto log = opened.log;
    const auto note = [log](auto change) {
        const std::lock_guard lock(log->mutex);
        change(*log);
        log->changed.notify_all();
    };
    opened.stream = client.openStream(address, request,
        { .opened = [note](attempt_id,
                        const server_info& serverInfo) { note([&](stream_log& l) { l.serverInfo = serverInfo; }); },
            .token =
                [note](const stream_token& token) {
                    note([&](stream_log& l) {
                        if (l.tokens.empty())
                            l.firstToken = monotonicNow();
                        l.tokens.push_back(token);
                    });
                },
            .ended =
                [note](result<stream_end> outcome) {
                    note([&](stream_log& l) {
                        l.outcome = std::move(outcome);
                        ++l.ends;
                    });
                } });
    return opened;
}

stream_request report(std::uint64_t id, std::uint32_t tokens)
{
    stream_request request;
    request.stream = stream_id(id);
    request.attempt = attempt_id(100 + id);
    request.model = model_id("m");
    request.prompt = "Draft the report of class " + std::to_string(id);
    request.maxTokens = tokens;
    return request;
}

model_engine_options fastEngine()
{
    model_engine_options options;
    options.tokenGap = 2ms;
    options.gapPerStream = 10us;
    options.prefillPerBlock = 1ms;
    return options;
}

bool waitQueued(model_engine& engine, std::uint32_t count)
{
    for (int i = 0; i < 500; ++i) {
        if (engine.load().queued == count)
            return true;
        std::this_thread::sleep_for(1ms);
    }
    return false;
}

result<call_reply> call(backend_client& client, const std::string& address, const call_request& request)
{
    std::promise<result<call_reply>> answer;
    client.call(address, request, [&](result<call_reply> value) { answer.set_value(std::move(value)); });
    return answer.get_future().get();
}

} // namespace

TEST_CASE("a stream arrives whole and in order, with the server information")
{
    model_engine engine(fastEngine());
    engine.start();
    http_backend_client client;
    const stream_request request = report(1, 50);
    const open_stream opened = openStream(client, engine.address(), request);
    REQUIRE(opened.waitEnd());
    REQUIRE(opened.log->serverInfo->generation == engine.generation());
    REQUIRE(opened.log->serverInfo->load.running == 1);
    REQUIRE(opened.log->outcome->value().sequence == 50);
    REQUIRE(opened.log->tokens.size() == 50);
    for (std::uint64_t i = 0; i < 50; ++i) {
        REQUIRE(opened.log->tokens[i].sequence == i);
        REQUIRE(opened.log->tokens[i].text == model_engine::tokenText(request.prompt, i));
    }
}

TEST_CASE("streams under each fault")
{
    struct row {
        const char* name;
        server_faults faults;
        std::optional<error_code> outcome; // none: the stream ends well
        std::size_t tokens;
        std::uint64_t started;
    };
    const auto item = GENERATE(values<row>({
        { "slow", { .slowFactor = 10 }, {}, 20, 1 },
        { "answers late", { .answerLate = 150ms }, {}, 20, 1 },
        { "answers twice", { .answerTwice = true }, {}, 40, 1 },
        { "answers with another attempt", { .foreignAttempt = true }, error_code::Unavailable, 20, 1 },
        { "resets in the middle", { .resetAfterTokens = 7 }, error_code::Unavailable, 7, 1 },
        { "accepts and never replies", { .neverReply = true }, error_code::Timeout, 0, 1 },
        { "stops answering", { .stopAnswering = true }, error_code::Timeout, 0, 0 },
        { "crashes on the prompt", { .crashMarker = "class 1" }, error_code::Unavailable, 0, 0 },
        { "leaves", { .leaving = true }, {}, 20, 1 },
        { "drains", { .draining = true }, error_code::Refused, 0, 0 },
        { "lags with its load", { .loadLag = 5s }, {}, 20, 1 },
    }));
    INFO(item.name);
    model_engine engine(fastEngine());
    engine.start();
    engine.setFaults(item.faults);
    http_backend_client client({ .openTimeout = 400ms });
    const stream_request request = report(1, 20);
    const auto begin = monotonicNow();
    const open_stream opened = openStream(client, engine.address(), request);
    REQUIRE(opened.waitEnd());
    const duration time = monotonicNow() - begin;
    const auto& outcome = *opened.log->outcome;
    const std::optional<error_code> code = outcome ? std::nullopt : std::optional(outcome.error().code);
    REQUIRE(code == item.outcome);
    REQUIRE(opened.log->tokens.size() == item.tokens);
    REQUIRE(opened.log->ends == 1);
    REQUIRE(engine.counters().started == item.started);
    for (const stream_token& token : opened.log->tokens) {
        REQUIRE((token.attempt == request.attempt) == !item.faults.foreignAttempt);
        REQUIRE(token.text == model_engine::tokenText(request.prompt, token.sequence));
    }
    REQUIRE((opened.log->serverInfo && opened.log->serverInfo->leaving) == item.faults.leaving);
    if (item.faults.slowFactor > 1)
        REQUIRE(time >= 20 * 10 * 2ms);
    REQUIRE(time >= item.faults.answerLate);
    if (item.faults.loadLag > duration::zero())
        REQUIRE(opened.log->serverInfo->load.running == 0);
}

TEST_CASE("calls under each fault: Refused only when the call did not run, and no call runs twice")
{
    struct row {
        const char* name;
        server_faults faults;
        std::optional<error_code> outcome;
        std::uint64_t executions; // after the server has had time to finish
    };
    const auto item = GENERATE(values<row>({
        { "no fault", {}, {}, 1 },
        { "slow", { .slowFactor = 10 }, {}, 1 },
        { "answers late, in time", { .answerLate = 100ms }, {}, 1 },
        { "answers after the timeout", { .answerLate = 500ms }, error_code::Timeout, 1 },
        { "answers twice", { .answerTwice = true }, {}, 1 },
        { "answers with another attempt", { .foreignAttempt = true }, {}, 1 },
        { "resets after it ran", { .resetAfterTokens = 0 }, error_code::Unavailable, 1 },
        { "accepts and never replies", { .neverReply = true }, error_code::Timeout, 1 },
        { "stops answering", { .stopAnswering = true }, error_code::Timeout, 0 },
        { "crashes on the input", { .crashMarker = "pot-7" }, error_code::Unavailable, 0 },
        { "leaves", { .leaving = true }, {}, 1 },
        { "drains", { .draining = true }, error_code::Refused, 0 },
    }));
    const bool fresh = GENERATE(false, true);
    INFO(item.name << (fresh ? ", fresh connection" : ", pooled connection"));
    plain_service service;
    service.start();
    http_backend_client client;
    // Leaves an idle connection in the pool.
    REQUIRE(call(
        client, service.address(), { .attempt = attempt_id(1), .operation = "ping", .input = "0", .timeout = 300ms }));
    service.setFaults(item.faults);
    const std::string input = R"({"pot":"pot-7"})";
    const auto answer = call(client, service.address(),
        { .attempt = attempt_id(2),
            .operation = "transfer",
            .input = input,
            .timeout = 300ms,
            .freshConnection = fresh });
    const std::optional<error_code> code = answer ? std::nullopt : std::optional(answer.error().code);
    REQUIRE(code == item.outcome);
    std::this_thread::sleep_for(30ms);
    REQUIRE(service.executions("transfer", input) == item.executions);
    if (answer) {
        REQUIRE((answer->attempt == attempt_id(2)) == !item.faults.foreignAttempt);
        REQUIRE(answer->serverInfo.leaving == item.faults.leaving);
    }
}

TEST_CASE("after a doubled answer no later call takes the answer of another attempt for its own")
{
    plain_service service;
    service.start();
    service.setFaults({ .answerTwice = true });
    http_backend_client client;
    for (std::uint64_t i = 1; i <= 20; ++i) {
        const auto answer = call(client, service.address(),
            { .attempt = attempt_id(i), .operation = "lookup", .input = std::to_string(i), .timeout = 300ms });
        if (answer && answer->attempt == attempt_id(i))
            REQUIRE(answer->output.find("\"input\":" + std::to_string(i) + ",") != std::string::npos);
    }
}

TEST_CASE("a closed port refuses streams and calls")
{
    std::string address;
    {
        model_engine engine;
        engine.start();
        address = engine.address();
    }
    http_backend_client client;
    const open_stream opened = openStream(client, address, report(1, 5));
    REQUIRE(opened.waitEnd());
    REQUIRE(opened.log->outcome->error().code == error_code::Refused);
    const auto answer = call(client, address,
        { .attempt = attempt_id(2), .operation = "x", .input = "1", .timeout = 1s, .freshConnection = true });
    REQUIRE(answer.error().code == error_code::Refused);
    REQUIRE(call(client, "no address", { .attempt = attempt_id(3), .operation = "x", .input = "1" }).error().code
        == error_code::Refused);
}

TEST_CASE("after silent connections new calls and resumed streams work")
{
    model_engine engine(fastEngine());
    plain_service service;
    engine.start();
    service.start();
    http_backend_client client;
    std::vector<std::promise<bool>> answers(3); // leaves three idle connections in the pool
    for (auto& answer : answers) {
        client.call(service.address(), { .attempt = attempt_id(1), .operation = "x", .input = "1", .timeout = 300ms },
            [&](const result<call_reply>& value) { answer.set_value(value.has_value()); });
    }
    for (auto& answer : answers)
        REQUIRE(answer.get_future().get());
    stream_request request = report(1, 200);
    const open_stream first = openStream(client, engine.address(), request);
    REQUIRE(first.waitTokens(10));
    engine.silenceConnections();
    service.silenceConnections();
    std::this_thread::sleep_for(100ms);
    std::size_t held = 0;
    first.wait([&](const stream_log& seen) {
        held = seen.tokens.size();
        return true;
    });
    REQUIRE(held < 200);
    first.stream->disconnect();
    request.resumeFrom = held;
    request.attempt = attempt_id(7);
    const open_stream second = openStream(client, engine.address(), request);
    REQUIRE(second.waitEnd());
    REQUIRE(first.log->outcome->error().code == error_code::Cancelled);
    REQUIRE(second.log->outcome->has_value());
    REQUIRE(second.log->tokens.front().sequence == held);
    REQUIRE(second.log->tokens.size() == 200 - held);
    REQUIRE(engine.counters().started == 1);

    // The pooled connections are silent; after one timeout the others must not be used.
    const call_request pooled { .attempt = attempt_id(2), .operation = "x", .input = "2", .timeout = 300ms };
    REQUIRE(call(client, service.address(), pooled).error().code == error_code::Timeout);
    REQUIRE(call(client, service.address(), pooled));
}

TEST_CASE("a reset stream resumes without a lost or doubled token")
{
    model_engine engine(fastEngine());
    engine.start();
    engine.setFaults({ .resetAfterTokens = 13 });
    http_backend_client client;
    stream_request request = report(1, 100);
    int attempts = 0;
    while (request.resumeFrom < 100 && ++attempts < 20) {
        request.attempt = attempt_id(static_cast<std::uint64_t>(attempts));
        const open_stream opened = openStream(client, engine.address(), request);
        REQUIRE(opened.waitEnd());
        for (const stream_token& token : opened.log->tokens)
            REQUIRE(token.sequence == request.resumeFrom++);
    }
    REQUIRE(request.resumeFrom == 100);
    REQUIRE(engine.counters().started == 1);
    REQUIRE(engine.counters().tokens == 100);
}

TEST_CASE("a crash ends all streams, refuses for a while and shows as a new generation")
{
    model_engine engine(fastEngine());
    engine.start();
    const auto before = engine.generation();
    http_backend_client client;
    const open_stream innocent = openStream(client, engine.address(), report(1, 10'000));
    REQUIRE(innocent.waitTokens(3));
    engine.setFaults({ .crashMarker = "class 2", .crashDowntime = 300ms });
    const open_stream guilty = openStream(client, engine.address(), report(2, 10));
    REQUIRE(guilty.waitEnd());
    REQUIRE(innocent.waitEnd());
    REQUIRE(innocent.log->outcome->error().code == error_code::Unavailable);
    const open_stream during = openStream(client, engine.address(), report(3, 10));
    REQUIRE(during.waitEnd());
    REQUIRE(during.log->outcome->error().code == error_code::Refused);
    std::this_thread::sleep_for(400ms);
    stream_request again = report(1, 10);
    again.joinOnly = true;
    const open_stream join = openStream(client, engine.address(), again);
    REQUIRE(join.waitEnd());
    REQUIRE(join.log->outcome->error().code == error_code::NotFound);
    const open_stream after = openStream(client, engine.address(), report(4, 10));
    REQUIRE(after.waitEnd());
    REQUIRE(after.log->serverInfo->generation != before);
}

TEST_CASE("a paused stream stops the engine through flow control and then continues whole")
{
    model_engine_options options = fastEngine();
    options.tokenGap = 50us;
    model_engine engine(options);
    engine.start();
    http_backend_client client;
    constexpr std::uint32_t total = 30'000;
    const open_stream opened = openStream(client, engine.address(), report(1, total));
    REQUIRE(opened.waitTokens(10));
    opened.stream->pause();
    std::this_thread::sleep_for(1s);
    const auto generated = engine.counters().tokens;
    const auto received = [&] {
        const std::lock_guard lock(opened.log->mutex);
        return opened.log->tokens.size();
    };
    const std::size_t held = received();
    std::this_thread::sleep_for(300ms);
    REQUIRE(engine.counters().tokens == generated);
    REQUIRE(received() == held);
    REQUIRE(generated < total);
    INFO("tokens generated beyond those received while paused: " << generated - held);
    REQUIRE(generated - held < 2500); // 65 bytes each; both socket buffers and the engine's limit hold 80 KiB
    opened.stream->resume();
    REQUIRE(opened.wait([](const stream_log& seen) { return seen.outcome.has_value(); }, 60s));
    REQUIRE(opened.log->tokens.size() == total);
    for (std::uint64_t i = 0; i < total; ++i)
        REQUIRE(opened.log->tokens[i].sequence == i);
}

TEST_CASE("a stream is joined by its id, held without a reader, cancelled, and dropped when nobody returns")
{
    model_engine_options options = fastEngine();
    options.hold = 300ms;
    model_engine engine(options);
    engine.start();
    http_backend_client client;
    const open_stream first = openStream(client, engine.address(), report(1, 100'000));
    REQUIRE(first.waitTokens(5));
    stream_request joining = report(1, 100'000);
    joining.joinOnly = true;
    joining.attempt = attempt_id(9);
    const open_stream second = openStream(client, engine.address(), joining);
    REQUIRE(second.waitTokens(5));
    REQUIRE(second.log->tokens.front().sequence == 0);
    REQUIRE(second.log->tokens.front().attempt == attempt_id(9));
    first.stream->disconnect();
    second.stream->disconnect();
    REQUIRE(first.waitEnd());
    REQUIRE(second.waitEnd());
    std::this_thread::sleep_for(100ms);
    const auto generated = engine.counters().tokens;
    REQUIRE(engine.load().running == 0);
    const open_stream third = openStream(client, engine.address(), joining);
    REQUIRE(third.waitTokens(generated + 5));
    third.stream->disconnect();
    std::this_thread::sleep_for(500ms);
    REQUIRE(engine.counters().dropped == 1);

    const open_stream other = openStream(client, engine.address(), report(2, 100'000));
    REQUIRE(other.waitTokens(1));
    for (int i = 0; i < 2; ++i) {
        std::promise<bool> cancelled;
        client.cancelStream(engine.address(), stream_id(2),
            [&](const result<void>& answer) { cancelled.set_value(answer.has_value()); });
        REQUIRE(cancelled.get_future().get());
    }
    REQUIRE(other.waitEnd());
    REQUIRE(other.log->outcome->error().code == error_code::Unavailable);
    REQUIRE(engine.counters().cancelled == 1);
}

TEST_CASE("the engine batches: rate falls with the batch, urgent streams go first, a cached prefix starts sooner")
{
    model_engine_options options = fastEngine();
    options.gapPerStream = 2ms;
    options.maxBatch = 4;
    options.prefillPerBlock = 20ms;
    model_engine engine(options);
    engine.start();
    http_backend_client client;
    const auto timed = [&](const stream_request& request) {
        const auto begin = monotonicNow();
        REQUIRE(openStream(client, engine.address(), request).waitEnd());
        return monotonicNow() - begin;
    };
    stream_request prompt = report(1, 1);
    prompt.prompt = std::string(1280, 'p');
    const duration cold = timed(prompt);
    prompt.stream = stream_id(2);
    const duration warm = timed(prompt);
    REQUIRE(cold >= 400ms);
    REQUIRE(warm < 200ms);

    const duration alone = timed(report(3, 50));
    std::vector<open_stream> batch;
    const auto begin = monotonicNow();
    for (std::uint64_t id = 10; id < 14; ++id)
        batch.push_back(openStream(client, engine.address(), report(id, 50)));
    for (const open_stream& item : batch)
        REQUIRE(item.waitTokens(1));
    stream_request waiting = report(20, 50);
    waiting.priority = 2;
    const open_stream lazy = openStream(client, engine.address(), waiting);
    REQUIRE(waitQueued(engine, 1));
    for (std::uint64_t id = 21; id < 25; ++id) {
        waiting = report(id, 50);
        waiting.priority = 1;
        batch.push_back(openStream(client, engine.address(), waiting));
    }
    REQUIRE(waitQueued(engine, 5));
    for (const open_stream& item : batch)
        REQUIRE(item.waitEnd());
    REQUIRE(monotonicNow() - begin > 3 * alone);
    REQUIRE(lazy.waitEnd());
    for (const open_stream& item : batch)
        REQUIRE(item.log->firstToken < lazy.log->firstToken);
}

TEST_CASE("an engine tells its state and refuses a model that it does not hold")
{
    model_engine_options options = fastEngine();
    options.models = { "m@1" };
    model_engine engine(options);
    engine.start();
    http_backend_client client;
    std::promise<result<engine_state>> answer;
    client.queryState(engine.address(), 1s, [&](result<engine_state> value) { answer.set_value(std::move(value)); });
    const auto state = answer.get_future().get().value();
    REQUIRE(state.generation == engine.generation());
    REQUIRE(state.models == std::vector<std::string> { "m@1" });

    stream_request request = report(1, 5);
    request.model = model_id("absent");
    const open_stream absent = openStream(client, engine.address(), request);
    REQUIRE(absent.waitEnd());
    REQUIRE(absent.log->outcome->error().code == error_code::Refused);
}

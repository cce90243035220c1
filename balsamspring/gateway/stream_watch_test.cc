// Replays of silent streams in virtual time.
#include "balsamspring/gateway/stream_watch.h"

#include <functional>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

const mono_time start { 1h };

// The answer of the server at the given time. No value: the server does not answer.
using server_hook = std::function<std::optional<std::optional<run_status>>(duration)>;

struct replay_outcome {
    std::optional<duration> replacedAt;
    stream_loss loss = stream_loss::None;
    int questions = 0;
};

struct replay_stream {
    // Times at which events arrive.
    std::vector<duration> events;
    // Bytes of an incomplete event that arrive every 100 ms.
    std::size_t trickledBytes = 0;
    duration answerDelay = 20ms;
};

// Runs the watch until the time limit in steps of 10 ms.
replay_outcome replay(const replay_stream& stream, const server_hook& server, duration limit = 12s)
{
    replay_outcome outcome;
    stream_watch watch;
    watch.sent(0, start);
    std::optional<duration> answerAt;
    std::size_t delivered = 0;
    for (duration time = 0ms; time < limit; time += 10ms) {
        while (delivered < stream.events.size() && stream.events[delivered] <= time)
            watch.eventArrived(++delivered, start + time);
        if (stream.trickledBytes > 0 && time.count() % 100'000 == 0)
            watch.bytesArrived(stream.trickledBytes, start + time);
        if (answerAt && *answerAt <= time) {
            answerAt.reset();
            if (const auto answer = server(time))
                watch.answered(*answer, start + time);
            else
                watch.notAnswered(start + time);
        }
        switch (watch.next(start + time)) {
        case stream_action::Wait:
            break;
        case stream_action::Ask:
            outcome.questions += 1;
            answerAt = time + stream.answerDelay;
            break;
        case stream_action::Replace:
            outcome.replacedAt = time;
            outcome.loss = watch.loss();
            return outcome;
        }
    }
    return outcome;
}

run_status holdsRun(std::uint64_t events) { return { events, true }; }

run_status withoutRun(bool requestsWaiting) { return { std::nullopt, requestsWaiting }; }

} // namespace

TEST_CASE("a stream whose engine reads long prompts is kept, however long it is silent")
{
    const auto outcome = replay({ .events = { 800ms, 6000ms } }, [](duration) { return holdsRun(1); });
    CHECK_FALSE(outcome.replacedAt);
    CHECK(outcome.questions <= 16);
}

TEST_CASE("a stream that sends events is not asked about")
{
    replay_stream stream;
    for (duration at = 300ms; at < 12s; at += 500ms)
        stream.events.push_back(at);
    CHECK(replay(stream, [](duration) { return std::nullopt; }).questions == 0);
}

TEST_CASE("a stream is replaced soon after its server stops answering")
{
    const auto outcome = replay({ .events = { 800ms }, .answerDelay = 450ms }, [](duration) { return std::nullopt; });
    REQUIRE(outcome.replacedAt);
    CHECK(*outcome.replacedAt <= 800ms + 1600ms);
    CHECK(outcome.loss == stream_loss::Unreachable);
}

TEST_CASE("one lost answer does not replace a stream")
{
    int asked = 0;
    const auto outcome = replay({ .events = { 800ms } }, [&](duration) -> std::optional<std::optional<run_status>> {
        if (++asked % 2 > 0)
            return std::nullopt;
        return holdsRun(1);
    });
    CHECK_FALSE(outcome.replacedAt);
}

TEST_CASE("a stream is replaced when its server no longer holds the run")
{
    const auto outcome = replay({ .events = { 800ms } }, [](duration) { return withoutRun(false); });
    REQUIRE(outcome.replacedAt);
    CHECK(*outcome.replacedAt <= 800ms + 1500ms);
    CHECK(outcome.loss == stream_loss::RunLost);
}

TEST_CASE("a preempted stream is kept, and a request that has not begun is moved")
{
    CHECK_FALSE(replay({ .events = { 800ms } }, [](duration) { return withoutRun(true); }).replacedAt);
    const auto outcome = replay({}, [](duration) { return withoutRun(true); });
    REQUIRE(outcome.replacedAt);
    CHECK(outcome.loss == stream_loss::NotBegun);
}

TEST_CASE("a stream is replaced when its run makes events that do not arrive")
{
    const auto server = [](duration time) {
        return holdsRun(1 + static_cast<std::uint64_t>(time / 100ms));
    };
    const auto silent = replay({ .events = { 800ms } }, server);
    REQUIRE(silent.replacedAt);
    CHECK(silent.loss == stream_loss::ConnectionLost);
    // Single bytes of an event are no progress.
    const auto trickling = replay({ .events = { 800ms }, .trickledBytes = 1 }, server);
    REQUIRE(trickling.replacedAt);
    CHECK(trickling.loss == stream_loss::ConnectionLost);
    // A large event over a slow connection is.
    CHECK_FALSE(replay({ .events = { 800ms }, .trickledBytes = 2000 }, server).replacedAt);
}

TEST_CASE("a stream that trickles without events ends when nothing explains its silence")
{
    const auto outcome
        = replay({ .events = { 800ms }, .trickledBytes = 1 }, [](duration) { return std::optional<run_status>(); });
    REQUIRE(outcome.replacedAt);
    CHECK(outcome.loss == stream_loss::Unexplained);
    CHECK(*outcome.replacedAt >= 3800ms);
}

TEST_CASE("a continued stream is judged by the events of all its servers")
{
    stream_watch watch;
    watch.sent(7, start);
    CHECK(watch.next(start + 1400ms) == stream_action::Wait);
    REQUIRE(watch.next(start + 1500ms) == stream_action::Ask);
    // The server counts the events before the continuation too, and still reads the prompt.
    watch.answered(holdsRun(7), start + 1510ms);
    CHECK(watch.next(start + 1510ms) == stream_action::Wait);
    REQUIRE(watch.next(watch.nextCheck()) == stream_action::Ask);
    watch.answered(holdsRun(7), start + 2300ms);
    CHECK(watch.next(start + 2300ms) == stream_action::Wait);
}

TEST_CASE("an answer that crosses an event is ignored")
{
    stream_watch watch;
    watch.sent(0, start);
    watch.eventArrived(1, start + 100ms);
    REQUIRE(watch.next(start + 700ms) == stream_action::Ask);
    watch.eventArrived(2, start + 710ms);
    watch.notAnswered(start + 720ms);
    watch.notAnswered(start + 721ms);
    CHECK(watch.next(start + 722ms) == stream_action::Wait);
}

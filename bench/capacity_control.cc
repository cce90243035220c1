// Claims and log appends.
#include "balsamspring/base/random.h"
#include "balsamspring/claims/append_batcher.h"
#include "balsamspring/claims/claim_book.h"
#include "balsamspring/claims/claim_records.h"
#include "bench/capacity_families.h"
#include "bench/slope_reporter.h"

#include <deque>
#include <string>

#include <fmt/core.h>

namespace balsamspring::bench {

namespace {

using namespace std::chrono_literals;
using benchmark::State;

constexpr auto tickInterval = 100ms;
constexpr int ticksPerSecond = 10;

std::string claimRecord(const key_id& key, std::uint64_t nonce)
{
    return encode({ key, claim_entry { std::string(32, 'd'), nonce, vm_id("nl-west-entry-1"), incarnation(7) } });
}

std::string outcomeRecord(const key_id& key, std::uint64_t nonce)
{
    return encode({ key, outcome_entry { nonce, 200, std::string(200, 'x'), false } });
}

// Reads the records of `keys` calls, in pages of 64 records.
void readClaims(State& state, std::int64_t keys)
{
    std::vector<log_page> pages;
    std::uint64_t offset = 0;
    double bytes = 0;
    for (std::int64_t i = 0; i < keys; ++i) {
        if (offset % 64 == 0)
            pages.emplace_back();
        const key_id key { log_offset(offset), static_cast<std::uint64_t>(i) + 1 };
        const auto nonce = static_cast<std::uint64_t>(i) + 1;
        for (std::string record : { claimRecord(key, nonce), outcomeRecord(key, nonce) }) {
            bytes += static_cast<double>(record.size());
            pages.back().records.push_back({ log_offset(offset++), std::move(record) });
        }
        pages.back().next = log_offset(offset);
    }
    double heap = 0;
    while (state.KeepRunning()) {
        const std::size_t before = heapBytes();
        claim_book book;
        for (const log_page& page : pages)
            book.apply(book.next(), page, mono_time(1h));
        state.PauseTiming();
        heap = static_cast<double>(heapBytes() - before);
        if (static_cast<std::int64_t>(book.size()) != keys)
            state.SkipWithError("the book did not take every key");
        state.ResumeTiming();
    }
    state.counters["heap bytes"] = heap;
    state.counters["log bytes"] = bytes;
}

// A writer is one follower of one partition: 8 x 3 of them today, 64 x 3 at the target. Calls arrive at random at the
// writers; each writes a claim, and an outcome 20 ms later. Counts the appends a second
// of all writers together on virtual time.
void appendCalls(State& state, std::int64_t callsPerSecond, std::size_t writers)
{
    constexpr auto length = 10s;
    double appends = 0;
    double records = 0;
    while (state.KeepRunning()) {
        appends = records = 0;
        random_engine random(1);
        std::vector<append_batcher> batchers(writers, append_batcher(5ms, 64));
        std::deque<std::pair<mono_time, std::size_t>> outcomes;
        mono_time nextCall(0s);
        for (mono_time now(0s); now < mono_time(length); now += 1ms) {
            for (; nextCall <= now;
                 nextCall += fromSeconds(exponential(random, 1.0 / static_cast<double>(callsPerSecond)))) {
                const std::size_t writer = uniformBelow(random, static_cast<std::uint32_t>(writers));
                batchers[writer].add("claim", {}, now);
                outcomes.emplace_back(now + 20ms, writer);
            }
            for (; !outcomes.empty() && outcomes.front().first <= now; outcomes.pop_front())
                batchers[outcomes.front().second].add("outcome", {}, now);
            for (append_batcher& batcher : batchers) {
                while (const auto batch = batcher.take(now)) {
                    ++appends;
                    records += static_cast<double>(batch->records.size());
                }
            }
        }
    }
    state.counters["appends/s"] = appends / 10;
    state.counters["records per append"] = records / appends;
    state.counters["no_time"] = 1;
}

} // namespace

void addControlFamilies()
{
    addFamily("claims read: keys", { 1000, 5000, 20'000, 50'000 }, readClaims);
    const std::vector<std::int64_t> rates { 10, 100, 300, 1000, 3000 };
    addFamily("append batching, 24 writers: calls/s", rates,
        [](State& state, std::int64_t rate) { appendCalls(state, rate, 24); });
    addFamily("append batching, 3 writers: calls/s", rates,
        [](State& state, std::int64_t rate) { appendCalls(state, rate, 3); });
    addFamily("append batching, 192 writers: calls/s", rates,
        [](State& state, std::int64_t rate) { appendCalls(state, rate, 192); });
}

} // namespace balsamspring::bench

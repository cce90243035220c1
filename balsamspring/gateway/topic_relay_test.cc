#include "balsamspring/gateway/topic_relay.h"

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

const mono_time start { 1h };

struct page_receiver {
    std::optional<record_page> page;
    int answers = 0;

    topic_relay::reply reply()
    {
        return [this](std::optional<record_page> answer) {
            answers += 1;
            page = std::move(answer);
        };
    }
};

} // namespace

TEST_CASE("relay: a pending request receives new records and the proof time relative to the request")
{
    topic_relay relay({});
    relay.reset(10);
    relay.advance(10, start, start);
    page_receiver receiver;
    REQUIRE(relay.requestPage(10, start + 100ms, receiver.reply()) != 0);
    CHECK(receiver.answers == 0);
    relay.add({ "a", "1", 10 });
    relay.advance(11, start + 400ms, start + 410ms);
    REQUIRE(receiver.page);
    CHECK(receiver.page->records.size() == 1);
    CHECK(receiver.page->nextOffset == 11);
    // The store confirmed the data 300 ms after the request arrived.
    CHECK(receiver.page->provenAfterRequest == 300ms);
}

TEST_CASE("relay: data that is older than the maximum proof age is not relayed")
{
    // Guards against relaying revoked keys: the relaying VM is cut off from the store while keys are revoked.
    topic_relay relay({ .maxProofAge = 1200ms });
    relay.reset(10);
    relay.advance(10, start, start);
    page_receiver late;
    CHECK(relay.requestPage(10, start + 1300ms, late.reply()) == 0);
    CHECK(late.answers == 1);
    CHECK_FALSE(late.page);
    page_receiver waiting;
    const auto id = relay.requestPage(10, start + 500ms, waiting.reply());
    REQUIRE(id != 0);
    relay.expire(id, start + 1500ms);
    CHECK(waiting.answers == 1);
    CHECK_FALSE(waiting.page);
    page_receiver early;
    const auto other = relay.requestPage(10, start + 500ms, early.reply());
    relay.expire(other, start + 1000ms);
    REQUIRE(early.page);
    // The proof is 500 ms older than the request.
    CHECK(early.page->provenAfterRequest == -500ms);
}

TEST_CASE("relay: a request for discarded records has to read the store")
{
    topic_relay relay({ .maxRecords = 2 });
    relay.reset(10);
    for (std::uint64_t offset = 10; offset < 13; ++offset)
        relay.add({ "k" + std::to_string(offset), "v", offset });
    relay.advance(13, start, start);
    page_receiver before;
    relay.requestPage(10, start, before.reply());
    CHECK_FALSE(before.page);
    page_receiver within;
    relay.requestPage(11, start, within.reply());
    REQUIRE(within.page);
    CHECK(within.page->records.size() == 2);
    relay.reset(20);
    page_receiver afterReset;
    relay.requestPage(13, start, afterReset.reply());
    CHECK_FALSE(afterReset.page);
}

TEST_CASE("relay: records that no proof covers yet are not relayed, nor is the proof before them")
{
    // A newer record replaces the one that the proof covers: its reader would trust a key that the older one revoked.
    topic_relay relay({});
    relay.reset(10);
    relay.add({ "config", "1", 10 });
    relay.advance(11, start, start);
    relay.add({ "config", "2", 11 });
    page_receiver expired;
    const auto id = relay.requestPage(10, start + 100ms, expired.reply());
    REQUIRE(id != 0);
    relay.expire(id, start + 200ms);
    CHECK(expired.answers == 1);
    CHECK_FALSE(expired.page);
    page_receiver waiting;
    REQUIRE(relay.requestPage(10, start + 200ms, waiting.reply()) != 0);
    CHECK(waiting.answers == 0);
    relay.advance(12, start + 300ms, start + 300ms);
    REQUIRE(waiting.page);
    CHECK(waiting.page->records.size() == 1);
    CHECK(waiting.page->nextOffset == 12);
}

TEST_CASE("relay: a record that changes while a snapshot is read is relayed")
{
    // The record was reported with the snapshot and discarded at its end. Its second report changed nothing.
    topic_relay relay({});
    relay.reset(10);
    relay.add({ "s1", "entry of the snapshot", 5 });
    relay.add({ "s2", "changed after the first page", 12 });
    relay.advance(10, start, start);
    page_receiver receiver;
    REQUIRE(relay.requestPage(10, start, receiver.reply()) != 0);
    CHECK(receiver.answers == 0);
    relay.advance(13, start + 10ms, start + 10ms);
    REQUIRE(receiver.page);
    REQUIRE(receiver.page->records.size() == 1);
    CHECK(receiver.page->records[0].key == "s2");
}

TEST_CASE("relay: a cancelled request gets no answer")
{
    topic_relay relay({});
    relay.reset(0);
    relay.advance(0, start, start);
    page_receiver receiver;
    relay.cancelPageRequest(relay.requestPage(0, start, receiver.reply()));
    relay.add({ "a", "1", 0 });
    relay.advance(1, start, start);
    CHECK(receiver.answers == 0);
}

TEST_CASE("relay: only the newest record of a key is held and relayed")
{
    // Load pattern: a configuration of half a megabyte changes several times a second, and links carry 10 Mbit/s.
    topic_relay relay({ .maxRecords = 2 });
    relay.reset(10);
    for (std::uint64_t offset = 10; offset < 20; ++offset)
        relay.add({ "config", "version " + std::to_string(offset), offset });
    relay.add({ "server", "entry", 20 });
    relay.advance(21, start, start);
    page_receiver behind;
    relay.requestPage(11, start, behind.reply());
    REQUIRE(behind.page);
    REQUIRE(behind.page->records.size() == 2);
    CHECK(behind.page->records[0].value == "version 19");
    CHECK(behind.page->records[1].key == "server");
    CHECK(behind.page->nextOffset == 21);
}

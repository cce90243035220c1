#include "balsamspring/gateway/page_codec.h"

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

record_page largePage(std::uint64_t offset)
{
    std::string value;
    for (int route = 0; route < 2000; ++route)
        value += "{\"name\":\"r-" + std::to_string(route) + "\",\"timeout_ms\":8000,\"attempts\":2},";
    record_page page;
    page.records = { { "config", value, offset }, { "gone", std::nullopt, offset + 1 } };
    page.nextOffset = offset + 2;
    page.provenAfterRequest = -5ms;
    return page;
}

void requireSame(const record_page& left, const record_page& right)
{
    REQUIRE(left.records.size() == right.records.size());
    for (std::size_t i = 0; i < left.records.size(); ++i) {
        CHECK(left.records[i].key == right.records[i].key);
        CHECK(left.records[i].value == right.records[i].value);
        CHECK(left.records[i].offset == right.records[i].offset);
    }
    CHECK(left.nextOffset == right.nextOffset);
    CHECK(left.provenAfterRequest == right.provenAfterRequest);
}

} // namespace

TEST_CASE("pages: a large configuration is encoded in less than a fifth of its size")
{
    // Load pattern: one VM relays half a megabyte to 81 others several times a second.
    page_encoder encoder;
    const record_page page = largePage(7);
    const std::string encoded = encoder.encode(page);
    CHECK(encoded.size() * 5 < page.records[0].value->size());
    const auto decoded = decodePage(encoded);
    REQUIRE(decoded);
    requireSame(*decoded, page);
}

TEST_CASE("pages: a compressed page is reused only for the same records")
{
    page_encoder encoder;
    encoder.encode(largePage(7));
    record_page later = largePage(7);
    later.provenAfterRequest = 3ms;
    requireSame(decodePage(encoder.encode(later)).value(), later);
    record_page newer = largePage(9);
    newer.records[0].value->append("changed");
    requireSame(decodePage(encoder.encode(newer)).value(), newer);
    const record_page small { { { "a", "1", 20 } }, 21 };
    requireSame(decodePage(encoder.encode(small)).value(), small);
    requireSame(decodePage(encoder.encode(newer)).value(), newer);
}

TEST_CASE("pages: a truncated page is rejected, and a corrupt one never yields additional records")
{
    page_encoder encoder;
    const std::string encoded = encoder.encode(largePage(7));
    CHECK_FALSE(decodePage(encoded.substr(0, encoded.size() / 2)));
    for (std::size_t at = 0; at < encoded.size(); at += 37) {
        std::string damaged = encoded;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x55);
        const auto page = decodePage(damaged);
        CHECK((!page || page->records.size() <= 2));
    }
}

TEST_CASE("pages: odd entry: a key of any bytes is relayed, and the records beside it too")
{
    page_encoder encoder;
    record_page page;
    page.records
        = { { "i-1", "{}", 1 }, { std::string("\xff\xfe\0", 3), std::string("\xff\0", 2), 2 }, { "", "x", 3 } };
    page.nextOffset = 4;
    const auto decoded = decodePage(encoder.encode(page));
    REQUIRE(decoded);
    requireSame(*decoded, page);
}

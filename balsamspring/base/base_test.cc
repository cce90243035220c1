#include "balsamspring/base/findings.h"
#include "balsamspring/base/hash.h"
#include "balsamspring/base/log.h"
#include "balsamspring/base/random.h"
#include "balsamspring/base/timer.h"

#include <future>
#include <limits>
#include <memory>

#include <catch2/catch.hpp>

using namespace balsamspring;

TEST_CASE("base64url round trip keeps every byte, so tokens are not damaged")
{
    std::string bytes;
    for (int i = 0; i < 256; ++i) {
        bytes += static_cast<char>(i);
        const auto decoded = fromBase64Url(toBase64Url(bytes));
        REQUIRE(decoded.has_value());
        REQUIRE(*decoded == bytes);
    }
    REQUIRE_FALSE(fromBase64Url("a+b").has_value());
}

TEST_CASE("hashes and draws are the same on every architecture, so that VMs of different kinds decide alike")
{
    CHECK(hash64("engine-7") == 0xfd32e03cc7f3ceULL);
    CHECK(hash64("engine-7", 42) == 0x4402f1010a423526ULL);
    CHECK(hash64("\xff\x80 not ASCII") == 0x6c15090068f3ebefULL);
    CHECK(combineHash(hash64("a"), hash64("b")) == 0x9377b5b3482bf747ULL);
    random_engine random(93055);
    CHECK(random() == 3216322404U);
    CHECK(uniformBelow(random, 1000) == 319);
    CHECK(uniform(random) == 0.36633720505051315);
    CHECK(exponential(random, 2.5) == Approx(5.7657182096635688).epsilon(1e-12));
    // Not fused: the product is rounded before the addition.
    volatile double factor = 1 + std::numeric_limits<double>::epsilon();
    volatile double term = -1;
    CHECK(factor * factor + term == 2 * std::numeric_limits<double>::epsilon());
    CHECK(formatLogLine(log_level::Info, "e", { { "k", "\xc3\xa9" } }) == "level=info event=e k=\"\xc3\xa9\"");
}

TEST_CASE("digests match the published test vectors")
{
    REQUIRE(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    REQUIRE(toHex(hmacSha256("Jefe", "what do ya want for nothing?"))
        == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("a log value cannot forge a second field or line")
{
    const auto line = formatLogLine(log_level::Info, "call", { { "team", "a b=\"c\"\nlevel=error" } });
    REQUIRE(line == "level=info event=call team=\"a b=\\\"c\\\"\\nlevel=error\"");
}

TEST_CASE("findings are reported together in the order of their places")
{
    findings list;
    list.add({ "b.toml", 2, 1 }, "second");
    list.add({ "a.toml", 9, 1 }, "first");
    list.add({ "b.toml", 2, 7 }, "third");
    REQUIRE(list.toText() == "a.toml:9:1: first\nb.toml:2:1: second\nb.toml:2:7: third\n");
}

TEST_CASE("a timer keeps its order, skips cancelled callbacks and may be released by its own callback")
{
    using namespace std::chrono_literals;
    auto timer = std::make_shared<timer_thread>();
    std::string order;
    std::promise<void> released;
    timer->after(20ms, [&] { order += 'b'; });
    const auto cancelled = timer->after(15ms, [&] { order += 'x'; });
    timer->after(5ms, [&] { order += 'a'; });
    timer->cancel(cancelled);
    std::promise<void> handedOver;
    timer->after(40ms, [&, owner = timer]() mutable {
        handedOver.get_future().wait();
        owner.reset();
        released.set_value();
    });
    timer.reset();
    handedOver.set_value();
    released.get_future().wait();
    REQUIRE(order == "ab");
}

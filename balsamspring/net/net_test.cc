#include "balsamspring/net/http_exchange.h"
#include "balsamspring/net/http_message.h"
#include "balsamspring/net/http_service.h"

#include <catch2/catch.hpp>

using namespace balsamspring;
using namespace std::chrono_literals;

namespace {

struct parsed_messages {
    explicit parsed_messages(http_role role, http_limits limits = {})
        : parser(role, limits,
            { .onHead = [this](const http_head& head) { heads.push_back(head); },
                .onBody = [this](std::string_view bytes) { body += bytes; },
                .onComplete =
                    [this] {
                        complete += 1;
                    } })
    {
    }

    std::vector<http_head> heads;
    std::string body;
    int complete = 0;
    http_parser parser;
};

constexpr std::string_view okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Accepts raw connections, answers each chunk of input by a hook.
struct raw_server {
    using reply_hook = std::function<void(const std::shared_ptr<connection>&, std::string_view)>;

    raw_server(event_loop& loop, reply_hook hook)
        : reply(std::move(hook))
    {
        auto opened = listener::open(loop, { "127.0.0.1", 0 }, 1s, [this](const std::shared_ptr<connection>& link) {
            links.push_back(link);
            link->start({ .onConnected = nullptr,
                .onData = [this, weak = std::weak_ptr(link)](std::string_view bytes) { reply(weak.lock(), bytes); },
                .onEnd = [this](connection_end) { ended += 1; },
                .onWritten = nullptr });
        });
        REQUIRE(opened);
        acceptor = std::move(*opened);
    }

    endpoint address() const { return { "127.0.0.1", acceptor->port() }; }

    reply_hook reply;
    std::vector<std::shared_ptr<connection>> links;
    int ended = 0;
    std::unique_ptr<listener> acceptor;
};

struct exchange_record {
    unsigned status = 0;
    std::string body;
    std::optional<exchange_end> end;
};

std::shared_ptr<client_exchange> startExchange(exchange_client& client, const endpoint& server, exchange_record& record,
    event_loop& loop, exchange_request request = {})
{
    if (request.bytes.empty())
        request.bytes = "GET / HTTP/1.1\r\nHost: s\r\n\r\n";
    return client.start(server, std::move(request),
        { .onHead = [&record](const http_head& head) { record.status = head.status; },
            .onBody = [&record](std::string_view bytes) { record.body += bytes; },
            .onEnd =
                [&record, &loop](exchange_end end) {
                    record.end = end;
                    loop.stop();
                } });
}

void runFor(event_loop& loop, duration limit)
{
    loop.after(limit, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace

TEST_CASE("a request whose framing is ambiguous is malformed")
{
    // A request that two parsers frame differently can carry another one inside.
    for (const std::string_view text :
        { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd", "GET / HTTP/1.1\r\nHo st: h\r\n\r\n" }) {
        parsed_messages messages(http_role::Request);
        CHECK(messages.parser.feed(text) == http_failure::Malformed);
    }
}

TEST_CASE("a message is parsed alike however its bytes are cut")
{
    const std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
        parsed_messages messages(http_role::Request);
        REQUIRE(messages.parser.feed(std::string_view(text).substr(0, cut)) == http_failure::None);
        REQUIRE(messages.parser.feed(std::string_view(text).substr(cut)) == http_failure::None);
        REQUIRE(messages.complete == 1);
        CHECK(messages.body == "abcde");
        // Bytes of the next request stay with the parser until it is asked for.
        REQUIRE(messages.parser.next() == http_failure::None);
        REQUIRE(messages.complete == 2);
        CHECK(messages.heads.at(1).target == "/b");
    }
}

TEST_CASE("limits of head and body are found before the bytes are taken")
{
    parsed_messages longHead(http_role::Request, { .headerBytes = 100, .bodyBytes = 10 });
    CHECK(longHead.parser.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x')) == http_failure::HeaderTooLarge);
    parsed_messages longBody(http_role::Request, { .headerBytes = 100, .bodyBytes = 10 });
    CHECK(longBody.parser.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n") == http_failure::BodyTooLarge);
}

TEST_CASE("an answer without a length ends with its connection, a cut one does not")
{
    parsed_messages unframed(http_role::Response);
    REQUIRE(unframed.parser.feed("HTTP/1.1 200 OK\r\n\r\nabc") == http_failure::None);
    CHECK(unframed.parser.finish() == http_failure::None);
    CHECK(unframed.complete == 1);
    parsed_messages cut(http_role::Response);
    REQUIRE(cut.parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc") == http_failure::None);
    CHECK(cut.parser.finish() == http_failure::Truncated);
    CHECK(cut.complete == 0);
}

TEST_CASE("timers run in order of time and a cancelled one never")
{
    event_loop loop;
    std::string order;
    loop.after(20ms, [&] { order += "b"; });
    const auto cancelled = loop.after(10ms, [&] { order += "x"; });
    loop.after(5ms, [&] { order += "a"; });
    loop.cancel(cancelled);
    runFor(loop, 50ms);
    CHECK(order == "ab");
}

TEST_CASE("answers that belong to another request are skipped")
{
    // A server that answered twice: the second answer arrives where the next one is expected.
    event_loop loop;
    raw_server server(loop, [](const auto& link, std::string_view) {
        link->write("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: "
                    "new\r\nContent-Length: 3\r\n\r\nnew");
    });
    exchange_client client(loop, {});
    exchange_record record;
    exchange_request request;
    request.echoField = "Id";
    request.echoValue = "new";
    startExchange(client, server.address(), record, loop, request);
    runFor(loop, 1s);
    CHECK(record.end == exchange_end::Complete);
    CHECK(record.body == "new");
}

TEST_CASE("a connection is used again only if nothing is wrong with it")
{
    struct row {
        std::string name;
        std::string answer;
        bool reused;
    };
    const std::vector<row> rows { { "clean", std::string(okAnswer), true },
        { "bytes after the answer", std::string(okAnswer) + "HTTP/1.1 200 OK\r\n", false },
        { "the server closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false },
        { "idle time shorter than the margin",
            "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false } };
    for (const row& item : rows) {
        INFO(item.name);
        event_loop loop;
        raw_server server(loop, [&](const auto& link, std::string_view) { link->write(item.answer); });
        exchange_client client(loop, {});
        exchange_record first;
        startExchange(client, server.address(), first, loop);
        runFor(loop, 1s);
        REQUIRE(first.end == exchange_end::Complete);
        event_loop* again = &loop;
        again->post([] {});
        exchange_record second;
        const auto exchange = startExchange(client, server.address(), second, loop);
        CHECK(exchange->reusedConnection() == item.reused);
        exchange->cancel();
    }
}

TEST_CASE("the end of an exchange tells whether the request may have arrived")
{
    event_loop loop;
    exchange_client client(loop, {});
    SECTION("nobody listens: not sent")
    {
        endpoint closed;
        {
            raw_server gone(loop, nullptr);
            closed = gone.address();
        }
        exchange_record record;
        startExchange(client, closed, record, loop);
        runFor(loop, 1s);
        CHECK(record.end == exchange_end::NotSent);
    }
    SECTION("the server closes without an answer: lost")
    {
        raw_server server(loop, [](const auto& link, std::string_view) { link->abort(); });
        exchange_record record;
        startExchange(client, server.address(), record, loop);
        runFor(loop, 1s);
        CHECK(record.end == exchange_end::Lost);
    }
    SECTION("the server sends no HTTP: malformed")
    {
        raw_server server(loop, [](const auto& link, std::string_view) { link->write("hello\r\n\r\n"); });
        exchange_record record;
        startExchange(client, server.address(), record, loop);
        runFor(loop, 1s);
        CHECK(record.end == exchange_end::Malformed);
    }
    SECTION("a cancelled exchange closes its connection and calls nobody")
    {
        raw_server server(loop, [](const auto&, std::string_view) {});
        exchange_record record;
        const auto exchange = startExchange(client, server.address(), record, loop);
        loop.after(30ms, [&] { exchange->cancel(); });
        runFor(loop, 150ms);
        CHECK_FALSE(record.end);
        CHECK(server.ended == 1);
    }
}

namespace {

// A service whose handler keeps the writers, and a raw caller.
struct service_fixture {
    service_fixture()
    {
        auto opened = http_service::open(loop,
            { .address = { "127.0.0.1", 0 },
                .limits = [this] { return limits; },
                .handler =
                    [this](incoming_request request, const std::shared_ptr<response_writer>& writer) {
                        requests.push_back(std::move(request));
                        writers.push_back(writer);
                        writer->onGone([this] { gone += 1; });
                        if (answerAtOnce)
                            writer->send(answer(), "ok");
                    },
                .onRejected =
                    [this](std::string_view reason, const std::string&) {
                        rejected = reason;
                    } });
        REQUIRE(opened);
        service = std::move(*opened);
    }

    static http_head answer()
    {
        http_head head;
        head.status = 200;
        head.reason = "OK";
        return head;
    }

    std::shared_ptr<connection> call(const std::string& bytes)
    {
        auto link = connection::open(loop, { "127.0.0.1", service->port() }, 1s);
        link->setHandlers({ .onConnected = [link = link.get(), bytes] { link->write(bytes); },
            .onData = [this](std::string_view data) { received += data; },
            .onEnd = [this](connection_end) { ended = true; },
            .onWritten = nullptr });
        return link;
    }

    event_loop loop;
    http_service_limits limits;
    std::unique_ptr<http_service> service;
    std::vector<incoming_request> requests;
    std::vector<std::shared_ptr<response_writer>> writers;
    std::string received;
    std::string rejected;
    int gone = 0;
    bool ended = false;
    bool answerAtOnce = true;
};

constexpr const char* plainRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("requests that arrive together are answered one after another")
{
    service_fixture fixture;
    const auto link = fixture.call(std::string(plainRequest) + plainRequest + plainRequest);
    runFor(fixture.loop, 100ms);
    CHECK(fixture.requests.size() == 3);
    CHECK_FALSE(fixture.ended);
}

TEST_CASE("a caller that closes is noticed while its request waits")
{
    service_fixture fixture;
    fixture.answerAtOnce = false;
    const auto link = fixture.call(plainRequest);
    fixture.loop.after(40ms, [&] { link->abort(); });
    runFor(fixture.loop, 150ms);
    CHECK(fixture.gone == 1);
    CHECK(fixture.service->requestsInProgress() == 0);
    CHECK(fixture.service->connections() == 0);
}

TEST_CASE("requests that cannot be taken are rejected at once")
{
    struct row {
        std::string request;
        std::string status;
    };
    const std::vector<row> rows { { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", "413" },
        { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", "400" },
        { "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x'), "431" } };
    for (const row& item : rows) {
        service_fixture fixture;
        fixture.limits.message.bodyBytes = 1000;
        const auto link = fixture.call(item.request);
        runFor(fixture.loop, 100ms);
        CHECK(fixture.received.substr(0, 12) == "HTTP/1.1 " + item.status);
        CHECK(fixture.requests.empty());
        CHECK(fixture.ended);
    }
}

TEST_CASE("a caller that sends its head too slowly is told that nothing ran")
{
    service_fixture fixture;
    fixture.limits.headerTimeout = 50ms;
    const auto link = fixture.call("GET / HTTP/1.1\r\nHost");
    runFor(fixture.loop, 200ms);
    CHECK(fixture.received.substr(0, 12) == "HTTP/1.1 408");
}

TEST_CASE("an aborted answer does not look complete and frees the connection")
{
    service_fixture fixture;
    fixture.answerAtOnce = false;
    const auto link = fixture.call(plainRequest);
    fixture.loop.after(30ms, [&] {
        fixture.writers.at(0)->begin(service_fixture::answer());
        fixture.writers.at(0)->write("part");
        fixture.writers.at(0)->abort();
    });
    runFor(fixture.loop, 150ms);
    CHECK(fixture.received.find("0\r\n\r\n") == std::string::npos);
    CHECK(fixture.ended);
    CHECK(fixture.service->connections() == 0);
}

TEST_CASE("a closing service ends each kept connection with its answer")
{
    service_fixture fixture;
    fixture.service->beginClosing();
    const auto link = fixture.call(plainRequest);
    runFor(fixture.loop, 150ms);
    CHECK(fixture.received.find("Connection: close") != std::string::npos);
    CHECK(fixture.ended);
}

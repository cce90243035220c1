#include "balsamspring/gateway/server_reports.h"

#include "balsamspring/base/log.h"

namespace balsamspring {

namespace {

constexpr unsigned okStatus = 200;

// A question to one server, or its most recent answer.
struct question {
    std::vector<server_reports::callback> waiting;
    std::shared_ptr<client_exchange> exchange;
    event_loop::timer_id timer = 0;
    unsigned status = 0;
    std::string body;
    bool pending = false;
    report_outcome outcome = report_outcome::Unanswered;
    std::optional<server_report> report;
    mono_time answeredAt {};
};

} // namespace

struct server_reports::state : std::enable_shared_from_this<server_reports::state> {
    state(server_reports_options initialOptions, event_loop& eventLoop, const wire_adapter& wire,
        backend_client& client, gateway_metrics& counters, response_hook hook)
        : options(initialOptions)
        , loop(eventLoop)
        , adapter(wire)
        , backends(client)
        , metrics(counters)
        , onResponse(std::move(hook))
    {
    }

    void ask(const server_entry& server, callback onAnswer)
    {
        question& item = questions[server.id];
        const mono_time now = bootNow();
        const bool reusable
            = item.outcome == report_outcome::Read && item.report && now - item.answeredAt <= options.reuse;
        if (!item.pending && reusable) {
            loop.post(
                [onAnswer = std::move(onAnswer), report = *item.report] { onAnswer(report_outcome::Read, &report); });
            return;
        }
        item.waiting.push_back(std::move(onAnswer));
        if (!item.pending)
            send(server, item);
    }

    void send(const server_entry& server, question& item)
    {
        item.pending = true;
        item.status = 0;
        item.body.clear();
        metrics.count("server_reports", "asked");
        exchange_request request;
        request.bytes = adapter.encodeReportRequest(server.address);
        // Only a new connection shows whether the server can be reached.
        request.maxIdle = duration::zero();
        const std::weak_ptr<state> weak = weak_from_this();
        const auto end = [weak, id = server.id](std::optional<exchange_outcome> outcome) {
            if (const auto self = weak.lock())
                self->ended(id, outcome);
        };
        item.timer = loop.after(options.timeout, [end] { end(std::nullopt); });
        item.exchange = backends.start(server, send_purpose::Report, std::move(request),
            { .onHead =
                    [weak, server, askedAt = bootNow()](const http_head& head) {
                        const auto self = weak.lock();
                        if (!self)
                            return;
                        self->questions[server.id].status = head.status;
                        if (self->onResponse)
                            self->onResponse(server, self->adapter.decodeResponse(head), askedAt);
                    },
                .onBody =
                    [weak, id = server.id, end](std::string_view bytes) {
                        const auto self = weak.lock();
                        if (!self)
                            return;
                        question& asked = self->questions[id];
                        asked.body += bytes;
                        if (asked.body.size() > self->options.maxBytes)
                            end(exchange_outcome::Malformed);
                    },
                .onEnd =
                    [end](exchange_outcome outcome) {
                        end(outcome);
                    } });
    }

    void ended(const backend_id& id, std::optional<exchange_outcome> outcome)
    {
        question& item = questions[id];
        if (!item.pending)
            return;
        item.pending = false;
        loop.cancel(item.timer);
        if (item.exchange)
            item.exchange->cancel();
        item.exchange = nullptr;
        item.report.reset();
        item.answeredAt = bootNow();
        item.outcome = report_outcome::Unanswered;
        std::string cause = outcome ? std::string(toString(*outcome)) : "timeout";
        if (outcome == exchange_outcome::Complete || outcome == exchange_outcome::Malformed)
            item.outcome = report_outcome::Unreadable;
        if (outcome == exchange_outcome::Withheld)
            item.outcome = report_outcome::NotAsked;
        if (outcome == exchange_outcome::Complete && item.status == okStatus) {
            auto decoded = adapter.decodeReport(item.body);
            if (decoded) {
                item.report = std::move(*decoded);
                item.outcome = report_outcome::Read;
                cause = "read";
            } else {
                cause = decoded.error().message;
            }
        }
        metrics.count("server_reports",
            item.outcome == report_outcome::Read             ? "read"
                : item.outcome == report_outcome::Unreadable ? "unreadable"
                : item.outcome == report_outcome::NotAsked   ? "not_asked"
                                                             : "unanswered");
        logLine(item.outcome == report_outcome::Read ? log_level::Info : log_level::Warn, "server_report",
            { { "server", id.value() }, { "outcome", cause },
                { "runs",
                    item.report && item.report->eventsByRun ? std::to_string(item.report->eventsByRun->size()) : "-" },
                { "free_bytes",
                    item.report && item.report->maxFreeResultBytes ? std::to_string(*item.report->maxFreeResultBytes)
                                                                   : "-" },
                { "waiting", item.report ? std::to_string(item.report->waiting) : "-" } });
        item.body.clear();
        const auto waiting = std::move(item.waiting);
        item.waiting.clear();
        const report_outcome result = item.outcome;
        const std::optional<server_report> report = item.report;
        std::erase_if(questions, [now = bootNow(), this](const auto& entry) {
            return !entry.second.pending && now - entry.second.answeredAt > options.reuse;
        });
        for (const callback& onAnswer : waiting) {
            loop.post([onAnswer, result, report] { onAnswer(result, report ? &*report : nullptr); });
        }
    }

    server_reports_options options;
    event_loop& loop;
    const wire_adapter& adapter;
    backend_client& backends;
    gateway_metrics& metrics;
    response_hook onResponse;
    std::map<backend_id, question> questions;
};

server_reports::server_reports(server_reports_options options, event_loop& loop, const wire_adapter& adapter,
    backend_client& backends, gateway_metrics& metrics, response_hook onResponse)
    : m_state(std::make_shared<state>(options, loop, adapter, backends, metrics, std::move(onResponse)))
{
}

server_reports::~server_reports()
{
    for (auto& [id, item] : m_state->questions) {
        m_state->loop.cancel(item.timer);
        if (item.exchange)
            item.exchange->cancel();
    }
}

void server_reports::ask(const server_entry& server, callback onAnswer) { m_state->ask(server, std::move(onAnswer)); }

} // namespace balsamspring

#include "balsamspring/emulator/load_generator.h"

#include "balsamspring/base/random.h"
#include "balsamspring/http/http_client.h"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using json = nlohmann::json;

constexpr int statusOk = 200;
constexpr duration grace = std::chrono::seconds(5);

// Measurements of one class. Guarded by the mutex of the run.
struct class_state {
    load_class_report report;
    std::vector<duration> firstToken;
    std::vector<duration> tokenGap;
    std::vector<duration> whole;
};

struct run_state {
    std::mutex mutex;
    std::condition_variable changed;
    class_state shortClass;
    class_state longClass;
    std::size_t open = 0;
};

std::string reasonOf(const std::string& text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return {};
    const json& details = body.contains("error") ? body["error"] : body;
    const bool named = details.is_object() && details.contains("reason") && details["reason"].is_string();
    return named ? details["reason"].get<std::string>() : std::string();
}

// One request as its caller sees it. Its callbacks never run concurrently.
class caller : public std::enable_shared_from_this<caller> {
public:
    caller(std::shared_ptr<run_state> run, class_state& kind, duration deadline, std::uint32_t leaveAfter)
        : m_run(std::move(run))
        , m_kind(kind)
        , m_deadline(deadline)
        , m_leaveAfter(leaveAfter)
    {
    }

    void start(http_client& http, const http_request& request)
    {
        m_begin = monotonicNow();
        auto self = shared_from_this();
        auto transfer = http.open(request,
            { .head = [self](int status, const http_headers&) { self->m_status = status; },
                .data = [self](std::string_view bytes) { self->receive(bytes); },
                .ended =
                    [self](const result<void>& outcome) {
                        self->end(outcome);
                    } });
        bool leave = false;
        {
            const std::lock_guard lock(m_run->mutex);
            m_transfer = transfer;
            leave = m_left;
        }
        if (leave)
            transfer->cancel();
    }

private:
    void receive(std::string_view bytes)
    {
        m_buffer += bytes;
        if (m_status != statusOk)
            return;
        std::size_t first = 0;
        for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', first)) {
            receiveLine(std::string_view(m_buffer).substr(first, end - first));
            first = end + 1;
        }
        m_buffer.erase(0, first);
    }

    void receiveLine(std::string_view line)
    {
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.starts_with("event:")) {
            line.remove_prefix(6);
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            m_event = line;
        } else if (line.starts_with("data:")) {
            m_data += line.substr(5);
        } else if (line.empty()) {
            receiveEvent();
            m_event.clear();
            m_data.clear();
        }
    }

    void receiveEvent()
    {
        const mono_time now = monotonicNow();
        if (m_event == "done") {
            m_done = now;
        } else if (m_event == "error") {
            m_reason = reasonOf(m_data);
            if (m_reason.empty())
                m_reason = "error_event";
        } else if (m_event == "restart") {
            const std::lock_guard lock(m_run->mutex);
            ++m_kind.report.restarts;
        } else if (m_event == "token") {
            receiveToken(now);
        }
    }

    void receiveToken(mono_time now)
    {
        std::shared_ptr<http_transfer> leaving;
        {
            const std::lock_guard lock(m_run->mutex);
            ++m_kind.report.tokens;
            if (++m_tokens == 1)
                m_kind.firstToken.push_back(now - m_begin);
            else
                m_kind.tokenGap.push_back(now - m_lastToken);
            if (m_tokens == m_leaveAfter) {
                m_left = true;
                leaving = m_transfer.lock();
            }
        }
        m_lastToken = now;
        if (leaving)
            leaving->cancel();
    }

    void end(const result<void>& outcome)
    {
        const std::lock_guard lock(m_run->mutex);
        load_class_report& report = m_kind.report;
        if (m_left) {
            ++report.left;
        } else if (m_done != mono_time {} && m_reason.empty()) {
            ++report.completed;
            report.inTime += m_done - m_begin <= m_deadline;
            m_kind.whole.push_back(m_done - m_begin);
        } else {
            ++report.errors[failure(outcome)];
        }
        --m_run->open;
        m_run->changed.notify_all();
    }

    std::string failure(const result<void>& outcome) const
    {
        if (!m_reason.empty())
            return m_reason;
        if (!outcome)
            return fmt::format("connection_{}", toString(outcome.error().code));
        const std::string reason = m_status == statusOk ? "ended_early" : reasonOf(m_buffer);
        return reason.empty() ? fmt::format("status_{}", m_status) : reason;
    }

    const std::shared_ptr<run_state> m_run;
    class_state& m_kind;
    const duration m_deadline;
    const std::uint32_t m_leaveAfter; // 0: stays
    std::weak_ptr<http_transfer> m_transfer;
    mono_time m_begin {};
    mono_time m_lastToken {};
    mono_time m_done {};
    int m_status = 0;
    std::uint32_t m_tokens = 0;
    bool m_left = false;
    std::string m_buffer;
    std::string m_event;
    std::string m_data;
    std::string m_reason;
};

std::string withNumber(std::string text, std::uint64_t number)
{
    for (auto place = text.find("{n}"); place != std::string::npos; place = text.find("{n}"))
        text.replace(place, 3, std::to_string(number));
    return text;
}

http_request requestOf(const load_options& options, const load_class& kind, std::uint64_t number, std::uint32_t session)
{
    http_request request;
    request.method = "POST";
    request.address = options.daemons[number % options.daemons.size()];
    request.path = "/v1/pipelines/" + kind.pipeline + "/run";
    request.headers = { { "Authorization", "Bearer " + options.token },
        { "Idempotency-Key", fmt::format("load-{}-{}", options.seed, number) },
        { "X-Deadline-Ms", std::to_string(kind.deadline.count() / 1000) },
        { "X-Priority", std::to_string(kind.priority) }, { "Accept", "text/event-stream" } };
    request.body = fmt::format(R"({{"input":{},"session":"session-{}"}})", withNumber(kind.input, number), session);
    request.timeout = kind.deadline + grace;
    return request;
}

load_percentiles percentilesOf(std::vector<duration>& values)
{
    if (values.empty())
        return {};
    std::ranges::sort(values);
    const auto at = [&](double share) {
        return values[std::min(
            values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
    };
    return { at(0.50), at(0.95), at(0.99) };
}

load_class_report reportOf(class_state& state)
{
    state.report.firstToken = percentilesOf(state.firstToken);
    state.report.tokenGap = percentilesOf(state.tokenGap);
    state.report.whole = percentilesOf(state.whole);
    return state.report;
}

double toMilliseconds(duration value) { return static_cast<double>(value.count()) / 1000; }

json jsonOf(const load_percentiles& values)
{
    return { { "p50", toMilliseconds(values.p50) }, { "p95", toMilliseconds(values.p95) },
        { "p99", toMilliseconds(values.p99) } };
}

json jsonOf(const load_class_report& report)
{
    return { { "offered", report.offered }, { "left", report.left }, { "completed", report.completed },
        { "in_time", report.inTime }, { "attainment", report.attainment() }, { "tokens", report.tokens },
        { "restarts", report.restarts }, { "first_token_ms", jsonOf(report.firstToken) },
        { "token_gap_ms", jsonOf(report.tokenGap) }, { "whole_ms", jsonOf(report.whole) },
        { "errors", report.errors } };
}

std::string textOf(const char* name, const load_class_report& report)
{
    const auto line = [](const char* label, const load_percentiles& values) {
        return fmt::format("  {:<12} p50 {:.1f} ms, p95 {:.1f} ms, p99 {:.1f} ms\n", label, toMilliseconds(values.p50),
            toMilliseconds(values.p95), toMilliseconds(values.p99));
    };
    std::string text = fmt::format("{}: offered {}, left {}, completed {}, in time {}, attainment {:.4f}, tokens {}, "
                                   "restarts {}\n",
        name, report.offered, report.left, report.completed, report.inTime, report.attainment(), report.tokens,
        report.restarts);
    text += line("first token", report.firstToken);
    text += line("token gap", report.tokenGap);
    text += line("whole", report.whole);
    for (const auto& [reason, count] : report.errors)
        text += fmt::format("  error {}: {}\n", reason, count);
    return text;
}

} // namespace

double load_class_report::attainment() const
{
    return offered == left ? 1 : static_cast<double>(inTime) / static_cast<double>(offered - left);
}

std::string load_report::toText() const
{
    return fmt::format("elapsed {:.1f} s\n", toSeconds(elapsed)) + textOf("short", shortClass)
        + textOf("long", longClass);
}

std::string load_report::toJson() const
{
    return json({ { "elapsed_s", toSeconds(elapsed) }, { "short", jsonOf(shortClass) }, { "long", jsonOf(longClass) } })
        .dump(2);
}

load_report runLoad(const load_options& options)
{
    http_client http;
    random_engine random(options.seed);
    const auto run = std::make_shared<run_state>();
    const mono_time begin = monotonicNow();
    mono_time next = begin;
    for (std::uint64_t number = 0; !options.daemons.empty(); ++number) {
        next += fromSeconds(exponential(random, 1 / options.rate));
        if (next - begin > options.time)
            break;
        const bool isLong = uniform(random) < options.longShare;
        const bool leaves = uniform(random) < options.leaveShare;
        const std::uint32_t leaveAfter = 1 + uniformBelow(random, std::max(options.leaveWithin, 1U));
        const std::uint32_t session = uniformBelow(random, std::max(options.sessions, 1U));
        std::this_thread::sleep_for(next - monotonicNow());
        const load_class& kind = isLong ? options.longClass : options.shortClass;
        class_state& state = isLong ? run->longClass : run->shortClass;
        {
            const std::lock_guard lock(run->mutex);
            ++state.report.offered;
            if (run->open >= options.maxOpen) {
                ++state.report.errors["load_limit"];
                continue;
            }
            ++run->open;
        }
        std::make_shared<caller>(run, state, kind.deadline, leaves ? leaveAfter : 0)
            ->start(http, requestOf(options, kind, number, session));
    }
    const duration limit = std::max(options.shortClass.deadline, options.longClass.deadline) + 2 * grace;
    std::unique_lock lock(run->mutex);
    run->changed.wait_for(lock, limit, [&] { return run->open == 0; });
    return { monotonicNow() - begin, reportOf(run->shortClass), reportOf(run->longClass) };
}

} // namespace balsamspring

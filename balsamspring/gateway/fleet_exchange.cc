#include "balsamspring/gateway/fleet_exchange.h"

#include "balsamspring/base/log.h"
#include "balsamspring/base/random.h"
#include "balsamspring/gateway/fleet_messages.h"
#include "balsamspring/gateway/peer_messages.h"
#include "balsamspring/net/http_exchange.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include <fmt/core.h>

namespace balsamspring {

namespace {

const pool_id fleetName("fleet");

std::uint64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

std::uint64_t drawId(random_engine& random)
{
    const std::uint64_t high = random();
    return (high << 32U | random()) | 1U; // not 0
}

exchange_client_options clientOptions(const fleet_exchange_options& options)
{
    exchange_client_options client;
    client.connectTimeout = options.connectTimeout;
    client.idleLimit = options.idleReuse;
    client.maxIdlePerPeer = 1;
    return client;
}

} // namespace

struct fleet_exchange::state {
    state(fleet_exchange_options exchangeOptions, vm_id vmId, zone_id zoneId, event_loop& owner, retry_budget& budget,
        gateway_metrics& counters, std::uint64_t seed, fleet_exchange_hooks exchangeHooks)
        : options(exchangeOptions)
        , vm(std::move(vmId))
        , zone(std::move(zoneId))
        , loop(owner)
        , retryBudget(budget)
        , metrics(counters)
        , random(seed)
        , hooks(std::move(exchangeHooks))
        , peers(owner, clientOptions(options))
        , startedAt(wallClockMs())
        , collector(options.collector, drawId(random))
        , view(options.view, startedAt,
              { .forEachServer = hooks.forEachServer,
                  .onGranted =
                      [this](const pool_id& pool, std::uint64_t allowance, mono_time since) {
                          metrics.count("fleet_allowance", "granted");
                          retryBudget.grant(pool, allowance, since);
                      },
                  .onLimits = hooks.onLimits })
    {
    }

    duration interval(mono_time now) const
    {
        if (!hooks.busy())
            return options.idleInterval;
        return std::clamp(
            view.interval(now).value_or(options.busyInterval), options.busyInterval, options.idleInterval);
    }

    void scheduleReport(duration delay)
    {
        loop.after(delay, [this] {
            scheduleReport(interval(bootNow()));
            report();
        });
    }

    void report()
    {
        const mono_time now = bootNow();
        retryBudget.setFleetSize(view.vms(now), now);
        logChange(now);
        if (awaited) // the answer to the last report may still come
            return;
        if (ownership->isOwner(fleetName)) {
            const vm_report own = makeReport(now);
            if (const auto summary = collector.report(own, now))
                applied(view.apply(*summary, now));
            return;
        }
        const auto owner = ownership->remoteOwner(fleetName, now);
        if (!owner)
            return metrics.count("fleet_reports", "no_collector");
        send(*owner, now);
    }

    void send(const endpoint& owner, mono_time now)
    {
        exchange_request request;
        request.bytes = peerRequest(owner, fleetPath, encodeReport(makeReport(now)));
        request.maxIdle = options.idleReuse;
        request.timeLimit = options.answerTimeout;
        status = 0;
        body.clear();
        ownership->reportRequest(fleetName, owner, now);
        awaited = true;
        auto started = peers.start(owner, std::move(request),
            { .onHead = [this](const http_head& head) { status = head.status; },
                .onBody =
                    [this](std::string_view bytes) {
                        if (body.size() + bytes.size() <= options.maxSummaryBytes)
                            body += bytes;
                        else
                            status = peerBadRequest;
                    },
                .onEnd =
                    [this, owner](exchange_outcome outcome) {
                        answered(owner, outcome);
                    } });
        if (awaited)
            exchange = std::move(started);
    }

    void answered(const endpoint& owner, exchange_outcome outcome)
    {
        awaited = false;
        exchange = nullptr;
        evaluate(owner, outcome);
        answerCame();
    }

    void evaluate(const endpoint& owner, exchange_outcome outcome)
    {
        if (outcome != exchange_outcome::Complete) {
            metrics.count("fleet_reports", toString(outcome));
            // One answer may be late or lost with a reused connection. A back-off would outlast the figures.
            failures += 1;
            if (outcome == exchange_outcome::NotSent || failures > 1)
                ownership->reportUnreachable(fleetName, owner, bootNow());
            return;
        }
        failures = 0;
        ownership->reportAnswer(fleetName, owner);
        if (status != peerOk) {
            metrics.count("fleet_reports", status == peerNotOwner ? "not_collector" : "declined");
            if (status == peerNotOwner)
                ownership->reportNotOwner(fleetName, std::nullopt);
            return;
        }
        const auto summary = decodeSummary(body);
        if (!summary)
            return metrics.count("fleet_reports", "unreadable");
        applied(view.apply(*summary, bootNow()));
    }

    bool canReportNow(mono_time now) const
    {
        const auto interval = view.interval(now);
        return interval && ownership && !awaited && (!reportedNowAt || now - *reportedNowAt >= *interval)
            && (ownership->isOwner(fleetName) || ownership->remoteOwner(fleetName, now));
    }

    void reportNow(duration wait, std::function<void()> onAnswer)
    {
        reportedNowAt = bootNow();
        metrics.count("fleet_reports", "at_once");
        onNextAnswer = std::move(onAnswer);
        waitTimer = loop.after(wait, [this] {
            waitTimer = 0;
            answerCame();
        });
        report();
        if (!awaited)
            answerCame();
    }

    void answerCame()
    {
        loop.cancel(waitTimer);
        waitTimer = 0;
        if (onNextAnswer)
            loop.post(std::exchange(onNextAnswer, nullptr));
    }

    void applied(summary_outcome outcome) { metrics.count("fleet_reports", toString(outcome)); }

    vm_report makeReport(mono_time now)
    {
        vm_report report;
        report.vm = vm;
        report.startedAt = startedAt;
        report.drawsOwnShare = !view.age(now);
        report.sequence = view.sent(now);
        report.collector = view.collector();
        report.zone = zone;
        report.knownVms = retryBudget.knownFleetSize();
        hooks.forEachLimit([&](const limit_report& item) {
            if (report.limits.size() < options.collector.limits.maxServers)
                report.limits.push_back(item);
        });
        hooks.forEachCall([&](const backend_id& server, unsigned calls) {
            if (report.calls.size() < options.collector.maxServers)
                report.calls.push_back({ serverKey(server), std::min(calls, options.collector.maxCalls) });
        });
        std::map<pool_id, pool_report> pools;
        retryBudget.forEachPool([&](const pool_id& pool, const retry_counts& counts) {
            pools[pool].requests = counts.requests;
            pools[pool].retries = counts.retries;
        });
        for (auto& [pool, item] : pools) {
            cede(pool, now);
            item.ceded = view.ceded(pool);
            item.wanted = retryBudget.missing(pool, now);
        }
        hooks.forEachWait([&](const pool_id& pool, duration wait) { pools[pool].wait = wait; });
        for (auto& [pool, item] : pools) {
            if (report.pools.size() >= options.collector.maxPools)
                break;
            item.pool = pool;
            report.pools.push_back(std::move(item));
        }
        return report;
    }

    // All VMs cede the same share of what others want, and again with the next report if that was too little.
    void cede(const pool_id& pool, mono_time now)
    {
        const std::uint64_t wanted = view.wanted(pool, now);
        const unsigned vms = view.vms(now);
        if (wanted == 0 || vms < 2)
            return;
        const std::uint64_t ceded = retryBudget.cede(pool, (wanted + vms - 2) / (vms - 1), now);
        if (ceded == 0)
            return;
        metrics.count("fleet_allowance", "ceded");
        view.cede(pool, ceded);
    }

    void logChange(mono_time now)
    {
        const bool known = view.age(now).has_value();
        if (known == wasKnown)
            return;
        wasKnown = known;
        logLine(log_level::Info, known ? "fleet_known" : "fleet_unknown",
            { { "vms", std::to_string(view.vms(now)) }, { "collector", fmt::format("{:x}", view.collector()) } });
    }

    void handle(const incoming_request& request, const std::shared_ptr<response_writer>& writer)
    {
        if (!ownership || !ownership->isOwner(fleetName)) {
            metrics.count("fleet_collected", "not_collector");
            return writer->send(peerHead(peerNotOwner), {});
        }
        const auto report = decodeReport(request.body);
        if (!report) {
            metrics.count("fleet_collected", "unreadable");
            return writer->send(peerHead(peerBadRequest), {});
        }
        const auto summary = collector.report(*report, bootNow());
        if (!summary) {
            metrics.count("fleet_collected", toString(summary.error().code));
            return writer->send(peerHead(peerBadRequest), {});
        }
        metrics.count("fleet_collected", "counted");
        writer->send(peerHead(peerOk), encodeSummary(*summary));
    }

    fleet_exchange_options options;
    vm_id vm;
    zone_id zone;
    event_loop& loop;
    retry_budget& retryBudget;
    gateway_metrics& metrics;
    random_engine random;
    fleet_exchange_hooks hooks;
    exchange_client peers;
    std::uint64_t startedAt;
    fleet_collector collector;
    fleet_view view;
    pool_ownership* ownership = nullptr;
    std::shared_ptr<client_exchange> exchange; // of the report that is `awaited`
    bool awaited = false;
    std::optional<mono_time> reportedNowAt;
    std::function<void()> onNextAnswer; // given to reportNow()
    event_loop::timer_id waitTimer = 0;
    unsigned failures = 0; // consecutive
    unsigned status = 0;
    std::string body;
    bool wasKnown = false;
};

fleet_exchange::fleet_exchange(fleet_exchange_options options, vm_id vm, zone_id zone, event_loop& loop,
    retry_budget& retryBudget, gateway_metrics& metrics, std::uint64_t seed, fleet_exchange_hooks hooks)
    : m_state(std::make_unique<state>(
        options, std::move(vm), std::move(zone), loop, retryBudget, metrics, seed, std::move(hooks)))
{
}

fleet_exchange::~fleet_exchange() = default;

void fleet_exchange::start(pool_ownership& ownership)
{
    m_state->ownership = &ownership;
    // VMs that start together report at different times.
    m_state->scheduleReport(fromSeconds(toSeconds(m_state->options.busyInterval) * uniform(m_state->random)));
}

const fleet_view& fleet_exchange::view() const { return m_state->view; }

bool fleet_exchange::canReportNow() const { return m_state->canReportNow(bootNow()); }

void fleet_exchange::reportNow(duration wait, std::function<void()> onAnswer)
{
    m_state->reportNow(wait, std::move(onAnswer));
}

void fleet_exchange::handle(const incoming_request& request, const std::shared_ptr<response_writer>& writer)
{
    m_state->handle(request, writer);
}

void fleet_exchange::updateMetrics()
{
    const mono_time now = bootNow();
    const auto age = m_state->view.age(now);
    m_state->metrics.set("fleet_vms", m_state->view.vms(now));
    m_state->metrics.set("fleet_age_seconds", age ? toSeconds(*age) : -1);
    m_state->metrics.set("fleet_collected_vms", m_state->collector.vms(now));
}

} // namespace balsamspring

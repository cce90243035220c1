// Relays the event stream of a request, and watches over it while it is silent.
#include "balsamspring/gateway/request_session.h"

#include <algorithm>

namespace balsamspring {

void request_session::relayEvents(std::string_view bytes)
{
    const mono_time now = bootNow();
    for (const stream_event& event : m_splitter.feed(bytes)) {
        const event_order order = m_events.check(event);
        if (order == event_order::Duplicate)
            continue;
        if (order == event_order::Gap || order == event_order::Foreign)
            return callFailed(call_failure::Lost, order == event_order::Gap ? "event_gap" : "foreign_event");
        if (!m_firstEventSeen) {
            m_firstEventSeen = true;
            m_firstEventAt = now;
            beginResponse();
        }
        if (!m_serverBegan) {
            m_serverBegan = true;
            m_serverBeganAt = now;
            // A server reads all its inputs before it sends the first event. Keeping them for a continuation would
            // occupy result storage for the whole stream; a continuation makes them again.
            releaseFinalResults();
        }
        m_writer->write(event.bytes);
        m_events.delivered(event);
        m_deliveredEvents = std::max(m_deliveredEvents + 1, eventNumber(event.id));
        m_watch.eventArrived(m_deliveredEvents, now);
    }
    if (m_serverBegan && now - m_serverBeganAt >= m_options.crashProof)
        recordProof();
    if (m_splitter.partialBytes() > m_options.maxEventBytes)
        return callFailed(call_failure::Lost, "endless_event");
    m_watch.bytesArrived(bytes.size(), now);
    applyBackpressure();
    if (!m_callTimer && m_route->idempotent())
        checkStream();
}

void request_session::checkStream()
{
    m_context.loop.cancel(m_callTimer);
    m_callTimer = 0;
    if (m_done || !m_exchange)
        return;
    const mono_time now = bootNow();
    if (m_writer->unwritten() > m_options.relayHighWaterMark)
        m_watch.readingPaused(now);
    switch (m_watch.next(now)) {
    case stream_action::Wait:
        break;
    case stream_action::Ask:
        return askAboutRun();
    case stream_action::Replace:
        if (!mayReplaceStream()) {
            // The stream may still go on. The next event starts the checks again.
            m_context.metrics.count("streams_kept", toString(m_watch.loss()));
            return;
        }
        return callFailed(m_watch.loss() == stream_loss::NotBegun ? call_failure::NotBegun : call_failure::TimedOut,
            toString(m_watch.loss()));
    }
    // A pending question calls this function again when it is answered.
    if (m_watch.nextCheck() > now) {
        m_callTimer = m_context.loop.after(m_watch.nextCheck() - now, [self = shared_from_this()] {
            self->m_callTimer = 0;
            self->checkStream();
        });
    }
}

void request_session::askAboutRun()
{
    // A server that has asked for a pause is not asked either, nor a limited one that takes no further request now (the
    // outcome is then NotAsked). That it answered shows that it is alive.
    if (m_context.servers.paused(m_call->server())) {
        m_context.loop.post([self = shared_from_this(), asked = m_call->attempt()] {
            self->runStatusArrived(report_outcome::Unreadable, nullptr, asked);
        });
        return;
    }
    m_context.reports.ask(m_call->server(),
        [self = shared_from_this(), asked = m_call->attempt()](
            report_outcome outcome, const server_report* report) { self->runStatusArrived(outcome, report, asked); });
}

void request_session::runStatusArrived(report_outcome outcome, const server_report* report, attempt_id asked)
{
    if (m_done || !m_exchange || m_call->attempt() != asked)
        return;
    const mono_time now = bootNow();
    if (outcome == report_outcome::Unanswered) {
        m_watch.notAnswered(now);
    } else if (!report || !report->eventsByRun) {
        m_watch.answered(std::nullopt, now);
    } else {
        run_status status;
        status.requestsWaiting = report->waiting > 0;
        if (const auto run = report->eventsByRun->find(m_request.id); run != report->eventsByRun->end())
            status.events = run->second;
        m_watch.answered(status, now);
    }
    checkStream();
}

// A continuation is started only if it can succeed. The silent stream is kept otherwise.
bool request_session::mayReplaceStream()
{
    const duration needed = inputsKept() ? expectedEngineTime() : expectedRemakeTime();
    return mayRetry() && needed < remaining();
}

void request_session::streamEnded()
{
    if (m_splitter.hasPartialEvent())
        return callFailed(call_failure::Lost, "cut_event");
    recordSuccess(true);
    if (!m_responseStarted)
        beginResponse();
    m_writer->end();
    finish("served", "complete");
}

} // namespace balsamspring

#include "balsamspring/gateway/stream_watch.h"

#include <algorithm>

namespace balsamspring {

std::string_view toString(stream_loss loss)
{
    switch (loss) {
    case stream_loss::None:
        return "none";
    case stream_loss::Unreachable:
        return "unreachable";
    case stream_loss::RunLost:
        return "run_lost";
    case stream_loss::NotBegun:
        return "not_begun";
    case stream_loss::ConnectionLost:
        return "connection_lost";
    case stream_loss::Unexplained:
        return "silent";
    }
    return "none";
}

stream_watch::stream_watch(stream_watch_options options)
    : m_options(options)
{
}

void stream_watch::sent(std::uint64_t delivered, mono_time now)
{
    m_delivered = delivered;
    m_begun = false;
    progressed(now);
}

void stream_watch::bytesArrived(std::size_t bytes, mono_time now)
{
    m_partialBytes += bytes;
    if (m_partialBytes >= m_options.progressBytes)
        progressed(now);
}

void stream_watch::eventArrived(std::uint64_t delivered, mono_time now)
{
    m_delivered = delivered;
    m_begun = true;
    progressed(now);
}

void stream_watch::progressed(mono_time now)
{
    m_progressAt = now;
    m_askAt = now + silenceLimit();
    m_asking = false;
    m_partialBytes = 0;
    m_finding = stream_loss::None;
    m_findings = 0;
    m_loss = stream_loss::None;
}

void stream_watch::observe(stream_loss finding)
{
    m_findings = finding == m_finding ? m_findings + 1 : 1;
    m_finding = finding;
}

void stream_watch::answered(const std::optional<run_status>& status, mono_time now)
{
    if (!m_asking) // an event has arrived since
        return;
    m_asking = false;
    m_askAt = now + m_options.askInterval;
    if (!status) {
        if (now - m_progressAt >= m_options.unexplainedSilence)
            m_loss = stream_loss::Unexplained;
        return observe(stream_loss::None);
    }
    if (status->events)
        return observe(*status->events > m_delivered ? stream_loss::ConnectionLost : stream_loss::None);
    // After its first event, a request that waits has been preempted and goes on later.
    if (status->requestsWaiting)
        return observe(m_begun ? stream_loss::None : stream_loss::NotBegun);
    observe(stream_loss::RunLost);
}

void stream_watch::notAnswered(mono_time now)
{
    if (!m_asking)
        return;
    m_asking = false;
    m_askAt = now;
    observe(stream_loss::Unreachable);
}

stream_action stream_watch::next(mono_time now)
{
    if (m_finding != stream_loss::None && m_findings >= m_options.confirmations)
        m_loss = m_finding;
    if (m_loss != stream_loss::None)
        return stream_action::Replace;
    if (m_asking || now < m_askAt)
        return stream_action::Wait;
    m_asking = true;
    return stream_action::Ask;
}

mono_time stream_watch::nextCheck() const { return m_askAt; }

} // namespace balsamspring

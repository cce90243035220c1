// Decides when a silent event stream has been lost and has to continue on another server.
//
// Load pattern: an engine that reads long prompts sends nothing on its running streams for seconds and then goes on,
// while an engine that is dead, partitioned or has dropped the run stays silent for good. Silence alone cannot tell
// them apart, and a continuation reads the whole prompt again. The watch therefore asks the server which runs it holds.
//
// Performs no I/O. Not thread-safe.
#pragma once

#include "balsamspring/base/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace balsamspring {

// What a server says about the run of one stream. The data may be some hundred milliseconds old.
struct run_status {
    // The number of events that the run has made, possibly without those of previous servers. None: the server does
    // not hold the run, or has not begun it.
    std::optional<std::uint64_t> events;
    // Requests wait at the server, possibly including this one.
    bool requestsWaiting = false;
};

enum class stream_action : std::uint8_t {
    Wait, // Call next() again at the time that it returned.
    Ask, // Ask the server for the status of the run, and report the answer.
    Replace, // The run is lost or has not begun. Continue the stream on another server if possible.
};

enum class stream_loss : std::uint8_t {
    None,
    Unreachable, // The server does not answer.
    RunLost, // The server answers and does not hold the run.
    NotBegun, // The request still waits at the server.
    ConnectionLost, // The run makes events that do not arrive.
    Unexplained, // The server answers without information about its runs.
};

std::string_view toString(stream_loss loss);

struct stream_watch_options {
    // Silence after which the server is asked, before and after the first event.
    duration firstEventSilence = std::chrono::milliseconds(1500);
    duration eventSilence = std::chrono::milliseconds(600);
    // Time between two questions about a stream that stays silent.
    duration askInterval = std::chrono::milliseconds(700);
    // Consistent answers, or failures to answer, that establish a loss. One may be stale or a lost packet.
    unsigned confirmations = 2;
    // Silence after which a stream is replaced if the server answers without information about its runs.
    duration unexplainedSilence = std::chrono::milliseconds(3000);
    // Bytes of an incomplete event that count as progress of a slow connection.
    std::size_t progressBytes = 4096;
};

class stream_watch {
public:
    explicit stream_watch(stream_watch_options options = {});

    // The request was sent to a server. Discards what is known about the previous server. `delivered` is the number of
    // events of the stream that have arrived from previous servers.
    void sent(std::uint64_t delivered, mono_time now);
    // The caller reads more slowly than the server sends, so the silence is not the server's.
    void readingPaused(mono_time now) { progressed(now); }
    // Bytes that did not complete an event have arrived.
    void bytesArrived(std::size_t bytes, mono_time now);
    // An event has arrived. `delivered` is the number of events of the stream that have arrived.
    void eventArrived(std::uint64_t delivered, mono_time now);

    // The outcomes of a question. `status` is empty if the server answered without information about its runs.
    void answered(const std::optional<run_status>& status, mono_time now);
    void notAnswered(mono_time now);

    stream_action next(mono_time now);
    // The time at which next() has to be called again after it returned Wait.
    mono_time nextCheck() const;
    // Why next() returned Replace.
    stream_loss loss() const { return m_loss; }

private:
    duration silenceLimit() const { return m_begun ? m_options.eventSilence : m_options.firstEventSilence; }
    void progressed(mono_time now);
    void observe(stream_loss finding);

    stream_watch_options m_options;
    mono_time m_progressAt {}; // the last event or, before it, the time of sending
    mono_time m_askAt {}; // earliest time of the next question
    bool m_asking = false;
    bool m_begun = false; // the current server has sent an event
    std::uint64_t m_delivered = 0;
    std::size_t m_partialBytes = 0;
    // The most recent finding, and how many consecutive questions have yielded it.
    stream_loss m_finding = stream_loss::None;
    unsigned m_findings = 0;
    stream_loss m_loss = stream_loss::None;
};

} // namespace balsamspring

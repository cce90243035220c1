// Parser for server-sent events (text/event-stream). Splits the bytes of a stream into complete events, so that a
// stream that breaks inside an event can be resumed after the last complete one, and checks the sequence of the event
// ids.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamspring {

struct stream_event {
    // The event as received, with the empty line that ends it.
    std::string bytes;
    std::optional<std::string> id;
};

// The ids of events count from 1. 0 for other ids.
std::uint64_t eventNumber(const std::optional<std::string>& id);

class event_splitter {
public:
    // Appends the bytes and returns the events that are now complete.
    std::vector<stream_event> feed(std::string_view bytes);
    // Whether the buffer holds the beginning of an incomplete event.
    bool hasPartialEvent() const { return !m_pending.empty(); }
    // Size of the incomplete event in bytes.
    std::size_t partialBytes() const { return m_pending.size(); }

private:
    std::string m_pending;
    std::size_t m_searched = 0; // no event ends before this position
};

enum class event_order : std::uint8_t {
    InOrder,
    Duplicate, // The event was already delivered.
    Gap, // Events before this one are missing.
    Foreign, // Not an event of this stream, whose events are numbered.
};

// Checks the event ids of a stream that may be resumed on other servers. Ids must increase, and the first new id of a
// server must be the successor of the last delivered one. After an event with a numeric id, only comments may come
// without one. Before it, events without a numeric id count as in order.
class event_sequence {
public:
    // The caller has already received all events up to this id.
    void resumeAfter(const std::string& id) { m_last = id; }
    event_order check(const stream_event& event) const;
    void delivered(const stream_event& event);
    // The stream of another server begins.
    void beginServerStream() { m_atStreamStart = true; }
    const std::optional<std::string>& last() const { return m_last; }

private:
    std::optional<std::string> m_last;
    bool m_atStreamStart = true;
};

} // namespace balsamspring

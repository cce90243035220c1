// Splits the bytes of an event stream into whole events, so that a stream that breaks inside an event can go on from
// the last whole one.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamspring {

struct stream_event {
    std::string bytes; // as received, with the empty line that ends it
    std::optional<std::string> id;
};

class event_splitter {
public:
    // Returns the events that the bytes complete.
    std::vector<stream_event> feed(std::string_view bytes);
    // Whether bytes of an event that has not ended are held.
    bool insideEvent() const { return !m_held.empty(); }

private:
    std::string m_held;
};

enum class event_order : std::uint8_t {
    Follows,
    Repeated, // was already delivered
    Gap, // events before it are missing
};

// Checks that the ids of a stream, over all servers that made it, go up by one from the last delivered one. Ids that
// are no numbers and events without an id follow.
class event_sequence {
public:
    // The caller has everything up to this event already.
    void resumeAfter(const std::string& id) { m_last = id; }
    event_order check(const stream_event& event) const;
    void delivered(const stream_event& event);
    // A stream of a new server begins.
    void beginPart() { m_partBegins = true; }
    const std::optional<std::string>& last() const { return m_last; }

private:
    std::optional<std::string> m_last;
    bool m_partBegins = true;
};

} // namespace balsamspring

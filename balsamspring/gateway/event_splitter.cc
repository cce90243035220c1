#include "balsamspring/gateway/event_splitter.h"

#include <charconv>
#include <cstdint>

namespace balsamspring {

namespace {

constexpr std::string_view idField = "id:";

std::optional<std::string> idOf(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.starts_with(idField)) {
            line.remove_prefix(idField.size());
            while (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            while (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            return std::string(line);
        }
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> number(const std::string& text)
{
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Position behind the empty line that ends the first event at or after `from`, or npos.
std::size_t endOfEvent(const std::string& text, std::size_t from)
{
    const auto plain = text.find("\n\n", from);
    const auto withReturns = text.find("\r\n\r\n", from);
    if (withReturns < plain)
        return withReturns + 4;
    return plain == std::string::npos ? plain : plain + 2;
}

} // namespace

std::vector<stream_event> event_splitter::feed(std::string_view bytes)
{
    std::vector<stream_event> events;
    m_held += bytes;
    std::size_t begin = 0;
    for (auto end = endOfEvent(m_held, 0); end != std::string::npos; end = endOfEvent(m_held, begin)) {
        std::string event = m_held.substr(begin, end - begin);
        std::optional<std::string> id = idOf(event);
        events.push_back({ std::move(event), std::move(id) });
        begin = end;
    }
    m_held.erase(0, begin);
    return events;
}

event_order event_sequence::check(const stream_event& event) const
{
    if (!event.id || !m_last)
        return event_order::Follows;
    const auto before = number(*m_last);
    const auto present = number(*event.id);
    if (!before || !present)
        return event_order::Follows;
    if (*present <= *before)
        return event_order::Repeated;
    // Within the stream of one server ids may leave numbers out; where two streams meet, they may not.
    return m_partBegins && *present > *before + 1 ? event_order::Gap : event_order::Follows;
}

void event_sequence::delivered(const stream_event& event)
{
    m_partBegins = false;
    if (event.id)
        m_last = event.id;
}

} // namespace balsamspring

#include "balsamspring/gateway/event_splitter.h"

#include <charconv>
#include <cstdint>

namespace balsamspring {

namespace {

constexpr std::string_view idField = "id:";

std::optional<std::string> parseId(std::string_view event)
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

// Whether the lines have no meaning to the caller.
bool isComment(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        if (!line.empty() && line != "\r" && line.front() != ':')
            return false;
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return true;
}

std::optional<std::uint64_t> parseNumber(const std::string& text)
{
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Position after the empty line that ends the first event at or after `from`, or npos if no event is complete.
std::size_t endOfEvent(const std::string& text, std::size_t from)
{
    const auto lfEnd = text.find("\n\n", from);
    const auto crlfEnd = text.find("\r\n\r\n", from);
    if (crlfEnd < lfEnd)
        return crlfEnd + 4;
    return lfEnd == std::string::npos ? lfEnd : lfEnd + 2;
}

} // namespace

std::uint64_t eventNumber(const std::optional<std::string>& id) { return id ? parseNumber(*id).value_or(0) : 0; }

std::vector<stream_event> event_splitter::feed(std::string_view bytes)
{
    std::vector<stream_event> events;
    m_pending += bytes;
    std::size_t begin = 0;
    for (auto end = endOfEvent(m_pending, m_searched); end != std::string::npos; end = endOfEvent(m_pending, begin)) {
        std::string event = m_pending.substr(begin, end - begin);
        std::optional<std::string> id = parseId(event);
        events.push_back({ std::move(event), std::move(id) });
        begin = end;
    }
    m_pending.erase(0, begin);
    // The line ends of an event may be split between two reads.
    constexpr std::size_t maxSeparator = 4;
    m_searched = m_pending.size() < maxSeparator ? 0 : m_pending.size() - maxSeparator + 1;
    return events;
}

event_order event_sequence::check(const stream_event& event) const
{
    const auto lastNumber = m_last ? parseNumber(*m_last) : std::nullopt;
    if (!lastNumber)
        return event_order::InOrder;
    const auto eventNumber = event.id ? parseNumber(*event.id) : std::nullopt;
    if (!eventNumber)
        return isComment(event.bytes) ? event_order::InOrder : event_order::Foreign;
    if (*eventNumber <= *lastNumber)
        return event_order::Duplicate;
    // A server may skip ids within its stream, but a resumed stream must start with the next id.
    return m_atStreamStart && *eventNumber > *lastNumber + 1 ? event_order::Gap : event_order::InOrder;
}

void event_sequence::delivered(const stream_event& event)
{
    m_atStreamStart = false;
    if (event.id)
        m_last = event.id;
}

} // namespace balsamspring

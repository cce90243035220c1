#include "balsamspring/base/findings.h"

#include <algorithm>
#include <tuple>

#include <fmt/core.h>

namespace balsamspring {

std::string toString(const finding& item)
{
    const source_place& place = item.place;
    if (!place.line)
        return fmt::format("{}: {}", place.file, item.message);
    return fmt::format("{}:{}:{}: {}", place.file, place.line, place.column, item.message);
}

void findings::add(source_place place, std::string message)
{
    m_items.push_back({ std::move(place), std::move(message) });
}

void findings::append(const findings& other)
{
    m_items.insert(m_items.end(), other.m_items.begin(), other.m_items.end());
}

std::string findings::toText() const
{
    std::vector<finding> sorted = m_items;
    std::stable_sort(sorted.begin(), sorted.end(), [](const finding& a, const finding& b) {
        return std::tie(a.place.file, a.place.line, a.place.column)
            < std::tie(b.place.file, b.place.line, b.place.column);
    });
    std::string text;
    for (const finding& item : sorted)
        text += toString(item) + "\n";
    return text;
}

} // namespace balsamspring

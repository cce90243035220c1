#include "balsamspring/ctl/render.h"

#include <algorithm>
#include <map>
#include <vector>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace balsamspring::internal {

namespace {

using nlohmann::json;

std::string cellText(const json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    return value.is_null() ? "-" : value.dump();
}

bool isTable(const json& value)
{
    return value.is_array() && !value.empty()
        && std::all_of(value.begin(), value.end(), [](const json& row) { return row.is_object(); });
}

// Columns are the union of the keys of all rows.
std::string tableText(const json& rows, const std::string& indent)
{
    std::map<std::string, std::size_t> widths;
    for (const json& row : rows) {
        for (const auto& [key, value] : row.items()) {
            std::size_t& width = widths.emplace(key, key.size()).first->second;
            width = std::max(width, cellText(value).size());
        }
    }
    std::string text = indent;
    for (const auto& [key, width] : widths)
        text += fmt::format("{:<{}}  ", key, width);
    text += "\n";
    for (const json& row : rows) {
        text += indent;
        for (const auto& [key, width] : widths)
            text += fmt::format("{:<{}}  ", row.contains(key) ? cellText(row[key]) : "-", width);
        text += "\n";
    }
    return text;
}

std::string valueText(const json& value, const std::string& indent)
{
    if (isTable(value))
        return tableText(value, indent);
    std::string text;
    if (!value.is_object())
        return indent + cellText(value) + "\n";
    for (const auto& [key, inner] : value.items()) {
        if (isTable(inner) || (inner.is_object() && !inner.empty()))
            text += fmt::format("{}{}:\n{}", indent, key, valueText(inner, indent + "  "));
        else
            text += fmt::format("{}{}: {}\n", indent, key, cellText(inner));
    }
    return text;
}

} // namespace

std::string renderJson(const std::string& text)
{
    const json value = json::parse(text, nullptr, false);
    return value.is_discarded() ? text + "\n" : valueText(value, "");
}

std::string indentJson(const std::string& text)
{
    const json value = json::parse(text, nullptr, false);
    return value.is_discarded() ? text + "\n" : value.dump(2) + "\n";
}

std::string refusalText(const std::string& body)
{
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("error") || !value["error"].is_object())
        return body;
    const json& error = value["error"];
    return fmt::format(
        "{}: {}", cellText(error.value("reason", json("refused"))), cellText(error.value("message", json(""))));
}

} // namespace balsamspring::internal

#include "balsamspring/config/config_digest.h"

#include "balsamspring/base/hash.h"
#include "balsamspring/config/toml_reader.h"

#include <sstream>

#include <fmt/core.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <toml++/toml.h>

namespace balsamspring {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

using flat_values = std::map<std::string, std::string, std::less<>>;

// The length prefix makes the canonical form unambiguous: different trees never have the same form.
void appendText(std::string& out, std::string_view text) { out += fmt::format("{}:{}", text.size(), text); }

void appendNode(std::string& out, const toml::node& node)
{
    if (const toml::table* table = node.as_table()) {
        out += fmt::format("t{}", table->size());
        for (const auto& [key, value] : *table) {
            appendText(out, key.str());
            appendNode(out, value);
        }
    } else if (const toml::array* array = node.as_array()) {
        out += fmt::format("a{}", array->size());
        for (const toml::node& item : *array)
            appendNode(out, item);
    } else if (const auto* text = node.as_string()) {
        out += 's';
        appendText(out, text->get());
    } else if (const auto* integer = node.as_integer()) {
        out += fmt::format("i{};", integer->get());
    } else if (const auto* number = node.as_floating_point()) {
        out += fmt::format("f{};", number->get());
    } else if (const auto* flag = node.as_boolean()) {
        out += flag->get() ? "b1;" : "b0;";
    } else {
        // Dates and times, which no key of the schema accepts.
        std::ostringstream stream;
        node.visit([&](const auto& value) { stream << value; });
        out += 'd';
        appendText(out, stream.str());
    }
}

void appendFile(std::string& out, const config_text& source, findings& problems)
{
    try {
        appendNode(out, toml::parse(source.text, source.file));
    } catch (const toml::parse_error& failure) {
        const auto& begin = failure.source().begin;
        problems.add({ source.file, begin.line, begin.column }, std::string(failure.description()));
    }
}

std::string valueText(const Message& message, const FieldDescriptor& field, int index)
{
    const auto& reflection = *message.GetReflection();
    const bool repeated = index >= 0;
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        return fmt::format("\"{}\"",
            repeated ? reflection.GetRepeatedString(message, &field, index) : reflection.GetString(message, &field));
    case FieldDescriptor::CPPTYPE_ENUM:
        return fmt::format("\"{}\"", reflection.GetEnum(message, &field)->name());
    case FieldDescriptor::CPPTYPE_BOOL:
        return reflection.GetBool(message, &field) ? "true" : "false";
    case FieldDescriptor::CPPTYPE_UINT32:
        return std::to_string(reflection.GetUInt32(message, &field));
    case FieldDescriptor::CPPTYPE_INT64:
        return std::to_string(reflection.GetInt64(message, &field));
    default:
        return fmt::format("{}", reflection.GetDouble(message, &field));
    }
}

void flatten(const Message& message, const std::string& path, flat_values& values);

void flattenElements(const Message& message, const FieldDescriptor& field, const std::string& path, flat_values& values)
{
    const auto& reflection = *message.GetReflection();
    std::string order;
    for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
        const Message& element = reflection.GetRepeatedMessage(message, &field, i);
        const std::string name = internal::elementName(element, i);
        order += (i ? ", " : "") + name;
        const Message& value = field.is_map()
            ? element.GetReflection()->GetMessage(element, field.message_type()->map_value())
            : element;
        flatten(value, fmt::format("{}.{}", path, name), values);
    }
    if (!field.is_map())
        values[path + ".order"] = fmt::format("[{}]", order);
}

void flatten(const Message& message, const std::string& path, flat_values& values)
{
    const auto& reflection = *message.GetReflection();
    for (int f = 0; f < message.GetDescriptor()->field_count(); ++f) {
        const FieldDescriptor& field = *message.GetDescriptor()->field(f);
        const std::string fieldPath = path.empty() ? field.name() : fmt::format("{}.{}", path, field.name());
        if (field.is_repeated() && field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            flattenElements(message, field, fieldPath, values);
        } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            flatten(reflection.GetMessage(message, &field), fieldPath, values);
        } else if (field.is_repeated()) {
            std::string list;
            for (int i = 0; i < reflection.FieldSize(message, &field); ++i)
                list += (i ? ", " : "") + valueText(message, field, i);
            values[fieldPath] = fmt::format("[{}]", list);
        } else {
            values[fieldPath] = valueText(message, field, -1);
        }
    }
}

flat_values flatValues(const schema::configuration& config)
{
    flat_values values;
    flatten(config, {}, values);
    return values;
}

} // namespace

checked<std::string> configDigest(const config_sources& sources)
{
    findings problems;
    std::string form = "base";
    appendFile(form, sources.base, problems);
    for (const auto& [site, overlay] : sources.overlays) {
        form += "overlay";
        appendText(form, site);
        appendFile(form, overlay, problems);
    }
    if (!problems.empty())
        return tl::make_unexpected(std::move(problems));
    return sha256Hex(form);
}

std::vector<config_change> diffConfigurations(const schema::configuration& before, const schema::configuration& after)
{
    std::map<std::string, config_change> changes;
    const flat_values oldValues = flatValues(before);
    const flat_values newValues = flatValues(after);
    for (const auto& [path, value] : oldValues)
        changes[path] = { path, value, {} };
    for (const auto& [path, value] : newValues) {
        changes[path].path = path;
        changes[path].after = value;
    }
    std::vector<config_change> changed;
    for (auto& [path, change] : changes) {
        if (change.before != change.after)
            changed.push_back(std::move(change));
    }
    return changed;
}

std::string configurationText(const schema::configuration& config)
{
    std::string text;
    for (const auto& [path, value] : flatValues(config))
        text += fmt::format("{} = {}\n", path, value);
    return text;
}

} // namespace balsamspring

#include "balsamspring/config/toml_reader.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <sstream>

#include <fmt/core.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/message.h>
#include <toml++/toml.h>

namespace balsamspring::internal {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr std::size_t maxNameLength = 64;

std::string joinPath(std::string_view path, std::string_view element)
{
    return path.empty() ? std::string(element) : fmt::format("{}.{}", path, element);
}

std::string_view typeName(toml::node_type type)
{
    switch (type) {
    case toml::node_type::table:
        return "a table";
    case toml::node_type::array:
        return "an array";
    case toml::node_type::string:
        return "a string";
    case toml::node_type::integer:
        return "an integer";
    case toml::node_type::floating_point:
        return "a number";
    case toml::node_type::boolean:
        return "a boolean";
    default:
        return "a date or time";
    }
}

std::string_view expectedTypeName(const FieldDescriptor& field)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
    case FieldDescriptor::CPPTYPE_ENUM:
        return "a string";
    case FieldDescriptor::CPPTYPE_BOOL:
        return "a boolean";
    case FieldDescriptor::CPPTYPE_DOUBLE:
    case FieldDescriptor::CPPTYPE_FLOAT:
        return "a number";
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return "a table";
    default:
        return "an integer";
    }
}

bool isValidName(std::string_view name)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), isAllowed);
}

std::string enumNames(const EnumDescriptor& type)
{
    std::string text;
    for (int i = 0; i < type.value_count(); ++i) {
        if (!type.value(i)->number())
            continue;
        if (!text.empty())
            text += ", ";
        text += type.value(i)->name();
    }
    return text;
}

const FieldDescriptor* nameField(const Descriptor& type)
{
    const FieldDescriptor* field = type.FindFieldByName("name");
    return field && field->cpp_type() == FieldDescriptor::CPPTYPE_STRING && !field->is_repeated() ? field : nullptr;
}

// Writes the parsed TOML of one file into a message.
class toml_writer {
public:
    toml_writer(std::string_view file, file_role role, std::span<const field_rule> rules, key_places& places,
        findings& problems)
        : m_file(file)
        , m_role(role)
        , m_rules(rules)
        , m_places(places)
        , m_problems(problems)
    {
    }

    void writeTable(const toml::table& table, Message& message, const std::string& path)
    {
        for (const auto& [key, node] : table) {
            const std::string fieldPath = joinPath(path, key.str());
            const source_place place = placeOf(key.source());
            const FieldDescriptor* field = message.GetDescriptor()->FindFieldByName(std::string(key.str()));
            if (!field) {
                addUnknownKey(place, *message.GetDescriptor(), key.str(), path);
                continue;
            }
            m_places.insert_or_assign(fieldPath, place);
            writeField(node, message, *field, fieldPath);
        }
    }

private:
    source_place placeOf(const toml::source_region& region) const
    {
        return { m_file, region.begin.line, region.begin.column };
    }

    void add(const toml::node& node, std::string message)
    {
        m_problems.add(placeOf(node.source()), std::move(message));
    }

    void addUnknownKey(const source_place& place, const Descriptor& type, std::string_view key, std::string_view path)
    {
        std::string known;
        for (int i = 0; i < type.field_count(); ++i)
            known += (i ? ", " : "") + type.field(i)->name();
        const std::string table = path.empty() ? "the top level" : fmt::format("\"{}\"", path);
        m_problems.add(place, fmt::format("unknown key \"{}\" in {}, known keys are {}", key, table, known));
    }

    void addWrongType(const toml::node& node, std::string_view path, std::string_view expectedType)
    {
        add(node, fmt::format("\"{}\" must be {}, not {}", path, expectedType, typeName(node.type())));
    }

    void writeField(const toml::node& node, Message& message, const FieldDescriptor& field, const std::string& path)
    {
        if (field.is_map())
            writeMap(node, message, field, path);
        else if (field.is_repeated() && field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
            writeMessages(node, message, field, path);
        else if (!field.is_repeated() && field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
            writeMessage(node, message, field, path);
        else if (isPermitted(node, path))
            writeValues(node, message, field, path);
    }

    bool isPermitted(const toml::node& node, std::string_view path)
    {
        if (m_role == file_role::Base || overlayMaySet(path))
            return true;
        add(node, fmt::format("an overlay may not state \"{}\", permitted keys are {}", path, overlayKeysText()));
        return false;
    }

    void writeMap(const toml::node& node, Message& message, const FieldDescriptor& field, const std::string& path)
    {
        const toml::table* table = node.as_table();
        if (!table) {
            addWrongType(node, path, "a table of tables");
            return;
        }
        const Reflection& reflection = *message.GetReflection();
        const FieldDescriptor* keyField = field.message_type()->map_key();
        const FieldDescriptor* valueField = field.message_type()->map_value();
        std::map<std::string, int, std::less<>> indexOf;
        for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
            const Message& entry = reflection.GetRepeatedMessage(message, &field, i);
            indexOf.emplace(entry.GetReflection()->GetString(entry, keyField), i);
        }
        for (const auto& [key, value] : *table) {
            const std::string entryPath = joinPath(path, key.str());
            if (!isValidName(key.str())) {
                m_problems.add(placeOf(key.source()),
                    fmt::format(
                        "name \"{}\" must be 1 to {} letters, digits, \"-\" or \"_\"", key.str(), maxNameLength));
                continue;
            }
            if (!value.is_table()) {
                addWrongType(value, entryPath, "a table");
                continue;
            }
            const auto found = indexOf.find(key.str());
            Message* entry = nullptr;
            if (found != indexOf.end()) {
                entry = reflection.MutableRepeatedMessage(&message, &field, found->second);
            } else if (m_role == file_role::Base || overlayMayAdd(entryPath)) {
                entry = reflection.AddMessage(&message, &field);
                entry->GetReflection()->SetString(entry, keyField, std::string(key.str()));
            } else {
                m_problems.add(placeOf(key.source()),
                    fmt::format("\"{}\" does not exist in the base file, and an overlay may not add it", entryPath));
                continue;
            }
            m_places.insert_or_assign(entryPath, placeOf(key.source()));
            writeTable(*value.as_table(), *entry->GetReflection()->MutableMessage(entry, valueField), entryPath);
        }
    }

    void writeMessage(const toml::node& node, Message& message, const FieldDescriptor& field, const std::string& path)
    {
        if (const toml::table* table = node.as_table())
            writeTable(*table, *message.GetReflection()->MutableMessage(&message, &field), path);
        else
            addWrongType(node, path, "a table");
    }

    void writeMessages(const toml::node& node, Message& message, const FieldDescriptor& field, const std::string& path)
    {
        if (m_role == file_role::Overlay) {
            mergeNamed(node, message, field, path);
            return;
        }
        const toml::array* array = node.as_array();
        if (!array) {
            addWrongType(node, path, "an array of tables");
            return;
        }
        message.GetReflection()->ClearField(&message, &field);
        for (const toml::node& item : *array) {
            const toml::table* table = item.as_table();
            if (!table) {
                addWrongType(item, path, "an array of tables");
                continue;
            }
            Message* element = message.GetReflection()->AddMessage(&message, &field);
            const int index = message.GetReflection()->FieldSize(message, &field) - 1;
            const auto name = (*table)["name"].value<std::string>();
            const std::string elementPath = joinPath(path, name && !name->empty() ? *name : std::to_string(index));
            m_places.insert_or_assign(elementPath, placeOf(item.source()));
            writeTable(*table, *element, elementPath);
        }
    }

    // An overlay addresses an element of a repeated message by its name: [pipelines.report.stages.draft].
    void mergeNamed(const toml::node& node, Message& message, const FieldDescriptor& field, const std::string& path)
    {
        const toml::table* table = node.as_table();
        if (!table) {
            add(node, fmt::format("an overlay states elements of \"{}\" as tables by name: [{}.NAME]", path, path));
            return;
        }
        const Reflection& reflection = *message.GetReflection();
        for (const auto& [key, value] : *table) {
            const std::string elementPath = joinPath(path, key.str());
            Message* element = nullptr;
            for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
                if (elementName(reflection.GetRepeatedMessage(message, &field, i), i) == key.str())
                    element = reflection.MutableRepeatedMessage(&message, &field, i);
            }
            if (!element)
                m_problems.add(
                    placeOf(key.source()), fmt::format("\"{}\" does not exist in the base file", elementPath));
            else if (const toml::table* inner = value.as_table())
                writeTable(*inner, *element, elementPath);
            else
                addWrongType(value, elementPath, "a table");
        }
    }

    void writeValues(const toml::node& node, Message& message, const FieldDescriptor& field, const std::string& path)
    {
        if (!field.is_repeated()) {
            writeValue(node, message, field, path);
            return;
        }
        const toml::array* array = node.as_array();
        if (!array) {
            addWrongType(node, path, "an array");
            return;
        }
        message.GetReflection()->ClearField(&message, &field);
        for (const toml::node& item : *array)
            writeValue(item, message, field, path);
    }

    void writeValue(const toml::node& node, Message& message, const FieldDescriptor& field, const std::string& path)
    {
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_STRING:
            writeString(node, message, field, path);
            return;
        case FieldDescriptor::CPPTYPE_ENUM:
            writeEnum(node, message, field, path);
            return;
        case FieldDescriptor::CPPTYPE_BOOL:
            if (const auto value = node.value_exact<bool>())
                message.GetReflection()->SetBool(&message, &field, *value);
            else
                addWrongType(node, path, expectedTypeName(field));
            return;
        default:
            writeNumber(node, message, field, path);
        }
    }

    void writeString(const toml::node& node, Message& message, const FieldDescriptor& field, const std::string& path)
    {
        const auto value = node.value_exact<std::string>();
        if (!value)
            addWrongType(node, path, expectedTypeName(field));
        else if (field.is_repeated())
            message.GetReflection()->AddString(&message, &field, *value);
        else
            message.GetReflection()->SetString(&message, &field, *value);
    }

    void writeEnum(const toml::node& node, Message& message, const FieldDescriptor& field, const std::string& path)
    {
        const auto name = node.value_exact<std::string>();
        if (!name) {
            addWrongType(node, path, expectedTypeName(field));
            return;
        }
        const auto* value = field.enum_type()->FindValueByName(*name);
        if (value && value->number()) {
            message.GetReflection()->SetEnum(&message, &field, value);
            return;
        }
        add(node,
            fmt::format("unknown {} \"{}\" in \"{}\", must be one of {}", field.name(), *name, path,
                enumNames(*field.enum_type())));
    }

    void writeNumber(const toml::node& node, Message& message, const FieldDescriptor& field, const std::string& path)
    {
        const bool isReal = field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE;
        if (!node.is_integer() && !(isReal && node.is_floating_point())) {
            addWrongType(node, path, expectedTypeName(field));
            return;
        }
        const double value = *node.value<double>();
        const field_rule* rule = findRule(m_rules, path);
        const double minimum = rule ? rule->minimum : 0;
        const double maximum = rule ? rule->maximum : std::numeric_limits<std::int32_t>::max();
        // The negated form also rejects NaN.
        if (!(value >= minimum && value <= maximum)) {
            add(node, fmt::format("\"{}\" is {}, must be from {} to {}", path, value, minimum, maximum));
            return;
        }
        setNumber(message, field, value);
    }

    static void setNumber(Message& message, const FieldDescriptor& field, double value);

    friend void setRuleDefault(Message& message, const FieldDescriptor& field, double value);

    std::string m_file;
    file_role m_role;
    std::span<const field_rule> m_rules;
    key_places& m_places;
    findings& m_problems;
};

void toml_writer::setNumber(Message& message, const FieldDescriptor& field, double value)
{
    const Reflection& reflection = *message.GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
        reflection.SetUInt32(&message, &field, static_cast<std::uint32_t>(value));
        return;
    case FieldDescriptor::CPPTYPE_INT64:
        reflection.SetInt64(&message, &field, static_cast<std::int64_t>(value));
        return;
    default:
        reflection.SetDouble(&message, &field, value);
    }
}

void setRuleDefault(Message& message, const FieldDescriptor& field, double value)
{
    toml_writer::setNumber(message, field, value);
}

void visitDefaults(
    std::span<const field_rule> rules, const key_places& places, Message& message, const std::string& path)
{
    const Descriptor& type = *message.GetDescriptor();
    const Reflection& reflection = *message.GetReflection();
    for (int f = 0; f < type.field_count(); ++f) {
        const FieldDescriptor& field = *type.field(f);
        const std::string fieldPath = joinPath(path, field.name());
        if (field.is_map()) {
            for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
                Message* entry = reflection.MutableRepeatedMessage(&message, &field, i);
                Message* value = entry->GetReflection()->MutableMessage(entry, field.message_type()->map_value());
                visitDefaults(rules, places, *value, joinPath(fieldPath, elementName(*entry, i)));
            }
        } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE && field.is_repeated()) {
            for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
                Message* element = reflection.MutableRepeatedMessage(&message, &field, i);
                visitDefaults(rules, places, *element, joinPath(fieldPath, elementName(*element, i)));
            }
        } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            visitDefaults(rules, places, *reflection.MutableMessage(&message, &field), fieldPath);
        } else if (const field_rule* rule = findRule(rules, fieldPath);
                   rule && rule->defaultValue && !places.contains(fieldPath)) {
            setRuleDefault(message, field, *rule->defaultValue);
        }
    }
}

} // namespace

std::string elementName(const Message& element, int index)
{
    const Descriptor& type = *element.GetDescriptor();
    const FieldDescriptor* field = type.options().map_entry() ? type.map_key() : nameField(type);
    std::string name = field ? element.GetReflection()->GetString(element, field) : std::string();
    return name.empty() ? std::to_string(index) : name;
}

source_place placeOf(const key_places& places, std::string_view path, std::string_view file)
{
    while (!path.empty()) {
        if (const auto found = places.find(path); found != places.end())
            return found->second;
        const auto dot = path.rfind('.');
        path = dot == std::string_view::npos ? std::string_view() : path.substr(0, dot);
    }
    return { std::string(file), 0, 0 };
}

void readToml(std::string_view file, std::string_view text, file_role role, std::span<const field_rule> rules,
    Message& message, key_places& places, findings& problems)
{
    try {
        const toml::table table = toml::parse(text, file);
        toml_writer(file, role, rules, places, problems).writeTable(table, message, {});
    } catch (const toml::parse_error& failure) {
        const auto& begin = failure.source().begin;
        problems.add({ std::string(file), begin.line, begin.column }, std::string(failure.description()));
    }
}

void applyDefaults(std::span<const field_rule> rules, const key_places& places, Message& message)
{
    visitDefaults(rules, places, message, {});
}

} // namespace balsamspring::internal

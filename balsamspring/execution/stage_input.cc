#include "balsamspring/execution/stage_input.h"

#include "balsamspring/base/hash.h"

#include <nlohmann/json.hpp>

namespace balsamspring {

namespace {

using json = nlohmann::json;

// Returns text that is not valid JSON as a JSON string.
json parseOrText(const std::string& text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json(text) : value;
}

std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

std::string plainText(const json& value) { return value.is_string() ? value.get<std::string>() : dump(value); }

json outputsObject(const stage_outputs& outputs)
{
    json stages = json::object();
    for (const auto& [name, output] : outputs)
        stages[name] = parseOrText(output);
    return stages;
}

} // namespace

std::string callInput(const std::string& input, const stage_outputs& outputs)
{
    return dump(json { { "input", parseOrText(input) }, { "stages", outputsObject(outputs) } });
}

std::string promptText(const std::string& input, const stage_outputs& outputs)
{
    std::string text = plainText(parseOrText(input));
    for (const auto& [name, output] : outputs)
        text += "\n\n[" + name + "]\n" + plainText(parseOrText(output));
    return text;
}

std::string joinTokens(const std::vector<std::string>& tokens)
{
    std::string text;
    for (const std::string& token : tokens)
        text += token;
    return dump(json(text));
}

std::string runResult(const std::string& output, const stage_outputs& outputs, const std::vector<std::string>& skipped)
{
    return dump(
        json { { "output", parseOrText(output) }, { "stages", outputsObject(outputs) }, { "skipped", skipped } });
}

fingerprint contentFingerprint(const pipeline_id& pipeline, const std::string& stage, const std::string& input)
{
    return fingerprint(combineHash(combineHash(hash64(pipeline.value()), hash64(stage)), hash64(input)));
}

} // namespace balsamspring

// Builds the text that a stage sends to its server from the caller's input and the outputs of earlier stages.
#pragma once

#include "balsamspring/base/ids.h"

#include <string>
#include <utility>
#include <vector>

namespace balsamspring {

// Names and JSON outputs of stages, in plan order.
using stage_outputs = std::vector<std::pair<std::string, std::string>>;

// Returns {"input": ..., "stages": {name: output}} as JSON text with sorted keys.
std::string callInput(const std::string& input, const stage_outputs& outputs);

// Returns the caller's text followed by one block per output. The caller's text comes first, so that requests with the
// same text share a prompt prefix.
std::string promptText(const std::string& input, const stage_outputs& outputs);

// Concatenates tokens to a JSON string.
std::string joinTokens(const std::vector<std::string>& tokens);

// Returns the result for the caller: {"output": ..., "stages": {...}, "skipped": [...]}.
std::string runResult(const std::string& output, const stage_outputs& outputs, const std::vector<std::string>& skipped);

// Hashes only the content, so that requests that differ only in id or key have equal fingerprints.
fingerprint contentFingerprint(const pipeline_id& pipeline, const std::string& stage, const std::string& input);

} // namespace balsamspring

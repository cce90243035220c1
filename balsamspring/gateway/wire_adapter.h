// What the product needs to know of the formats that callers and backend servers use. The adapter of a platform
// implements it; everything here is in the product's own terms.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"
#include "balsamspring/gateway/serving_config.h"
#include "balsamspring/net/connection.h"
#include "balsamspring/net/http_message.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring {

// One part of a prompt. Requests with the same leading parts share what an engine keeps of them.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

struct caller_request {
    request_id id; // one attempt of the caller
    std::string method;
    std::string target;
    std::string host;
    std::optional<std::string> key;
    std::optional<duration> patience; // how long the caller waits
    std::optional<std::string> lastEventId; // the caller goes on behind this event
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::vector<prompt_part> prompt;
    std::vector<unsigned> pieceCounts; // of each stage; 0: the stage is left out
    std::string pieceKey;
    std::vector<header_field> forwarded; // fields that the backend server gets as they are
};

// What the product adds when it sends a request on.
struct forward_fields {
    duration remaining {};
    backend_id server; // any other server refuses the request
    std::optional<team_id> team;
    std::optional<std::string> lastEventId;
    std::vector<std::string> inputs; // handles of results
    std::optional<unsigned> enginePriority; // 0 (first) to 9
};

struct backend_answer {
    unsigned status = 0;
    bool notRun = false; // the server states that the request did not run
    bool wrongServer = false; // another server has this address
    bool inputsGone = false;
    bool genuine = false; // carries the server's signature
};

struct piece_item {
    request_id id;
    std::size_t stage = 0;
    unsigned piece = 0;
    duration remaining {};
    std::string key; // stages without inputs
    std::vector<std::string> inputs; // handles
};

enum class piece_failure : std::uint8_t { Late, InputsGone, NoRoom, Failed };

struct piece_outcome {
    std::optional<std::string> handle;
    piece_failure failure = piece_failure::Failed; // without a handle
};

struct wire_adapter {
    // Field by which a server's answer names its request.
    std::string echoField;
    std::function<result<caller_request>(const http_head&)> decodeRequest;
    std::function<http_head(const caller_request&, const forward_fields&, std::size_t bodyBytes)> encodeForward;
    std::function<backend_answer(const http_head&)> decodeAnswer;
    // The server's head as the caller gets it.
    std::function<http_head(const http_head&)> answerToCaller;
    std::function<http_head(unsigned status, const std::optional<request_id>&, std::optional<duration> retryAfter)>
        refusal;
    // Whole requests.
    std::function<std::string(const endpoint&, const backend_id&, const std::vector<piece_item>&)> encodePieceCall;
    std::function<result<std::vector<piece_outcome>>(const std::string& body)> decodePieceAnswer;
    std::function<std::string(const endpoint&, const std::vector<std::string>& handles)> encodeRelease;
    // The server that keeps the result of a handle.
    std::function<result<endpoint>(const std::string& handle)> makerOf;
};

} // namespace balsamspring

// Interface between the gateway and the wire formats of callers and backend servers. Each platform provides an
// implementation, which converts between its formats and the types below.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"
#include "balsamspring/gateway/serving_config.h"
#include "balsamspring/net/connection.h"
#include "balsamspring/net/http_message.h"
#include "balsamspring/server_limit/server_limit_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring {

// One part of a prompt. Requests with the same leading parts share the engine's prefix cache.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

struct caller_request {
    // Identifies one attempt of the caller.
    request_id id;
    std::string method;
    std::string target;
    std::string host;
    std::optional<std::string> key;
    // Time for which the caller waits for the response.
    std::optional<duration> callerTimeout;
    // The caller resumes an event stream after this event.
    std::optional<std::string> lastEventId;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::vector<prompt_part> prompt;
    // Number of pieces of each stage. A stage with 0 pieces is skipped.
    std::vector<unsigned> pieceCounts;
    std::string pieceKey;
    // Header fields that are passed to the backend server unchanged.
    std::vector<header_field> forwarded;
};

// Fields that the gateway adds to a forwarded request.
struct forward_fields {
    // Time until the caller's deadline.
    duration remaining {};
    // The intended server. Any other server refuses the request.
    backend_id server;
    std::optional<team_id> team;
    std::optional<std::string> lastEventId;
    // Handles of the stage results that the server reads.
    std::vector<std::string> inputs;
    // 0 (most urgent) to 9.
    std::optional<unsigned> enginePriority;
};

struct backend_response {
    unsigned status = 0;
    // The server states that it did not execute the request.
    bool notRun = false;
    // The address belongs to another server than the intended one.
    bool wrongServer = false;
    // The request was not executed because stage results that it needs no longer exist.
    bool inputsMissing = false;
    // The response carries the server's signature and no content encoding.
    bool hasSignature = false;
    // The server is about to leave and accepts no new requests.
    bool leaving = false;
    // The server turned the request away and wants none for this long; always positive.
    std::optional<duration> pause {};
    // The server asked for a pause of a length that cannot be read.
    bool pauseUnreadable = false;
    limit_notice limit {};
};

// What a backend server reports about its load. The values are some hundred milliseconds old.
struct server_report {
    unsigned waiting = 0;
    // Engines: number of events that each run in progress has made.
    std::optional<std::map<request_id, std::uint64_t>> eventsByRun;
    // Servers of a stage's pool: upper bound of the free result storage in bytes.
    std::optional<std::uint64_t> maxFreeResultBytes;
};

// One piece of a stage in a call to a server of the stage's pool.
struct piece_item {
    request_id id;
    std::size_t stage = 0;
    unsigned piece = 0;
    duration remaining {};
    // Set for stages without inputs.
    std::string key;
    // Handles of the results that the piece reads.
    std::vector<std::string> inputs;
};

// Late: the deadline of the piece has passed. InputsMissing: its inputs no longer exist. NoCapacity: the server has no
// space for the result. Failed: any other reason.
enum class piece_failure : std::uint8_t { Late, InputsMissing, NoCapacity, Failed };

struct piece_outcome {
    // Handle of the result. Empty if the piece failed.
    std::optional<std::string> handle;
    // Valid only without a handle.
    piece_failure failure = piece_failure::Failed;
};

struct wire_adapter {
    // Header field of a response that repeats the id of its request.
    std::string echoField;
    std::function<result<caller_request>(const http_head&)> decodeRequest;
    std::function<http_head(const caller_request&, const forward_fields&, std::size_t bodyBytes)> encodeForward;
    std::function<backend_response(const http_head&)> decodeResponse;
    // Converts a server's response head into the head that is sent to the caller.
    std::function<http_head(const http_head&)> toCallerResponse;
    std::function<http_head(unsigned status, const std::optional<request_id>&, std::optional<duration> retryAfter)>
        refusal;
    // Requests are encoded completely, with head and body.
    // Error `Corrupt` if an item holds text that the message cannot carry.
    std::function<result<std::string>(const endpoint&, const backend_id&, const std::vector<piece_item>&)>
        encodePieceCall;
    std::function<result<std::vector<piece_outcome>>(const std::string& body)> decodePieceResponse;
    std::function<std::string(const endpoint&, const std::vector<std::string>& handles)> encodeRelease;
    std::function<std::string(const endpoint&)> encodeReportRequest;
    std::function<result<server_report>(const std::string& body)> decodeReport;
    // Address of the server that stores the result of a handle.
    std::function<result<endpoint>(const std::string& handle)> serverOfHandle;
};

} // namespace balsamspring

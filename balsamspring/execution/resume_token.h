// Signed position in a streamed response. Each event carries it as its id, and the caller sends it back to resume.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace balsamspring {

struct resume_token {
    request_id request;
    team_id team;
    pipeline_id pipeline;
    config_version version;
    // Position of the stage in the pipeline plan.
    std::uint32_t stage = 0;
    // Number of the run of the stage.
    std::uint32_t run = 0;
    // Empty until a server has been chosen.
    backend_id backend;
    stream_id stream;
    // Sequence number of the first token that the caller has not received.
    std::uint64_t next = 0;

    friend bool operator==(const resume_token&, const resume_token&) = default;
};

// Returns base64url text, which is safe in an HTTP header, of the HMAC-SHA256 of the fields under `key` and the fields.
std::string encodeResumeToken(const resume_token& token, std::string_view key);

// Returns `InvalidArgument` when the text is too long or corrupt, was signed with another key or has an unknown
// version.
result<resume_token> decodeResumeToken(std::string_view text, std::string_view key);

struct stream_identity {
    team_id team;
    pipeline_id pipeline;
    // The request id when the caller sent no key.
    std::string idempotencyKey;
    std::string bodyDigest;
    std::uint32_t stage = 0;
    std::uint32_t run = 0;
};

// Returns the same id on every VM, so that a resent request joins the stream that is already active.
stream_id computeStreamId(const stream_identity& identity);

} // namespace balsamspring

// Typed form of the records in the log streams claims-N, with encoding and decoding.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/claims/call_key.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace balsamspring {

// Largest outcome body, in bytes, that is recorded. Later requests for a call with a longer body get only its status.
constexpr std::size_t maxRecordedBody = 16384;

struct claim_entry {
    std::string bodyDigest; // 32 bytes
    std::uint64_t nonce = 0; // never 0
    vm_id vm;
    incarnation vmIncarnation;
};

struct close_entry {
    std::uint64_t nonce = 0; // of the winning claim; 0 if the writer is not the holder
};

struct outcome_entry {
    std::uint64_t nonce = 0;
    std::uint32_t status = 0;
    std::string body;
    bool bodyOmitted = false;
};

struct settlement_entry {
    std::string operatorName;
    bool ran = false;
    std::string note;
};

struct claim_log_entry {
    key_id key;
    std::variant<claim_entry, close_entry, outcome_entry, settlement_entry> kind;
};

// Omits outcome bodies longer than `maxRecordedBody` and marks them as omitted.
std::string encode(const claim_log_entry& entry);

// Error `Corrupt` for bytes that are not a claim record, `FailedPrecondition` for a record of another schema version.
result<claim_log_entry> decodeClaimRecord(std::string_view bytes);

} // namespace balsamspring

// Encodes and decodes the records of the log stream `config`.
#pragma once

#include "balsamspring/base/result.h"
#include "balsamspring/config/config.h"
#include "balsamspring/schema/config_records.pb.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace balsamspring {

inline constexpr std::string_view configStream = "config";

// The schema version that this build writes and reads.
inline constexpr std::uint32_t configRecordSchema = 1;

// An intact record whose schema version this build does not support.
struct unknown_schema {
    std::uint32_t schema = 0;
};

using decoded_record = std::variant<schema::config_proposal, schema::config_snapshot, unknown_schema>;

std::string encodeRecord(const schema::config_proposal& proposal);
std::string encodeRecord(const schema::config_snapshot& snapshot);

// Encodes a record of any schema version, for tests with newer writers.
std::string encodeRecord(std::uint32_t schema, schema::config_record::kind_type kind, std::string body);

// Fails with `Corrupt` when the bytes are truncated, fail the checksum or are not a record of this stream.
result<decoded_record> decodeRecord(std::string_view bytes);

schema::config_payload toPayload(const config_sources& sources);
config_sources toSources(const schema::config_payload& payload);

} // namespace balsamspring

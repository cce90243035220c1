#include "balsamspring/config/config_records.h"

#include "balsamspring/base/hash.h"

#include <fmt/core.h>

namespace balsamspring {

namespace {

std::uint64_t checksumOf(std::uint32_t schema, int kind, std::string_view body)
{
    return hash64(body, combineHash(schema, static_cast<std::uint64_t>(kind)));
}

template <class Message> result<decoded_record> parseBody(const std::string& body)
{
    Message message;
    if (!message.ParseFromString(body))
        return makeError(error_code::Corrupt, "the body of the record does not decode");
    return decoded_record(std::move(message));
}

} // namespace

std::string encodeRecord(std::uint32_t schema, schema::config_record::kind_type kind, std::string body)
{
    schema::config_record record;
    record.set_schema(schema);
    record.set_kind(kind);
    record.set_checksum(checksumOf(schema, kind, body));
    record.set_body(std::move(body));
    return record.SerializeAsString();
}

std::string encodeRecord(const schema::config_proposal& proposal)
{
    return encodeRecord(configRecordSchema, schema::config_record::proposal, proposal.SerializeAsString());
}

std::string encodeRecord(const schema::config_snapshot& snapshot)
{
    return encodeRecord(configRecordSchema, schema::config_record::snapshot, snapshot.SerializeAsString());
}

result<decoded_record> decodeRecord(std::string_view bytes)
{
    schema::config_record record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return makeError(error_code::Corrupt, "the record does not decode");
    if (record.checksum() != checksumOf(record.schema(), record.kind(), record.body()))
        return makeError(error_code::Corrupt, "the checksum of the record does not match");
    if (record.schema() != configRecordSchema)
        return decoded_record(unknown_schema { record.schema() });
    switch (record.kind()) {
    case schema::config_record::proposal:
        return parseBody<schema::config_proposal>(record.body());
    case schema::config_record::snapshot:
        return parseBody<schema::config_snapshot>(record.body());
    default:
        return makeError(
            error_code::Corrupt, fmt::format("record of unknown kind {}", static_cast<int>(record.kind())));
    }
}

schema::config_payload toPayload(const config_sources& sources)
{
    schema::config_payload payload;
    payload.mutable_base()->set_file(sources.base.file);
    payload.mutable_base()->set_text(sources.base.text);
    for (const auto& [site, overlay] : sources.overlays) {
        schema::config_file& file = (*payload.mutable_overlays())[site];
        file.set_file(overlay.file);
        file.set_text(overlay.text);
    }
    return payload;
}

config_sources toSources(const schema::config_payload& payload)
{
    config_sources sources { { payload.base().file(), payload.base().text() }, {} };
    for (const auto& [site, overlay] : payload.overlays())
        sources.overlays[site] = { overlay.file(), overlay.text() };
    return sources;
}

} // namespace balsamspring

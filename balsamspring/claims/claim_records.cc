#include "balsamspring/claims/claim_records.h"

#include "balsamspring/schema/claims.pb.h"

namespace balsamspring {

namespace {

constexpr std::uint32_t recordSchema = 1;

void fill(schema::claim_record& record, const claim_entry& entry)
{
    schema::claim_body& body = *record.mutable_claim();
    body.set_body_digest(entry.bodyDigest);
    body.set_nonce(entry.nonce);
    body.set_vm(entry.vm.value());
    body.set_incarnation(entry.vmIncarnation.value());
}

void fill(schema::claim_record& record, const close_entry& entry) { record.mutable_close()->set_nonce(entry.nonce); }

void fill(schema::claim_record& record, const outcome_entry& entry)
{
    schema::outcome_body& body = *record.mutable_outcome();
    body.set_nonce(entry.nonce);
    body.set_status(entry.status);
    if (entry.body.size() <= maxRecordedBody)
        body.set_body(entry.body);
    body.set_body_omitted(entry.bodyOmitted || entry.body.size() > maxRecordedBody);
}

void fill(schema::claim_record& record, const settlement_entry& entry)
{
    schema::settlement_body& body = *record.mutable_settlement();
    body.set_operator_name(entry.operatorName);
    body.set_ran(entry.ran);
    body.set_note(entry.note);
}

} // namespace

std::string encode(const claim_log_entry& entry)
{
    schema::claim_record record;
    record.set_schema(recordSchema);
    record.mutable_key()->set_offset(entry.key.offset.value());
    record.mutable_key()->set_nonce(entry.key.nonce);
    std::visit([&](const auto& kind) { fill(record, kind); }, entry.kind);
    return record.SerializeAsString();
}

result<claim_log_entry> decodeClaimRecord(std::string_view bytes)
{
    schema::claim_record record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !record.schema())
        return makeError(error_code::Corrupt, "claim record is malformed or has no schema version");
    if (record.schema() != recordSchema)
        return makeError(error_code::FailedPrecondition, "claim record has an unsupported schema version");
    claim_log_entry entry { { log_offset(record.key().offset()), record.key().nonce() }, close_entry {} };
    switch (record.kind_case()) {
    case schema::claim_record::kClaim:
        entry.kind = claim_entry { record.claim().body_digest(), record.claim().nonce(), vm_id(record.claim().vm()),
            incarnation(record.claim().incarnation()) };
        break;
    case schema::claim_record::kClose:
        entry.kind = close_entry { record.close().nonce() };
        break;
    case schema::claim_record::kOutcome:
        entry.kind = outcome_entry { record.outcome().nonce(), record.outcome().status(), record.outcome().body(),
            record.outcome().body_omitted() };
        break;
    case schema::claim_record::kSettlement:
        entry.kind = settlement_entry { record.settlement().operator_name(), record.settlement().ran(),
            record.settlement().note() };
        break;
    case schema::claim_record::KIND_NOT_SET:
        return makeError(error_code::Corrupt, "claim record contains none of claim, close, outcome and settlement");
    }
    return entry;
}

} // namespace balsamspring

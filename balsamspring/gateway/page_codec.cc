#include "balsamspring/gateway/page_codec.h"

#include "balsamspring/gather_schema/gather.pb.h"

#include <zlib.h>

namespace balsamspring {

namespace {

// Smaller pages fit into a few packets as they are.
constexpr std::size_t packFrom = 4096;
// Above any page that the store answers with; a claim beyond it is not worth its memory.
constexpr std::uint32_t maxUnpackedBytes = 64U << 20U;

using record_list = google::protobuf::RepeatedPtrField<schema::followed_record>;

void addRecords(record_list& list, const record_page& page)
{
    for (const store_record& record : page.records) {
        auto* added = list.Add();
        added->set_key(record.key);
        added->set_offset(record.offset);
        added->set_removed(!record.value);
        if (record.value)
            added->set_value(*record.value);
    }
}

std::string pack(const std::string& bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string packed(size, '\0');
    // Level 1: the text of configurations shrinks to a tenth at once, and a VM has a small share of a core.
    const int outcome = compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
        reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    packed.resize(outcome == Z_OK ? size : 0);
    return packed;
}

std::optional<std::string> unpack(const std::string& packed, std::uint32_t unpackedBytes)
{
    if (unpackedBytes > maxUnpackedBytes)
        return std::nullopt;
    std::string bytes(unpackedBytes, '\0');
    uLongf size = bytes.size();
    const int outcome = uncompress(
        reinterpret_cast<Bytef*>(bytes.data()), &size, reinterpret_cast<const Bytef*>(packed.data()), packed.size());
    if (outcome != Z_OK || size != bytes.size())
        return std::nullopt;
    return bytes;
}

} // namespace

std::string page_encoder::encode(const record_page& page)
{
    schema::follow_reply reply;
    reply.set_next_offset(page.nextOffset);
    reply.set_proven_after_asking_us(page.provenAfterAsking.count());
    std::size_t bytes = 0;
    std::vector<std::uint64_t> offsets;
    for (const store_record& record : page.records) {
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
        offsets.push_back(record.offset);
    }
    if (bytes >= packFrom && offsets != m_offsets) {
        schema::followed_records records;
        addRecords(*records.mutable_records(), page);
        const std::string plain = records.SerializeAsString();
        m_packed = pack(plain);
        m_unpackedBytes = static_cast<std::uint32_t>(plain.size());
        m_offsets = std::move(offsets);
    }
    if (bytes < packFrom || m_packed.empty()) {
        addRecords(*reply.mutable_records(), page);
    } else {
        reply.set_packed_records(m_packed);
        reply.set_unpacked_bytes(m_unpackedBytes);
    }
    return reply.SerializeAsString();
}

std::optional<record_page> decodePage(std::string_view bytes)
{
    schema::follow_reply reply;
    if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    if (!reply.packed_records().empty()) {
        const auto plain = unpack(reply.packed_records(), reply.unpacked_bytes());
        schema::followed_records records;
        if (!plain || !records.ParseFromString(*plain))
            return std::nullopt;
        reply.mutable_records()->Swap(records.mutable_records());
    }
    record_page page;
    for (const auto& record : reply.records()) {
        store_record decoded { record.key(), std::nullopt, record.offset() };
        if (!record.removed())
            decoded.value = record.value();
        page.records.push_back(std::move(decoded));
    }
    page.nextOffset = reply.next_offset();
    page.provenAfterAsking = duration(reply.proven_after_asking_us());
    return page;
}

} // namespace balsamspring

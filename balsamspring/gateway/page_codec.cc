#include "balsamspring/gateway/page_codec.h"

#include "balsamspring/gather_schema/gather.pb.h"

#include <zlib.h>

namespace balsamspring {

namespace {

// Smaller pages fit into a few packets without compression.
constexpr std::size_t minCompressedSize = 4096;
// Exceeds the size of any page that the store returns. Memory is not allocated for a page that claims to be larger.
constexpr std::uint32_t maxUncompressedBytes = 64U << 20U;

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

std::string compressBytes(const std::string& bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    // Level 1 already reduces the text of configurations to a tenth, and a VM has only a small share of a core.
    const int outcome = compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
        reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    compressed.resize(outcome == Z_OK ? size : 0);
    return compressed;
}

std::optional<std::string> decompressBytes(const std::string& compressed, std::uint32_t uncompressedBytes)
{
    if (uncompressedBytes > maxUncompressedBytes)
        return std::nullopt;
    std::string bytes(uncompressedBytes, '\0');
    uLongf size = bytes.size();
    const int outcome = uncompress(reinterpret_cast<Bytef*>(bytes.data()), &size,
        reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
    if (outcome != Z_OK || size != bytes.size())
        return std::nullopt;
    return bytes;
}

} // namespace

std::string page_encoder::encode(const record_page& page)
{
    schema::follow_reply reply;
    reply.set_next_offset(page.nextOffset);
    reply.set_proven_after_asking_us(page.provenAfterRequest.count());
    std::size_t bytes = 0;
    std::vector<std::uint64_t> offsets;
    for (const store_record& record : page.records) {
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
        offsets.push_back(record.offset);
    }
    if (bytes >= minCompressedSize && offsets != m_offsets) {
        schema::followed_records records;
        addRecords(*records.mutable_records(), page);
        const std::string serialized = records.SerializeAsString();
        m_compressed = compressBytes(serialized);
        m_uncompressedBytes = static_cast<std::uint32_t>(serialized.size());
        m_offsets = std::move(offsets);
    }
    if (bytes < minCompressedSize || m_compressed.empty()) {
        addRecords(*reply.mutable_records(), page);
    } else {
        reply.set_packed_records(m_compressed);
        reply.set_unpacked_bytes(m_uncompressedBytes);
    }
    return reply.SerializeAsString();
}

std::optional<record_page> decodePage(std::string_view bytes)
{
    schema::follow_reply reply;
    if (!reply.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    if (!reply.packed_records().empty()) {
        const auto serialized = decompressBytes(reply.packed_records(), reply.unpacked_bytes());
        schema::followed_records records;
        if (!serialized || !records.ParseFromString(*serialized))
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
    page.provenAfterRequest = duration(reply.proven_after_asking_us());
    return page;
}

} // namespace balsamspring

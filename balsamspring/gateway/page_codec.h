// Encodes pages of records for transfer to other VMs. A large page is compressed once for all VMs that request the same
// records. An encoder serves one topic.
//
//     writer->send(head, encoder.encode(page));
//     auto page = decodePage(body);
#pragma once

#include "balsamspring/gateway/record_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamspring {

class page_encoder {
public:
    std::string encode(const record_page& page);

private:
    // The page that was compressed last. Most VMs request the same page in succession.
    std::vector<std::uint64_t> m_offsets;
    std::string m_compressed;
    std::uint32_t m_uncompressedBytes = 0;
};

// Returns nothing if the bytes are not a valid page.
std::optional<record_page> decodePage(std::string_view bytes);

} // namespace balsamspring

// Pages of records of one topic on their way to another VM: large ones are compressed, once for all VMs that ask for
// the same. An encoder serves one topic.
//
//     writer->send(head, encoder.encode(page));
//     auto page = decodePage(body); // nothing when the bytes are not a page
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
    // The last page that was compressed; most VMs ask for the same one after another.
    std::vector<std::uint64_t> m_offsets;
    std::string m_packed;
    std::uint32_t m_unpackedBytes = 0;
};

std::optional<record_page> decodePage(std::string_view bytes);

} // namespace balsamspring

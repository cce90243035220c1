// Interface to the platform's append-only log service.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"
#include "balsamspring/base/time.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamspring {

struct log_record {
    log_offset offset;
    std::string bytes;
};

// One read. `records` is sorted by offset and has no offset outside [from, next).
struct log_page {
    std::vector<log_record> records;
    log_offset earliest; // first offset that the log still keeps
    log_offset next; // offset to read from next; equal to the tail when nothing is left
    bool atTail = false; // the page reaches the end of the log as of this read
};

// A client of the log service. Implementations are thread safe; callbacks run on any thread, exactly once.
class log_client {
public:
    using append_callback = std::function<void(result<log_offset>)>;
    using read_callback = std::function<void(result<log_page>)>;

    virtual ~log_client() = default;

    // Appends the records in order with consecutive offsets and reports the offset of the first. With error `Refused`
    // nothing was appended. After any other error the records may be on the log, now or later, and more than once.
    virtual void append(
        std::string_view stream, std::vector<std::string> records, duration timeout, append_callback done)
        = 0;

    // Reads at most `maxRecords` records at or after `from`. When `from` is before the earliest retained offset, the
    // page starts at `earliest`: the caller compares to detect the gap. An unknown stream is an empty one.
    virtual void read(
        std::string_view stream, log_offset from, std::size_t maxRecords, duration timeout, read_callback done)
        = 0;
};

} // namespace balsamspring

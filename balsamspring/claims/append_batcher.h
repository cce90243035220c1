// Batches the log records of several calls into one append.
#pragma once

#include "balsamspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamspring {

// Identifies the request that receives the result of an append. The kind of record is part of it, so that a late
// acknowledgement of a claim is not mistaken for the acknowledgement of the outcome of the same request.
struct append_owner {
    std::uint64_t request = 0;
    bool isOutcome = false;
};

// Records that are appended to the log together, in order. `owners[i]` receives the result for `records[i]`.
struct append_batch {
    std::vector<std::string> records;
    std::vector<append_owner> owners;
};

// Not thread safe.
class append_batcher {
public:
    append_batcher(duration linger, std::size_t maxRecords)
        : m_linger(linger)
        , m_maxRecords(maxRecords)
    {
    }

    void add(std::string record, append_owner owner, mono_time now);

    // Returns the batch if it is full or its first record has waited for the linger time, and nothing otherwise.
    std::optional<append_batch> take(mono_time now);

    // The time from which `take` returns the batch. Empty while the batch is.
    std::optional<mono_time> dueTime() const;

private:
    duration m_linger;
    std::size_t m_maxRecords;
    append_batch m_batch;
    mono_time m_firstAdded;
};

} // namespace balsamspring

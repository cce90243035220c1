// A log in memory with fault switches, for tests, the embedded mode and the stand-in log server.
#pragma once

#include "balsamspring/base/random.h"
#include "balsamspring/platform/log_client.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace balsamspring {

// Faults of the log service. All off by default.
struct log_faults {
    bool out = false; // every call fails; appends have no effect but say Unavailable
    double loseAck = 0; // share of appends that take effect and report Timeout
    double dropAppend = 0; // share of appends that have no effect and report Timeout
    double duplicate = 0; // share of appends whose records appear twice
    bool slowReads = false; // reads do not end in time and report Timeout
    bool brokenReads = false; // reads break off in the middle and report Unavailable
};

// Thread safe. Callbacks run before the call returns.
class memory_log : public log_client {
public:
    explicit memory_log(std::uint64_t seed = 1);

    void append(
        std::string_view stream, std::vector<std::string> records, duration timeout, append_callback done) override;
    void read(std::string_view stream, log_offset from, std::size_t maxRecords, duration timeout,
        read_callback done) override;

    void setFaults(const log_faults& faults);

    // Removes the records of the stream before the offset, as retention does.
    void trim(std::string_view stream, log_offset before);

    // Appends raw bytes, for tests with corrupt records.
    log_offset appendRaw(std::string_view stream, std::string bytes);

private:
    struct stream_state {
        std::uint64_t earliest = 0;
        std::vector<std::string> records; // records[i] has offset earliest + i
    };

    std::mutex m_mutex;
    random_engine m_random;
    log_faults m_faults;
    std::map<std::string, stream_state, std::less<>> m_streams;
};

} // namespace balsamspring

#include "balsamspring/platform/memory_log.h"

#include <algorithm>

namespace balsamspring {

memory_log::memory_log(std::uint64_t seed)
    : m_random(seed)
{
}

void memory_log::append(std::string_view stream, std::vector<std::string> records, duration, append_callback done)
{
    result<log_offset> answer = makeError(error_code::Timeout, "append was not acknowledged");
    {
        const std::lock_guard lock(m_mutex);
        if (m_faults.out) {
            answer = makeError(error_code::Unavailable, "log is out");
        } else if (uniform(m_random) >= m_faults.dropAppend) {
            stream_state& state = m_streams[std::string(stream)];
            const log_offset first(state.earliest + state.records.size());
            const int copies = uniform(m_random) < m_faults.duplicate ? 2 : 1;
            for (int i = 0; i < copies; ++i)
                state.records.insert(state.records.end(), records.begin(), records.end());
            if (uniform(m_random) >= m_faults.loseAck)
                answer = first;
        }
    }
    done(std::move(answer));
}

void memory_log::read(std::string_view stream, log_offset from, std::size_t maxRecords, duration, read_callback done)
{
    result<log_page> answer = log_page {};
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_streams.find(stream);
        if (m_faults.out) {
            answer = makeError(error_code::Unavailable, "log is out");
        } else if (m_faults.slowReads) {
            answer = makeError(error_code::Timeout, "read did not end in time");
        } else if (m_faults.brokenReads) {
            answer = makeError(error_code::Unavailable, "read broke off");
        } else if (found != m_streams.end()) {
            const stream_state& state = found->second;
            const std::uint64_t tail = state.earliest + state.records.size();
            const std::uint64_t first = std::clamp(from.value(), state.earliest, tail);
            const std::uint64_t last = std::min<std::uint64_t>(tail, first + maxRecords);
            answer->earliest = log_offset(state.earliest);
            answer->next = log_offset(last);
            answer->atTail = last == tail;
            for (std::uint64_t offset = first; offset < last; ++offset)
                answer->records.push_back({ log_offset(offset), state.records[offset - state.earliest] });
        } else {
            answer->atTail = true;
        }
    }
    done(std::move(answer));
}

void memory_log::setFaults(const log_faults& faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

void memory_log::trim(std::string_view stream, log_offset before)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || before.value() <= found->second.earliest)
        return;
    stream_state& state = found->second;
    const auto count = std::min<std::size_t>(before.value() - state.earliest, state.records.size());
    state.records.erase(state.records.begin(), state.records.begin() + static_cast<std::ptrdiff_t>(count));
    state.earliest += count;
}

log_offset memory_log::appendRaw(std::string_view stream, std::string bytes)
{
    const std::lock_guard lock(m_mutex);
    stream_state& state = m_streams[std::string(stream)];
    state.records.push_back(std::move(bytes));
    return log_offset(state.earliest + state.records.size() - 1);
}

} // namespace balsamspring

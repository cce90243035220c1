#include "bench/checker_world.h"

#include <algorithm>
#include <utility>

namespace balsamspring::checker {

using namespace std::chrono_literals;

world::world(std::uint64_t seed)
    : now(1h)
    , random(seed)
{
    // In turn: one fault, one fault twice, two faults, and one history in eight with every fault likely.
    const auto draw = [this] {
        return static_cast<fault>(below(faultCount));
    };
    switch (seed % 8) {
    case 0:
    case 1:
        m_faults[draw()] = 1;
        break;
    case 2:
    case 3:
        m_faults[draw()] = 2;
        break;
    case 7:
        for (std::size_t i = 0; i < faultCount; ++i)
            m_faults[static_cast<fault>(i)] = static_cast<int>(below(3));
        break;
    default:
        m_faults[draw()] = 1 + static_cast<int>(below(2));
        m_faults[draw()] = 1 + static_cast<int>(below(2));
    }
}

int world::times(fault kind) const
{
    const auto found = m_faults.find(kind);
    return found == m_faults.end() ? 0 : found->second;
}

void world::at(mono_time time, std::function<void()> task)
{
    m_events.push({ std::max(time, now), ++m_lastNumber, std::move(task) });
}

void world::runUntil(mono_time end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        // The queue hands out constant references only; the event is removed before its task runs.
        auto next = std::move(const_cast<event&>(m_events.top()));
        m_events.pop();
        now = next.time;
        next.task();
    }
    now = end;
}

void faulty_log::append(std::string_view, std::vector<std::string> records, duration timeout, append_callback done)
{
    if (out || closed) {
        m_world.after(m_world.chance() < 0.5 ? 1ms : timeout,
            [done = std::move(done)] { done(makeError(error_code::Unavailable, "log is out")); });
        return;
    }
    const auto store = [this](const std::vector<std::string>& stored) {
        // A late or duplicated append may still be on its way when the log is closed.
        if (!closed)
            m_records.insert(m_records.end(), stored.begin(), stored.end());
    };
    const bool late = m_world.hit(fault::LateAppend);
    const bool lost = m_world.hit(fault::LostAppend);
    const duration effect = late ? timeout + m_world.between(0s, 12s) : m_world.between(1ms, 20ms);
    if (m_world.hit(fault::DuplicateRecord))
        m_world.after(effect + m_world.between(0s, m_world.chance() < 0.5 ? 100ms : 12s), [=] { store(records); });
    if (late || lost || m_world.hit(fault::LostAck)) {
        if (!lost)
            m_world.after(effect, [=] { store(records); });
        m_world.after(timeout, [done = std::move(done)] { done(makeError(error_code::Timeout, "no answer")); });
        return;
    }
    m_world.after(effect, [this, store, records = std::move(records), done = std::move(done)] {
        const log_offset first(m_records.size());
        store(records);
        m_world.after(m_world.between(1ms, 10ms), [first, done] { done(first); });
    });
}

void faulty_log::read(std::string_view, log_offset from, std::size_t maxRecords, duration timeout, read_callback done)
{
    const bool slow = m_world.hit(fault::SlowReads);
    if (out || (slow && m_world.chance() < 0.3)) {
        m_world.after(timeout, [done = std::move(done)] { done(makeError(error_code::Timeout, "no answer")); });
        return;
    }
    const std::size_t limit = slow ? 1 + m_world.below(3) : maxRecords;
    const duration answerDelay = slow ? m_world.between(1ms, timeout) : m_world.between(1ms, 5ms);
    m_world.after(1ms, [this, from, limit, answerDelay, done = std::move(done)] {
        log_page page;
        const std::uint64_t tail = m_records.size();
        const std::uint64_t first = std::clamp(from.value(), m_earliest, tail);
        const std::uint64_t last = std::min<std::uint64_t>(tail, first + limit);
        for (std::uint64_t offset = first; offset < last; ++offset)
            page.records.push_back({ log_offset(offset), m_records[offset] });
        page.earliest = log_offset(m_earliest);
        page.next = log_offset(last);
        page.atTail = last == tail;
        m_world.after(answerDelay, [page = std::move(page), done] { done(page); });
    });
}

void faulty_log::trim(std::uint64_t count)
{
    m_earliest = std::min<std::uint64_t>(m_earliest + count, m_records.size());
}

} // namespace balsamspring::checker

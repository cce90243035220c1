#include "balsamspring/claims/append_batcher.h"

#include <utility>

namespace balsamspring {

void append_batcher::add(std::string record, append_owner owner, mono_time now)
{
    if (m_batch.records.empty())
        m_firstAdded = now;
    m_batch.records.push_back(std::move(record));
    m_batch.owners.push_back(owner);
}

std::optional<append_batch> append_batcher::take(mono_time now)
{
    const auto time = dueTime();
    if (!time || now < *time)
        return std::nullopt;
    return std::exchange(m_batch, {});
}

std::optional<mono_time> append_batcher::dueTime() const
{
    if (m_batch.records.empty())
        return std::nullopt;
    return m_batch.records.size() >= m_maxRecords ? m_firstAdded : m_firstAdded + m_linger;
}

} // namespace balsamspring

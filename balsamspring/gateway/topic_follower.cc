#include "balsamspring/gateway/topic_follower.h"

#include <algorithm>

namespace balsamspring {

topic_follower::topic_follower(
    follower_options options, const record_store& store, follower_hooks hooks, random_engine& random)
    : m_options(std::move(options))
    , m_store(store)
    , m_hooks(std::move(hooks))
    , m_random(random)
    , m_retryDelay(m_options.minRetryDelay)
{
}

void topic_follower::start()
{
    m_lastSuccessAt = m_hooks.now();
    readSnapshot({});
}

void topic_follower::setPolling(duration wait, duration pause)
{
    m_options.wait = wait;
    m_options.pause = pause;
}

void topic_follower::readSnapshot(const std::string& afterKey)
{
    if (afterKey.empty()) {
        m_firstPage = true;
        m_snapshotKeys.clear();
        m_snapshotRequestedAt = m_hooks.now();
    }
    m_store.readNewest(m_options.topic, afterKey, [this](result<newest_page> page) {
        if (!page)
            return handleFailure(page.error(), [this] { readSnapshot({}); });
        handleSuccess();
        handleSnapshotPage(*page);
    });
}

void topic_follower::handleSnapshotPage(const newest_page& page)
{
    // Reading continues at the end offset of the first page, so that changes made between pages are read again in
    // order.
    if (m_firstPage)
        m_nextOffset = page.endOffset;
    m_firstPage = false;
    for (const store_record& record : page.records) {
        if (record.value)
            m_snapshotKeys.insert(record.key);
        report(record);
    }
    const std::string lastKey = page.lastKey.empty() && !page.records.empty() ? page.records.back().key : page.lastKey;
    if (page.hasMore && !lastKey.empty())
        return readSnapshot(lastKey);
    std::vector<std::string> missing;
    for (const auto& [key, offset] : m_newestOffset) {
        if (!m_snapshotKeys.contains(key) && offset < m_nextOffset)
            missing.push_back(key);
    }
    for (const std::string& key : missing) {
        m_newestOffset.erase(key);
        m_hooks.onMissing(key);
    }
    m_hooks.onSnapshot(m_nextOffset);
    m_hooks.onCurrent(m_snapshotRequestedAt, m_nextOffset);
    readTail();
}

void topic_follower::readTail()
{
    const mono_time requestedAt = m_hooks.now();
    // After a failure, a prompt reply matters more than the number of calls.
    const duration wait = m_lost ? duration::zero() : m_options.wait;
    m_store.readFrom(m_options.topic, m_nextOffset, wait, [this, requestedAt](result<record_page> page) {
        if (page) {
            handleSuccess();
            return handleTailPage(*page, requestedAt);
        }
        if (page.error().code == error_code::NotFound) {
            handleSuccess();
            return readSnapshot({});
        }
        handleFailure(page.error(), [this] { readTail(); });
    });
}

void topic_follower::handleTailPage(const record_page& page, mono_time requestedAt)
{
    for (const store_record& record : page.records)
        report(record);
    m_nextOffset = std::max(m_nextOffset, page.nextOffset);
    m_hooks.onCurrent(requestedAt + page.provenAfterRequest, m_nextOffset);
    m_hooks.after(m_options.pause, [this] { readTail(); });
}

void topic_follower::report(const store_record& record)
{
    const auto newest = m_newestOffset.find(record.key);
    if (newest != m_newestOffset.end() && record.offset < newest->second)
        return;
    if (record.value)
        m_newestOffset[record.key] = record.offset;
    else
        m_newestOffset.erase(record.key);
    m_hooks.onRecord(record);
}

void topic_follower::handleSuccess()
{
    m_lastSuccessAt = m_hooks.now();
    m_retryDelay = m_options.minRetryDelay;
    if (!m_lost)
        return;
    m_lost = false;
    m_hooks.onRecovered(m_lastSuccessAt - m_outageStart);
}

void topic_follower::handleFailure(const error& cause, std::function<void()> retry)
{
    if (!m_lost) {
        m_lost = true;
        m_outageStart = m_lastSuccessAt;
        m_hooks.onLost(cause);
    }
    // Jitter prevents VMs whose calls failed at the same time from retrying at the same time.
    const duration delay = fromSeconds(toSeconds(m_retryDelay) * (0.75 + uniform(m_random) / 2));
    m_retryDelay = std::min(m_options.maxRetryDelay, m_retryDelay * 2);
    m_hooks.after(delay, std::move(retry));
}

} // namespace balsamspring

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
    m_lastAnswer = m_hooks.now();
    readSnapshot({});
}

void topic_follower::setPace(duration wait, duration pause)
{
    m_options.wait = wait;
    m_options.pause = pause;
}

void topic_follower::readSnapshot(const std::string& afterKey)
{
    if (afterKey.empty()) {
        m_firstPage = true;
        m_snapshotKeys.clear();
        m_snapshotAskedAt = m_hooks.now();
    }
    m_store.readNewest(m_options.topic, afterKey, [this](result<newest_page> page) {
        if (!page)
            return failed(page.error(), [this] { readSnapshot({}); });
        answered();
        snapshotArrived(*page);
    });
}

void topic_follower::snapshotArrived(const newest_page& page)
{
    // Reading goes on from the end that the first page saw: what changed between the pages is read again, in order.
    if (m_firstPage)
        m_next = page.endOffset;
    m_firstPage = false;
    for (const store_record& record : page.records) {
        if (record.value)
            m_snapshotKeys.insert(record.key);
        report(record);
    }
    if (page.more && !page.records.empty())
        return readSnapshot(page.records.back().key);
    std::vector<std::string> missing;
    for (const auto& [key, offset] : m_newestOffset) {
        if (!m_snapshotKeys.contains(key) && offset < m_next)
            missing.push_back(key);
    }
    for (const std::string& key : missing) {
        m_newestOffset.erase(key);
        m_hooks.onMissing(key);
    }
    m_hooks.onSnapshot(m_next);
    m_hooks.onCurrent(m_snapshotAskedAt, m_next);
    readTail();
}

void topic_follower::readTail()
{
    const mono_time askedAt = m_hooks.now();
    // After a failure the answer matters more than the number of calls.
    const duration wait = m_lost ? duration::zero() : m_options.wait;
    m_store.readFrom(m_options.topic, m_next, wait, [this, askedAt](result<record_page> page) {
        if (page) {
            answered();
            return tailArrived(*page, askedAt);
        }
        if (page.error().code == error_code::NotFound) {
            answered();
            return readSnapshot({});
        }
        failed(page.error(), [this] { readTail(); });
    });
}

void topic_follower::tailArrived(const record_page& page, mono_time askedAt)
{
    for (const store_record& record : page.records)
        report(record);
    m_next = std::max(m_next, page.nextOffset);
    m_hooks.onCurrent(askedAt + page.provenAfterAsking, m_next);
    m_hooks.after(m_options.pause, [this] { readTail(); });
}

void topic_follower::report(const store_record& record)
{
    const auto known = m_newestOffset.find(record.key);
    if (known != m_newestOffset.end() && record.offset < known->second)
        return;
    if (record.value)
        m_newestOffset[record.key] = record.offset;
    else
        m_newestOffset.erase(record.key);
    m_hooks.onRecord(record);
}

void topic_follower::answered()
{
    m_lastAnswer = m_hooks.now();
    m_retryDelay = m_options.minRetryDelay;
    if (!m_lost)
        return;
    m_lost = false;
    m_hooks.onRegained(m_lastAnswer - m_lostAt);
}

void topic_follower::failed(const error& why, std::function<void()> again)
{
    if (!m_lost) {
        m_lost = true;
        m_lostAt = m_lastAnswer;
        m_hooks.onLost(why);
    }
    // Jitter keeps VMs that failed together from asking together.
    const duration delay = fromSeconds(toSeconds(m_retryDelay) * (0.75 + uniform(m_random) / 2));
    m_retryDelay = std::min(m_options.maxRetryDelay, m_retryDelay * 2);
    m_hooks.after(delay, std::move(again));
}

} // namespace balsamspring

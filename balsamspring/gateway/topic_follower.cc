#include "balsamspring/gateway/topic_follower.h"

#include "balsamspring/base/scope_exit.h"

#include <algorithm>
#include <exception>

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
        m_backlogEnd.reset();
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
    bool goesOn = false;
    const scope_exit startAgain([&] {
        if (!goesOn)
            m_hooks.after(m_retryDelay, [this] { readSnapshot({}); });
    });
    // Reading continues at the end offset of the first page, so that changes made between pages are read again in
    // order.
    if (m_firstPage) {
        m_nextOffset = page.endOffset;
        m_hooks.onSnapshot(m_nextOffset);
    }
    m_firstPage = false;
    for (const store_record& record : page.records) {
        if (record.value)
            m_snapshotKeys.insert(record.key);
        report(record);
    }
    const std::string lastKey = page.lastKey.empty() && !page.records.empty() ? page.records.back().key : page.lastKey;
    if (page.hasMore) {
        if (lastKey.empty()) {
            const error cause { error_code::Corrupt, "a page of the snapshot names no key to continue after" };
            goesOn = true;
            return handleFailure(cause, [this] { readSnapshot({}); });
        }
        goesOn = true;
        return readSnapshot(lastKey);
    }
    std::vector<std::string> missing;
    for (const auto& [key, offset] : m_newestOffset) {
        if (!m_snapshotKeys.contains(key) && offset < m_nextOffset)
            missing.push_back(key);
    }
    for (const std::string& key : missing) {
        m_newestOffset.erase(key);
        guarded(key, [&] { m_hooks.onMissing(key); });
    }
    m_hooks.onCurrent(m_snapshotRequestedAt, m_nextOffset);
    goesOn = true;
    readTail();
}

void topic_follower::readTail()
{
    const mono_time requestedAt = m_hooks.now();
    // After a failure, a prompt reply matters more than the number of calls.
    const duration wait = m_lost ? duration::zero() : m_options.wait;
    m_store.readFrom(m_options.topic, m_nextOffset, wait, [this, requestedAt](result<record_page> page) {
        if (page) {
            // The same read would return the same page, at once.
            if (page->nextOffset <= m_nextOffset && m_nextOffset < page->endOffset) {
                const error cause { error_code::Corrupt, "a page without the records that the topic holds" };
                return handleFailure(cause, [this] { readTail(); });
            }
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
    duration pause = m_retryDelay; // if a hook throws
    const scope_exit readOn([&] { m_hooks.after(pause, [this] { readTail(); }); });
    for (const store_record& record : page.records)
        report(record);
    m_nextOffset = std::max(m_nextOffset, page.nextOffset);
    const bool reachesEnd = confirm(page, requestedAt);
    pause = reachesEnd ? m_options.pause : duration::zero();
}

// The store limits the size of a page. Records after it may be older than the read, so that only reaching the end that
// the topic had at some time proves that everything up to that time is known. A topic that grows as fast as it is read
// is proven as of the time of an earlier page.
bool topic_follower::confirm(const record_page& page, mono_time requestedAt)
{
    const mono_time provenAt = requestedAt + page.provenAfterRequest;
    if (m_nextOffset >= page.endOffset) {
        m_backlogEnd.reset();
        m_hooks.onCurrent(provenAt, m_nextOffset);
        return true;
    }
    if (m_backlogEnd && m_nextOffset >= m_backlogEnd->offset) {
        m_hooks.onCurrent(m_backlogEnd->at, m_nextOffset);
        m_backlogEnd.reset();
    }
    if (!m_backlogEnd)
        m_backlogEnd = known_end { provenAt, page.endOffset };
    return false;
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
    guarded(record.key, [&] { m_hooks.onRecord(record); });
}

void topic_follower::guarded(const std::string& key, const std::function<void()>& hook)
{
    try {
        hook();
    } catch (const std::exception& failure) {
        m_hooks.onRecordFailure(key, failure.what());
    }
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

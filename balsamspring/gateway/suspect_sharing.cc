#include "balsamspring/gateway/suspect_sharing.h"

#include "balsamspring/base/log.h"

#include <array>
#include <charconv>
#include <utility>

#include <fmt/core.h>

namespace balsamspring {

namespace {

constexpr std::string_view quarantinedValue = "quarantined";
constexpr std::string_view suspectValue = "suspect";
constexpr std::string_view partPrefix = "part:";
// Value of records that say everything by their key.
constexpr std::string_view setValue = "1";
constexpr std::size_t fingerprintDigits = 16;

constexpr std::array<std::pair<part_event, std::string_view>, 4> partEvents {
    std::pair { part_event::Crash, std::string_view("crash") },
    std::pair { part_event::Blocked, std::string_view("blocked") },
    std::pair { part_event::Cleared, std::string_view("cleared") },
    std::pair { part_event::Probed, std::string_view("probed") },
};

std::string_view toString(part_event event)
{
    for (const auto& [known, name] : partEvents) {
        if (known == event)
            return name;
    }
    return {};
}

std::string fingerprintText(fingerprint content) { return fmt::format("{:016x}", content.value()); }

std::optional<fingerprint> parseFingerprint(std::string_view text)
{
    std::uint64_t value = 0;
    constexpr int hexadecimal = 16;
    const auto [end, parseError] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (text.size() != fingerprintDigits || parseError != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return fingerprint(value);
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, parseError] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parseError != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

// The key of a record about a part: "part:" fingerprint ":" event, for a crash also ":" its fingerprint.
keyed_value encodePartRecord(const part_record& record)
{
    std::string key = fmt::format("{}{}:{}", partPrefix, fingerprintText(record.part), toString(record.event));
    if (record.event == part_event::Crash)
        key += ":" + fingerprintText(record.crash);
    std::string value(setValue);
    if (record.event == part_event::Probed)
        value = std::to_string(record.round);
    else if (record.event != part_event::Crash)
        value = std::to_string(record.basis);
    return { std::move(key), std::move(value) };
}

std::optional<part_record> decodePartRecord(const std::string& key, const std::string& value)
{
    std::string_view rest = key;
    if (!rest.starts_with(partPrefix))
        return std::nullopt;
    rest.remove_prefix(partPrefix.size());
    const auto part = parseFingerprint(rest.substr(0, fingerprintDigits));
    if (!part || rest.size() <= fingerprintDigits || rest[fingerprintDigits] != ':')
        return std::nullopt;
    rest.remove_prefix(fingerprintDigits + 1);
    const std::string_view name = rest.substr(0, rest.find(':'));
    for (const auto& [event, known] : partEvents) {
        if (name != known)
            continue;
        part_record record { .part = *part, .event = event };
        const auto number = parseNumber(value);
        if (event == part_event::Crash) {
            const auto crash
                = rest.size() > name.size() ? parseFingerprint(rest.substr(name.size() + 1)) : std::nullopt;
            if (!crash)
                return std::nullopt;
            record.crash = *crash;
        } else if (rest != name || !number) {
            return std::nullopt;
        } else if (event == part_event::Probed) {
            // An absurd number of rounds would end all probes.
            constexpr std::uint64_t maxRound = 1000;
            record.round = static_cast<unsigned>(std::min(*number, maxRound));
        } else {
            record.basis = *number;
        }
        return record;
    }
    return std::nullopt;
}

suspect_sharing::suspect_sharing(suspect_sharing_options options, std::string topic, const record_store& store,
    crash_quarantine& contents, part_quarantine& parts, gateway_metrics& metrics, random_engine& random)
    : m_options(options)
    , m_topic(std::move(topic))
    , m_store(store)
    , m_contents(contents)
    , m_parts(parts)
    , m_metrics(metrics)
    , m_random(random)
    , m_retryDelay(options.minRetryDelay)
{
}

void suspect_sharing::applyRecord(const store_record& record, mono_time now)
{
    if (!record.value)
        return;
    if (const auto part = decodePartRecord(record.key, *record.value)) {
        if (part->event != part_event::Crash)
            logLine(log_level::Info, "part_record",
                { { "part", fingerprintText(part->part) }, { "what", std::string(toString(part->event)) },
                    { "offset", std::to_string(record.offset) } });
        return m_parts.apply(*part, record.offset, now);
    }
    const auto content = parseFingerprint(record.key);
    if (!content)
        return m_metrics.count("unreadable_records", "suspect");
    const auto quarantineStatus
        = *record.value == quarantinedValue ? quarantine_status::Quarantined : quarantine_status::Suspect;
    m_contents.applyUpdate({ *content, quarantineStatus }, now);
}

void suspect_sharing::enqueue(keyed_value record)
{
    if (m_queue.size() >= m_options.maxQueued && !m_appending) {
        m_metrics.count("suspects_dropped", "queue_full");
        logLine(log_level::Warn, "suspect_dropped", { { "key", m_queue.front().key } });
        m_queue.pop_front();
    }
    m_queue.push_back(std::move(record));
}

void suspect_sharing::logPartRecord(const part_record& record)
{
    m_metrics.count("suspect_parts", toString(record.event));
    logLine(log_level::Warn, "part_suspected",
        { { "part", fingerprintText(record.part) }, { "what", std::string(toString(record.event)) },
            { "crash", record.event == part_event::Crash ? fingerprintText(record.crash) : "-" } });
}

void suspect_sharing::collect()
{
    for (const auto& update : m_contents.takeUpdates()) {
        if (update.quarantineStatus == quarantine_status::Clear)
            continue;
        const bool quarantined = update.quarantineStatus == quarantine_status::Quarantined;
        const std::string value(quarantined ? quarantinedValue : suspectValue);
        m_metrics.count("suspects", value);
        logLine(log_level::Warn, "content_suspected",
            { { "content", fingerprintText(update.content) }, { "standing", value } });
        enqueue({ fingerprintText(update.content), value });
    }
    for (const part_record& record : m_parts.takeRecords()) {
        logPartRecord(record);
        enqueue(encodePartRecord(record));
    }
}

void suspect_sharing::publish(mono_time now)
{
    m_now = now;
    collect();
    if (m_queue.empty() || m_appending || now < m_retryAt)
        return;
    const std::size_t count = std::min(m_queue.size(), m_options.recordsPerCall);
    const std::vector<keyed_value> records(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(count));
    m_appending = true;
    m_store.append(m_topic, records, std::nullopt,
        [this, count](const result<std::uint64_t>& outcome) { appended(count, outcome); });
}

void suspect_sharing::appended(std::size_t count, const result<std::uint64_t>& outcome)
{
    m_appending = false;
    if (outcome) {
        m_queue.erase(m_queue.begin(), m_queue.begin() + static_cast<std::ptrdiff_t>(count));
        m_retryDelay = m_options.minRetryDelay;
        return;
    }
    // The records may have been appended all the same. Appending them again changes nothing.
    m_metrics.count("suspects_not_published", toString(outcome.error().code));
    logLine(log_level::Warn, "suspect_not_published",
        { { "records", std::to_string(count) }, { "why", outcome.error().message } });
    m_retryAt = m_now + fromSeconds(toSeconds(m_retryDelay) * (0.75 + uniform(m_random) / 2));
    m_retryDelay = std::min(m_options.maxRetryDelay, m_retryDelay * 2);
}

void suspect_sharing::removeExpired(bool responsible)
{
    for (const part_record& record : m_parts.takeExpired()) {
        if (responsible)
            enqueue({ encodePartRecord(record).key, {} });
    }
}

void suspect_sharing::claimProbe(fingerprint part, std::uint64_t expectedEnd, std::function<void(bool claimed)> done)
{
    const part_record record = m_parts.probeClaim(part);
    m_store.append(m_topic, { encodePartRecord(record) }, expectedEnd,
        [this, record, done = std::move(done)](const result<std::uint64_t>& outcome) {
            m_metrics.count("part_probes", outcome ? "claimed" : toString(outcome.error().code));
            logLine(log_level::Info, "part_probe_claim",
                { { "part", fingerprintText(record.part) }, { "round", std::to_string(record.round) },
                    { "claimed", outcome ? "yes" : "no" },
                    { "why", outcome ? std::string() : outcome.error().message } });
            done(outcome.has_value());
        });
}

} // namespace balsamspring

#include "balsamspring/gateway/suspect_sharing.h"

#include "balsamspring/base/log.h"

#include <charconv>

#include <fmt/core.h>

namespace balsamspring {

namespace {

constexpr std::string_view quarantinedValue = "quarantined";
constexpr std::string_view suspectValue = "suspect";

std::string fingerprintText(fingerprint content) { return fmt::format("{:016x}", content.value()); }

std::optional<fingerprint> parseFingerprint(const std::string& text)
{
    std::uint64_t value = 0;
    constexpr int hexadecimal = 16;
    const auto [end, parseError] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (parseError != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return fingerprint(value);
}

} // namespace

suspect_sharing::suspect_sharing(
    std::string topic, const record_store& store, crash_quarantine& quarantine, gateway_metrics& metrics)
    : m_topic(std::move(topic))
    , m_store(store)
    , m_quarantine(quarantine)
    , m_metrics(metrics)
{
}

void suspect_sharing::applyUpdate(const store_record& record, mono_time now)
{
    const auto content = parseFingerprint(record.key);
    if (!content || !record.value)
        return;
    const auto quarantineStatus
        = *record.value == quarantinedValue ? quarantine_status::Quarantined : quarantine_status::Suspect;
    m_quarantine.applyUpdate({ *content, quarantineStatus }, now);
}

void suspect_sharing::publish()
{
    for (const auto& update : m_quarantine.takeUpdates()) {
        if (update.quarantineStatus == quarantine_status::Clear)
            continue;
        const bool quarantined = update.quarantineStatus == quarantine_status::Quarantined;
        const std::string key = fingerprintText(update.content);
        const std::string value(quarantined ? quarantinedValue : suspectValue);
        m_metrics.count("suspects", value);
        logLine(log_level::Warn, "content_suspected", { { "content", key }, { "standing", value } });
        m_store.append(m_topic, key, value, [key](const result<std::uint64_t>& appended) {
            if (!appended) {
                logLine(log_level::Warn, "suspect_not_published",
                    { { "content", key }, { "why", appended.error().message } });
            }
        });
    }
}

} // namespace balsamspring

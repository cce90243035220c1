#include "review/stand_ins/log_store.h"

#include "balsamspring/base/hash.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace balsamspring::review {

namespace {

using json = nlohmann::json;

// Figures of the sheet and of the settings file.
constexpr duration callTime = std::chrono::milliseconds(4);
constexpr double readBytesPerSecond = 80e6; // `read_mb_s`, shared by all reads
constexpr std::size_t maxNewestItems = 500;
constexpr std::size_t maxNewestBytes = 1'000'000;
constexpr std::size_t bytesPerKilobyte = 1024;

std::string parameter(const std::string& target, const std::string& name)
{
    for (const char* separator : { "?", "&" }) {
        const auto position = target.find(separator + name + "=");
        if (position == std::string::npos)
            continue;
        const auto begin = position + name.size() + 2;
        std::string text;
        for (auto i = begin; i < target.size() && target[i] != '&'; ++i) {
            if (target[i] == '%' && i + 2 < target.size()) {
                text += static_cast<char>(std::stoi(target.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                text += target[i];
            }
        }
        return text;
    }
    return {};
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text += static_cast<char>(value >> static_cast<unsigned>(8 * i) & 0xffU);
    return text;
}

http_head plainHead(unsigned status)
{
    http_head head;
    head.status = status;
    head.reason = "Store";
    return head;
}

} // namespace

log_store::log_store(event_loop& loop, std::uint32_t parts)
    : m_loop(loop)
    , m_parts(parts)
{
}

log_store::~log_store() = default;

endpoint log_store::openFor(const std::string& machine)
{
    auto opened = http_service::open(m_loop,
        { .address = { "127.0.0.1", 0 },
            .limits =
                [] {
                    http_service_limits limits;
                    limits.idleTimeout = std::chrono::seconds(60);
                    return limits;
                },
            .handler = [this, machine](const incoming_request& request,
                           const std::shared_ptr<response_writer>& writer) { handle(machine, request, writer); },
            .onRejected = nullptr });
    if (!opened)
        throw std::runtime_error(opened.error().message);
    endpoint address { "127.0.0.1", (*opened)->port() };
    m_services[machine] = std::move(*opened);
    return address;
}

void log_store::setAccess(const std::string& machine, store_access access)
{
    m_access[machine] = access;
    if (access == store_access::Served)
        return;
    // Reads that are held are refused as well.
    for (auto item = m_pendingReads.begin(); item != m_pendingReads.end();) {
        if (item->machine != machine) {
            ++item;
            continue;
        }
        if (access == store_access::TurnedAway)
            item->writer->send(plainHead(503), {});
        else
            m_unanswered.push_back(item->writer);
        item = m_pendingReads.erase(item);
    }
}

void log_store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    m_topics[topic].push_back({ key, value });
    completeReads(topic);
}

void log_store::remove(const std::string& topic, const std::string& key) { put(topic, key, {}); }

std::vector<std::string> log_store::owners(const std::string& group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? std::vector<std::string>() : found->second.owners;
}

void log_store::handle(
    const std::string& machine, const incoming_request& request, const std::shared_ptr<response_writer>& writer)
{
    const store_access access = m_access[machine];
    if (access == store_access::TurnedAway)
        return writer->send(plainHead(503), {});
    if (access == store_access::Silent) {
        m_unanswered.push_back(writer);
        return;
    }
    const std::string& target = request.head.target;
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/log-newest")
        return newest(target, writer);
    if (path == "/log-read")
        return read(machine, target, writer);
    if (path == "/log-append")
        return append(request, parameter(target, "topic"), writer);
    if (path == "/log-join" || path == "/log-leave" || path == "/log-owners")
        return join(request, writer);
    answer(writer, 404, {});
}

void log_store::append(
    const incoming_request& request, const std::string& topic, const std::shared_ptr<response_writer>& writer)
{
    auto& records = m_topics[topic];
    const std::string expectedEnd = parameter(request.head.target, "at");
    if (!expectedEnd.empty() && std::stoull(expectedEnd) != records.size())
        return answer(writer, 412, json { { "end_offset", records.size() } }.dump());
    const std::size_t first = records.size();
    std::string_view body = request.body;
    while (body.size() > 4) {
        std::size_t length = 0;
        for (const char byte : body.substr(0, 4))
            length = length << 8U | static_cast<unsigned char>(byte);
        const std::string_view bytes = body.substr(4, length);
        const auto keyBytes = static_cast<unsigned char>(bytes.front());
        records.push_back({ std::string(bytes.substr(1, keyBytes)), std::string(bytes.substr(1U + keyBytes)) });
        body.remove_prefix(4 + length);
    }
    const json reply { { "offset", first }, { "end_offset", records.size() } };
    completeReads(topic);
    answer(writer, 200, reply.dump());
}

void log_store::newest(const std::string& target, const std::shared_ptr<response_writer>& writer)
{
    const auto& records = m_topics[parameter(target, "topic")];
    const std::string after = parameter(target, "after");
    std::map<std::string, std::size_t> offsets;
    for (std::size_t i = 0; i < records.size(); ++i) {
        if (records[i].value.empty())
            offsets.erase(records[i].key);
        else
            offsets[records[i].key] = i;
    }
    json items = json::array();
    std::size_t bytes = 0;
    bool hasMore = false;
    for (auto entry = offsets.upper_bound(after); entry != offsets.end(); ++entry) {
        const std::string value = toBase64(records[entry->second].value);
        if (!items.empty() && (items.size() >= maxNewestItems || bytes + value.size() > maxNewestBytes)) {
            hasMore = true;
            break;
        }
        bytes += value.size();
        items.push_back({ { "key", entry->first }, { "value", value }, { "offset", entry->second } });
    }
    const json reply { { "items", items }, { "has_more", hasMore }, { "end_offset", records.size() } };
    answer(writer, 200, reply.dump());
}

void log_store::read(
    const std::string& machine, const std::string& target, const std::shared_ptr<response_writer>& writer)
{
    const std::string kilobytes = parameter(target, "max_read_kb");
    const pending_read waiting { machine, parameter(target, "topic"), std::stoull(parameter(target, "source")),
        (kilobytes.empty() ? 1024 : std::stoull(kilobytes)) * bytesPerKilobyte, writer };
    const std::string waitText = parameter(target, "wait_ms");
    const duration wait = std::chrono::milliseconds(waitText.empty() ? 0 : std::stol(waitText));
    if (waiting.from < m_topics[waiting.topic].size() || wait == duration::zero())
        return sendPage(waiting);
    m_pendingReads.push_back(waiting);
    m_loop.after(wait, [this, writer] {
        const auto found = std::find_if(m_pendingReads.begin(), m_pendingReads.end(),
            [&writer](const pending_read& item) { return item.writer == writer; });
        if (found == m_pendingReads.end())
            return;
        const pending_read expired = *found;
        m_pendingReads.erase(found);
        sendPage(expired);
    });
}

void log_store::sendPage(const pending_read& waiting)
{
    const auto& records = m_topics[waiting.topic];
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = waiting.from; i < records.size(); ++i) {
        const std::string bytes = static_cast<char>(records[i].key.size()) + records[i].key + records[i].value;
        // A page holds one record at least.
        if (i > waiting.from && body.size() + 4 + bytes.size() > waiting.maxBytes)
            break;
        body += bigEndian(bytes.size(), 4) + bytes;
    }
    answer(waiting.writer, 200, std::move(body));
}

void log_store::completeReads(const std::string& topic)
{
    const auto pendingReads = std::exchange(m_pendingReads, {});
    for (const pending_read& waiting : pendingReads) {
        if (waiting.topic == topic)
            sendPage(waiting);
        else
            m_pendingReads.push_back(waiting);
    }
}

void log_store::join(const incoming_request& request, const std::shared_ptr<response_writer>& writer)
{
    const std::string& target = request.head.target;
    const std::string path = target.substr(0, target.find('?'));
    const mono_time now = bootNow();
    const bool asksOwners = path == "/log-owners";
    const json body = asksOwners ? json::object() : json::parse(request.body);
    const std::string name = asksOwners ? parameter(target, "group") : body.at("group").get<std::string>();
    group_state& group = m_groups[name];
    const std::size_t before = group.members.size();
    std::erase_if(group.members, [now](const auto& member) { return member.second <= now; });
    bool changed = group.members.size() != before;
    if (path == "/log-join") {
        const auto member = body.at("member").get<std::string>();
        changed = !group.members.contains(member) || changed;
        group.members[member] = now + std::chrono::milliseconds(body.at("ttl_ms").get<std::int64_t>());
    } else if (path == "/log-leave") {
        changed = group.members.erase(body.at("member").get<std::string>()) > 0 || changed;
    }
    if (changed)
        dealPartitions(group);
    json rows = json::array();
    for (std::uint32_t part = 0; part < group.owners.size(); ++part)
        rows.push_back(json::array({ "balsamspring-pools", part, group.owners[part], 0 }));
    if (asksOwners)
        return answer(writer, 200, json { { "parts", rows } }.dump());
    answer(writer, 200, json { { "generation", group.generation }, { "parts", json::array() } }.dump());
}

void log_store::dealPartitions(group_state& group) const
{
    group.generation += 1;
    group.owners.clear();
    if (group.members.empty())
        return;
    auto member = group.members.begin();
    for (std::uint32_t part = 0; part < m_parts; ++part) {
        group.owners.push_back(member->first);
        if (++member == group.members.end())
            member = group.members.begin();
    }
}

void log_store::answer(const std::shared_ptr<response_writer>& writer, unsigned status, std::string body)
{
    const mono_time now = bootNow();
    m_readsBusyUntil
        = std::max(m_readsBusyUntil, now) + fromSeconds(static_cast<double>(body.size()) / readBytesPerSecond);
    m_loop.after(m_readsBusyUntil - now + callTime,
        [writer, status, text = std::move(body)] { writer->send(plainHead(status), text); });
}

} // namespace balsamspring::review

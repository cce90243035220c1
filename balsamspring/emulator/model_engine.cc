#include "balsamspring/emulator/model_engine.h"

#include "balsamspring/base/hash.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace balsamspring {

using json = nlohmann::json;

namespace {

constexpr std::size_t blockBytes = 64;
constexpr std::string_view streamsPath = "/v1/streams/";

std::uint64_t numberAfter(std::string_view text, std::string_view mark, std::uint64_t fallback)
{
    const auto found = text.find(mark);
    if (found == std::string_view::npos)
        return fallback;
    std::uint64_t value = fallback;
    std::from_chars(text.data() + found + mark.size(), text.data() + text.size(), value);
    return value;
}

std::uint32_t promptHash(std::string_view prompt) { return static_cast<std::uint32_t>(hash64(prompt)); }

std::string textOf(std::uint32_t hash, std::uint64_t sequence) { return fmt::format("{:08x}.{} ", hash, sequence); }

} // namespace

struct model_engine::reader {
    exchange_pointer exchange;
    std::uint64_t attempt = 0;
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    bool begun = false;
    bool mute = false; // by the fault `neverReply`
};

struct model_engine::stream {
    std::uint64_t id = 0;
    std::uint32_t priority = 0;
    std::uint64_t arrival = 0;
    std::string prompt;
    std::uint32_t hash = 0;
    std::uint64_t total = 0;
    std::uint64_t produced = 0;
    bool prefilled = false;
    bool inBatch = false;
    mono_time ready {}; // end of the prefill
    std::vector<reader_pointer> readers;
    std::uint64_t holdNumber = 0;

    bool complete() const { return produced >= total; }
};

model_engine::model_engine(model_engine_options options)
    : m_options(std::move(options))
    , m_models(m_options.models)
{
}

model_engine::~model_engine() { stop(); }

std::string model_engine::tokenText(std::string_view prompt, std::uint64_t sequence)
{
    return textOf(promptHash(prompt), sequence);
}

model_engine_counters model_engine::counters()
{
    model_engine_counters copy;
    m_server.run([&] { copy = m_counters; });
    return copy;
}

server_load model_engine::load()
{
    server_load copy;
    m_server.run([&] { copy = currentLoad(); });
    return copy;
}

server_load model_engine::currentLoad() const
{
    return { static_cast<std::uint32_t>(m_batch.size()), static_cast<std::uint32_t>(m_queue.size()) };
}

bool model_engine::handle(const exchange_pointer& exchange)
{
    const std::string& path = exchange->path();
    const std::string& method = exchange->method();
    if (path == "/v1/streams" && method == "POST") {
        openStream(exchange);
    } else if (path.starts_with(streamsPath) && method == "DELETE") {
        cancelStream(exchange);
    } else if (path == "/v1/state" && method == "GET") {
        replyState(exchange);
    } else if (path == "/v1/stats" && method == "GET") {
        replyStats(exchange);
    } else if (path == "/v1/load" && method == "GET") {
        const server_load load = reportedLoad();
        exchange->reply(200,
            json({ { "running", load.running }, { "queued", load.queued }, { "generation", m_generation } }).dump());
    } else {
        return false;
    }
    return true;
}

void model_engine::forgetWork()
{
    m_streams.clear();
    m_queue.clear();
    m_batch.clear();
    m_recentBlocks.clear();
    m_blocks.clear();
    m_stepping = false;
    m_models = m_options.models;
}

bool model_engine::hasModel(const std::string& model) const
{
    return m_options.models.empty() || std::ranges::any_of(m_models, [&](const std::string& loaded) {
        return loaded == model || loaded.substr(0, loaded.find('@')) == model;
    });
}

void model_engine::openStream(const exchange_pointer& exchange)
{
    const json body = json::parse(exchange->body());
    const auto id = body.at("stream_id").get<std::uint64_t>();
    const auto found = m_streams.find(id);
    if (found == m_streams.end() && body.value("join_only", false))
        return refuseWork(exchange, 404, "unknown_stream");
    if (!hasModel(body.value("model", "")))
        return refuseWork(exchange, 503, "model_not_loaded");

    const auto added = std::make_shared<reader>();
    added->exchange = exchange;
    added->attempt = body.at("attempt").get<std::uint64_t>();
    added->first = body.value("resume_from", std::uint64_t { 0 });
    added->next = added->first;
    added->mute = m_faults.neverReply;

    stream_pointer target;
    if (found != m_streams.end()) {
        ++m_counters.joined;
        target = found->second;
    } else {
        ++m_counters.started;
        target = std::make_shared<stream>();
        target->id = id;
        target->priority = body.value("priority", 0U);
        target->arrival = ++m_arrivals;
        target->prompt = body.at("prompt").get<std::string>();
        target->hash = promptHash(target->prompt);
        const auto limit = body.at("max_tokens").get<std::uint64_t>();
        target->total = std::min(limit, numberAfter(target->prompt, "[tokens=", limit));
        m_streams.emplace(id, target);
    }
    attach(target, added);
}

void model_engine::attach(const stream_pointer& target, const reader_pointer& added)
{
    target->readers.push_back(added);
    added->exchange->onClosed([this, weak = std::weak_ptr(target), weakReader = std::weak_ptr(added)] {
        const auto owner = weak.lock();
        const auto gone = weakReader.lock();
        if (owner && gone)
            detach(owner, gone);
    });
    if (!target->complete() && !target->inBatch)
        m_queue.emplace(std::pair(target->priority, target->arrival), target);
    fillBatch();
    noteLoad();
    afterUnlessCrashed(m_faults.answerLate, [this, target, added] {
        const server_load load = reportedLoad();
        added->begun = true;
        if (!added->mute) {
            added->exchange->begin(200, "application/x-ndjson");
            added->exchange->write(fmt::format("{{\"attempt\":{},\"generation\":{},\"running\":{},\"queued\":{}}}\n",
                sentAttempt(added->attempt), m_generation, load.running, load.queued));
        }
        deliverTo(target, added);
        scheduleStep();
    });
}

void model_engine::detach(const stream_pointer& target, const reader_pointer& removed)
{
    std::erase(target->readers, removed);
    if (target->readers.empty())
        holdWithoutReader(target);
}

// Keeps the stream, also a complete one, for a reader that comes back.
void model_engine::holdWithoutReader(const stream_pointer& target)
{
    m_queue.erase({ target->priority, target->arrival });
    if (std::exchange(target->inBatch, false))
        std::erase(m_batch, target);
    fillBatch();
    noteLoad();
    const std::uint64_t number = ++target->holdNumber;
    afterUnlessCrashed(m_options.hold, [this, target, number] {
        if (!target->readers.empty() || target->holdNumber != number)
            return;
        const auto found = m_streams.find(target->id);
        if (found == m_streams.end() || found->second != target)
            return;
        m_streams.erase(found);
        if (!target->complete())
            ++m_counters.dropped;
    });
}

void model_engine::cancelStream(const exchange_pointer& exchange)
{
    const auto id = numberAfter(exchange->path(), streamsPath, 0);
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return refuseWork(exchange, 404, "unknown_stream");
    const stream_pointer target = found->second;
    m_streams.erase(found);
    if (!target->complete())
        ++m_counters.cancelled;
    m_queue.erase({ target->priority, target->arrival });
    if (std::exchange(target->inBatch, false))
        std::erase(m_batch, target);
    for (const auto& item : std::exchange(target->readers, {})) {
        item->exchange->onClosed({});
        item->exchange->finish(); // without a last frame
    }
    fillBatch();
    noteLoad();
    exchange->reply(200, "{}");
}

void model_engine::fillBatch()
{
    while (m_batch.size() < m_options.maxBatch && !m_queue.empty()) {
        const stream_pointer next = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        next->inBatch = true;
        if (!std::exchange(next->prefilled, true)) {
            const double seconds = toSeconds(m_options.prefillPerBlock)
                * static_cast<double>(missingBlocks(next->prompt)) * m_faults.slowFactor;
            next->ready = monotonicNow() + fromSeconds(seconds);
        }
        m_batch.push_back(next);
    }
    scheduleStep();
}

void model_engine::scheduleStep()
{
    if (m_stepping)
        return;
    const bool lagging = std::ranges::any_of(
        m_streams, [](const auto& item) { return item.second->complete() && !item.second->readers.empty(); });
    if (m_batch.empty() && !lagging)
        return;
    m_stepping = true;
    const double others = m_batch.empty() ? 0 : static_cast<double>(m_batch.size() - 1);
    const double gap = toSeconds(m_options.tokenGap) + toSeconds(m_options.gapPerStream) * others;
    afterUnlessCrashed(fromSeconds(gap * m_faults.slowFactor), [this] { step(); });
}

// One decoding step: each stream of the batch generates one token.
void model_engine::step()
{
    m_stepping = false;
    if (m_faults.stopAnswering) {
        m_stepping = true;
        return afterUnlessCrashed(std::chrono::milliseconds(20), [this] { step(); });
    }
    const mono_time now = monotonicNow();
    for (const stream_pointer& target : std::vector(m_batch)) {
        const bool wanted = std::ranges::any_of(target->readers, [&](const auto& item) { return !waits(*item); });
        if (target->inBatch && target->ready <= now && wanted) {
            ++target->produced;
            ++m_counters.tokens;
        }
        if (target->complete() && std::exchange(target->inBatch, false))
            std::erase(m_batch, target);
    }
    std::vector<stream_pointer> all;
    for (const auto& item : m_streams) {
        if (!item.second->readers.empty())
            all.push_back(item.second);
    }
    for (const stream_pointer& target : all) {
        for (const reader_pointer& item : std::vector(target->readers))
            deliverTo(target, item);
    }
    fillBatch();
    noteLoad();
    scheduleStep();
}

bool model_engine::waits(const reader& item) const
{
    return !item.mute && (!item.begun || item.exchange->unsent() > m_options.maxUnsent);
}

void model_engine::deliverTo(const stream_pointer& target, const reader_pointer& to)
{
    const std::uint64_t attempt = sentAttempt(to->attempt);
    while (to->begun && !to->mute && to->next < target->produced && !waits(*to)) {
        if (m_faults.resetAfterTokens >= 0
            && to->next - to->first >= static_cast<std::uint64_t>(m_faults.resetAfterTokens))
            return to->exchange->reset();
        const std::string frame = fmt::format(
            "{{\"attempt\":{},\"seq\":{},\"text\":\"{}\"}}\n", attempt, to->next, textOf(target->hash, to->next));
        to->exchange->write(frame);
        if (m_faults.answerTwice)
            to->exchange->write(frame);
        ++to->next;
    }
    if (!to->begun || to->mute || !target->complete() || to->next < target->produced)
        return;
    const std::string last = fmt::format("{{\"attempt\":{},\"seq\":{},\"done\":true}}\n", attempt, target->total);
    to->exchange->write(m_faults.answerTwice ? last + last : last);
    to->exchange->finish();
    detach(target, to);
}

// Counts the blocks of the prompt's prefix that are not cached, and caches them.
std::size_t model_engine::missingBlocks(const std::string& prompt)
{
    std::size_t missing = 0;
    std::uint64_t prefix = 0;
    for (std::size_t first = 0; first < prompt.size(); first += blockBytes) {
        prefix = combineHash(prefix, hash64(std::string_view(prompt).substr(first, blockBytes)));
        const auto found = m_blocks.find(prefix);
        if (found != m_blocks.end()) {
            ++m_counters.cacheHits;
            m_recentBlocks.splice(m_recentBlocks.begin(), m_recentBlocks, found->second);
            continue;
        }
        ++missing;
        ++m_counters.cacheMisses;
        m_recentBlocks.push_front(prefix);
        m_blocks[prefix] = m_recentBlocks.begin();
        if (m_recentBlocks.size() > m_options.cacheBlocks) {
            m_blocks.erase(m_recentBlocks.back());
            m_recentBlocks.pop_back();
        }
    }
    return missing;
}

void model_engine::replyState(const exchange_pointer& exchange)
{
    exchange->reply(200, json({ { "generation", m_generation }, { "models", m_models }, { "role", "mixed" } }).dump());
}

void model_engine::replyStats(const exchange_pointer& exchange)
{
    const server_load load = currentLoad();
    exchange->reply(200,
        json({ { "started", m_counters.started }, { "joined", m_counters.joined },
                 { "cancelled", m_counters.cancelled }, { "dropped", m_counters.dropped },
                 { "tokens", m_counters.tokens }, { "cache_hits", m_counters.cacheHits },
                 { "cache_misses", m_counters.cacheMisses }, { "running", load.running }, { "queued", load.queued } })
            .dump());
}

} // namespace balsamspring

// Stand-in for a model engine: continuous batching, prefix cache, streams by id.
#pragma once

#include "balsamspring/emulator/stand_in_server.h"

#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsamspring {

struct model_engine_options {
    std::size_t maxBatch = 32; // streams that generate at a time; others wait by priority, then by arrival
    duration tokenGap = std::chrono::milliseconds(20); // between tokens of a stream that runs alone
    duration gapPerStream = std::chrono::microseconds(500); // added for each other stream of the batch
    duration prefillPerBlock = std::chrono::milliseconds(2); // time to the first token per block not in the cache
    std::size_t cacheBlocks = 4096; // blocks of 64 bytes of prompt prefix
    duration hold = std::chrono::seconds(10); // how long a stream without a reader is kept
    std::size_t maxUnsent = std::size_t { 16 } * 1024; // bytes per reader above which generation waits
    std::vector<std::string> models; // "name@version"; empty: every model is served
};

struct model_engine_counters {
    std::uint64_t started = 0; // streams
    std::uint64_t joined = 0; // requests for a stream that existed
    std::uint64_t cancelled = 0;
    std::uint64_t dropped = 0; // streams that nobody came back for
    std::uint64_t tokens = 0; // generated
    std::uint64_t cacheHits = 0; // blocks
    std::uint64_t cacheMisses = 0;
};

// A prompt that contains "[tokens=N]" ends after N tokens. `GET /v1/stats` shows the counters. A stream without a
// reader does not generate and frees its place in the batch.
class model_engine : public stand_in_server {
public:
    explicit model_engine(model_engine_options options = {});
    ~model_engine() override;

    // The text of a token; it depends on the prompt, so that a test sees text of another request.
    static std::string tokenText(std::string_view prompt, std::uint64_t sequence);

    model_engine_counters counters();
    server_load load();

protected:
    bool handle(const exchange_pointer& exchange) override;
    void forgetWork() override;
    server_load currentLoad() const override;

private:
    struct reader;
    struct stream;
    using stream_pointer = std::shared_ptr<stream>;
    using reader_pointer = std::shared_ptr<reader>;

    void openStream(const exchange_pointer& exchange);
    void attach(const stream_pointer& target, const reader_pointer& added);
    void detach(const stream_pointer& target, const reader_pointer& removed);
    void holdWithoutReader(const stream_pointer& target);
    void cancelStream(const exchange_pointer& exchange);
    void replyState(const exchange_pointer& exchange);
    void replyStats(const exchange_pointer& exchange);

    bool hasModel(const std::string& model) const;
    void fillBatch();
    void scheduleStep();
    void step();
    void deliverTo(const stream_pointer& target, const reader_pointer& to);
    bool waits(const reader& item) const;
    std::size_t missingBlocks(const std::string& prompt);

    model_engine_options m_options;
    std::map<std::uint64_t, stream_pointer> m_streams;
    std::map<std::pair<std::uint32_t, std::uint64_t>, stream_pointer> m_queue; // by priority and arrival
    std::vector<stream_pointer> m_batch;
    std::uint64_t m_arrivals = 0;
    bool m_stepping = false;
    model_engine_counters m_counters;

    std::list<std::uint64_t> m_recentBlocks; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;

    std::vector<std::string> m_models;
};

} // namespace balsamspring

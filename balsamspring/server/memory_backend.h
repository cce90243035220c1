// Backend servers inside this process, for tests and the embedded mode. Answers are made from the prompt.
#pragma once

#include "balsamspring/backend/backend_client.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace balsamspring {

struct memory_backend_options {
    std::uint32_t tokens = 12; // per stream
    duration tokenInterval = std::chrono::milliseconds(30);
    duration callTime = std::chrono::milliseconds(20);
    std::string padding; // appended to each token, to fill buffers
};

// Fault switches, per address.
struct memory_backend_faults {
    std::set<std::string> refusing; // refuse connections and have forgotten their streams
    std::set<std::string> silent; // accept and send nothing
    std::set<std::string> crossed; // send each frame also under another attempt and twice
    std::uint64_t breakAfter = 0; // the next stream breaks after so many tokens; 0 means never
};

// Thread safe. A stream continues while its reader is away, unless it is paused.
class memory_backend : public backend_client, public std::enable_shared_from_this<memory_backend> {
public:
    explicit memory_backend(const memory_backend_options& options);
    ~memory_backend() override;

    void setFaults(const memory_backend_faults& faults);
    std::uint64_t tokensGenerated() const { return m_tokensGenerated; }
    std::uint64_t streamsCancelled() const { return m_streamsCancelled; }

    std::shared_ptr<backend_stream> openStream(
        const std::string& address, const stream_request& request, stream_handlers handlers) override;
    void cancelStream(const std::string& address, stream_id stream, std::function<void(result<void>)> done) override;
    void call(
        const std::string& address, const call_request& request, std::function<void(result<call_reply>)> done) override;
    void queryState(
        const std::string& address, duration timeout, std::function<void(result<engine_state>)> done) override;

private:
    struct connection;
    using stream_key = std::pair<std::string, stream_id>;

    void step(const std::shared_ptr<connection>& open);
    void deliver(const std::shared_ptr<connection>& open);

    const memory_backend_options m_options;
    std::mutex m_mutex;
    memory_backend_faults m_faults;
    std::set<stream_key> m_streams;
    std::atomic<std::uint64_t> m_tokensGenerated { 0 };
    std::atomic<std::uint64_t> m_streamsCancelled { 0 };
};

} // namespace balsamspring

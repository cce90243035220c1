// Serves other VMs: takes their pieces into this VM's queues and answers with the results.
#pragma once

#include "balsamspring/gateway/config_state.h"
#include "balsamspring/gateway/piece_service.h"
#include "balsamspring/gateway/pool_ownership.h"
#include "balsamspring/net/http_service.h"

#include <memory>
#include <string>
#include <string_view>

namespace balsamspring {

inline constexpr std::string_view gatherPath = "/v1/pieces";
inline constexpr std::string_view releasePath = "/v1/releases";

struct gather_answer {
    bool readable = false;
    result<std::vector<piece_result>> outcome;
};

// `redirected`: the owner could not be reached, or the VM that was asked first named the receiver.
std::string encodeGatherRequest(const piece_work& work, bool redirected, mono_time now);
gather_answer decodeGatherReply(const std::string& bytes);
std::string encodeRelease(const pool_id& pool, const std::vector<piece_result>& results);

struct gatherer_options {
    duration progressInterval = std::chrono::milliseconds(250); // an answer in progress shows a sign of life this often
};

class piece_gatherer {
public:
    // Work for a pool that this VM does not gather for is declined, naming the VM that does if it is known.
    piece_gatherer(gatherer_options options, event_loop& loop, piece_service& pieces, const config_state& config,
        pool_ownership* const& ownership);

    // Answers one request of another VM.
    void handle(const incoming_request& request, const std::shared_ptr<response_writer>& writer);

private:
    void gather(const incoming_request& request, const std::shared_ptr<response_writer>& writer);
    void release(const incoming_request& request, const std::shared_ptr<response_writer>& writer);

    gatherer_options m_options;
    event_loop& m_loop;
    piece_service& m_pieces;
    const config_state& m_config;
    pool_ownership* const& m_ownership; // null until the VM has joined others
};

} // namespace balsamspring

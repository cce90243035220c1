// Queues the pieces that other VMs send to this VM and answers with the results.
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

struct decoded_gather_reply {
    bool wellFormed = false; // outcome is valid only if set
    result<std::vector<piece_result>> outcome;
};

// `redirected`: the receiver is not the first VM tried: the owner could not be reached, or another VM named the
// receiver.
std::string encodeGatherRequest(const piece_work& work, bool redirected, mono_time now);
decoded_gather_reply decodeGatherReply(const std::string& bytes);
std::string encodeRelease(const pool_id& pool, const std::vector<piece_result>& results);

struct gatherer_options {
    duration keepAliveInterval = std::chrono::milliseconds(250); // between the bytes that precede a reply
};

class piece_gatherer {
public:
    // Declines work for a pool that this VM does not gather for, with the address of the owner if that is known.
    // `ownership` is null until this VM takes part in the ownership of pools.
    piece_gatherer(gatherer_options options, event_loop& loop, piece_service& pieces, const config_state& config,
        pool_ownership* const& ownership);

    // Answers a request of another VM to `gatherPath` or `releasePath`.
    void handle(const incoming_request& request, const std::shared_ptr<response_writer>& writer);

private:
    void gather(const incoming_request& request, const std::shared_ptr<response_writer>& writer);
    void release(const incoming_request& request, const std::shared_ptr<response_writer>& writer);

    gatherer_options m_options;
    event_loop& m_loop;
    piece_service& m_pieces;
    const config_state& m_config;
    pool_ownership* const& m_ownership; // null until this VM takes part in the ownership of pools
};

} // namespace balsamspring

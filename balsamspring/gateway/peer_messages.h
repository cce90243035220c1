// HTTP messages between VMs, and answers of the readiness and metrics endpoints.
#pragma once

#include "balsamspring/net/connection.h"
#include "balsamspring/net/http_message.h"

#include <string>
#include <string_view>

namespace balsamspring {

inline constexpr unsigned peerOk = 200;
inline constexpr unsigned peerBadRequest = 400; // malformed message
inline constexpr unsigned peerNotOwner = 421; // this VM does not relay the topic
inline constexpr unsigned peerUnavailable = 503; // temporarily unable to serve the request

// Head of a response without header fields.
http_head peerHead(unsigned status);
// A complete request to another VM, head and body.
std::string peerRequest(const endpoint& peer, std::string_view path, const std::string& body);

} // namespace balsamspring

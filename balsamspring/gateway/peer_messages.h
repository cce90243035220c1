// HTTP messages between VMs, and of the readiness and metrics addresses.
#pragma once

#include "balsamspring/net/connection.h"
#include "balsamspring/net/http_message.h"

#include <string>
#include <string_view>

namespace balsamspring {

inline constexpr unsigned peerOk = 200;
inline constexpr unsigned peerBadRequest = 400; // the message cannot be read
inline constexpr unsigned peerNotOwner = 421; // this VM does not pass the topic on
inline constexpr unsigned peerUnavailable = 503; // this VM cannot do it now

// Head of a response without fields.
http_head peerHead(unsigned status);
// A whole request to another VM.
std::string peerRequest(const endpoint& peer, std::string_view path, const std::string& body);

} // namespace balsamspring

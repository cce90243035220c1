#include "balsamspring/gateway/peer_messages.h"

namespace balsamspring {

http_head peerHead(unsigned status)
{
    http_head head;
    head.status = status;
    head.reason = status == peerOk ? "OK" : "Declined";
    return head;
}

std::string peerRequest(const endpoint& peer, std::string_view path, const std::string& body)
{
    http_head head;
    head.method = "POST";
    head.target = path;
    head.fields = { { "Host", toString(peer) }, { "Content-Length", std::to_string(body.size()) } };
    return formatHead(head) + body;
}

} // namespace balsamspring

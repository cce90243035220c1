// The accepted connections of one listening port of this process, as the kernel sees them.
#pragma once

#include "balsamspring/server/connection_guard.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamspring {

class socket_table {
public:
    // The port of "127.0.0.1:8080".
    explicit socket_table(const std::string& listenAddress);

    std::vector<connection_sample> sample();

    // Ends a connection of the last sample; the HTTP library then sees it as closed by its peer.
    void shutDown(std::uint64_t id);

    // Bounds what the kernel keeps for a caller that does not read. Holds for connections accepted from now on.
    void limitSendBuffer(int bytes);

private:
    std::uint16_t m_port = 0;
    std::map<std::uint64_t, int> m_descriptors; // of the last sample, by socket inode
};

} // namespace balsamspring

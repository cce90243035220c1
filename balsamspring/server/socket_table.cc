#include "balsamspring/server/socket_table.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <optional>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace balsamspring {

namespace {

// Local TCP port of a descriptor; nothing when it is no TCP socket.
std::optional<std::uint16_t> localPort(int descriptor)
{
    sockaddr_storage address {};
    socklen_t size = sizeof(address);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size))
        return std::nullopt;
    if (address.ss_family == AF_INET)
        return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
    if (address.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
    return std::nullopt;
}

bool isListening(int descriptor)
{
    int value = 0;
    socklen_t size = sizeof(value);
    return !getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &value, &size) && value;
}

std::vector<int> ownDescriptors()
{
    std::vector<int> list;
    std::error_code status;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", status)) {
        const std::string name = entry.path().filename().string();
        int descriptor = 0;
        if (std::from_chars(name.data(), name.data() + name.size(), descriptor).ec == std::errc())
            list.push_back(descriptor);
    }
    return list;
}

// The inode tells two connections apart that use the same descriptor one after the other.
std::optional<std::uint64_t> inodeOf(int descriptor)
{
    struct stat info { };
    if (fstat(descriptor, &info))
        return std::nullopt;
    return info.st_ino;
}

} // namespace

socket_table::socket_table(const std::string& listenAddress)
{
    const auto colon = listenAddress.rfind(':');
    if (colon != std::string::npos)
        std::from_chars(listenAddress.data() + colon + 1, listenAddress.data() + listenAddress.size(), m_port);
}

std::vector<connection_sample> socket_table::sample()
{
    std::vector<connection_sample> samples;
    m_descriptors.clear();
    for (const int descriptor : ownDescriptors()) {
        if (localPort(descriptor) != m_port || isListening(descriptor))
            continue;
        tcp_info info {};
        socklen_t size = sizeof(info);
        const auto inode = inodeOf(descriptor);
        if (!inode || getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size))
            continue;
        samples.push_back({ *inode, info.tcpi_bytes_received, info.tcpi_bytes_acked });
        m_descriptors[*inode] = descriptor;
    }
    return samples;
}

void socket_table::shutDown(std::uint64_t id)
{
    const auto found = m_descriptors.find(id);
    if (found == m_descriptors.end())
        return;
    // The library may close the descriptor at any time, and another connection may then use the number. A duplicate
    // keeps referring to one connection between the check and the shutdown.
    const int duplicate = dup(found->second);
    if (duplicate < 0)
        return;
    if (inodeOf(duplicate) == id)
        shutdown(duplicate, SHUT_RDWR);
    close(duplicate);
}

void socket_table::limitSendBuffer(int bytes)
{
    for (const int descriptor : ownDescriptors()) {
        if (localPort(descriptor) == m_port && isListening(descriptor))
            setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
    }
}

} // namespace balsamspring

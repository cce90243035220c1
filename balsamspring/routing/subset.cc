#include "balsamspring/routing/subset.h"

#include "balsamspring/base/hash.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace balsamspring {

namespace {

struct ranked_server {
    std::uint64_t rank = 0;
    std::size_t index = 0;

    friend bool operator<(const ranked_server& a, const ranked_server& b) { return a.rank > b.rank; }
};

// Assigns subsets to VMs one after another.
class assignment {
public:
    assignment(std::size_t vmCount, const std::vector<placed_server>& servers, const subset_options& options)
        : m_servers(servers)
        , m_options(options)
        , m_subsetCounts(servers.size())
    {
        const double mean = static_cast<double>(vmCount * options.size)
            / static_cast<double>(std::max<std::size_t>(1, servers.size()));
        m_maxSubsets = static_cast<std::size_t>(std::ceil(mean * options.slack));
        for (const auto& server : servers)
            m_hashes.push_back(hash64(server.id.value()));
    }

    std::vector<std::size_t> assign(const placed_vm& vm)
    {
        std::vector<ranked_server> local;
        std::vector<ranked_server> remote;
        const auto vmHash = hash64(vm.id.value());
        for (std::size_t i = 0; i < m_servers.size(); ++i)
            (m_servers[i].zone == vm.zone ? local : remote).push_back({ combineHash(vmHash, m_hashes[i]), i });
        std::sort(local.begin(), local.end());
        std::sort(remote.begin(), remote.end());
        const auto localSize = static_cast<std::size_t>(static_cast<double>(m_options.size) * m_options.localShare);
        std::vector<std::size_t> chosen;
        moveServers(local, localSize, true, chosen);
        moveServers(remote, m_options.size, true, chosen);
        moveServers(local, m_options.size, true, chosen);
        // Exceeds the limit only when the servers within it do not fill the subset, which the slack makes rare.
        moveServers(remote, m_options.size, false, chosen);
        moveServers(local, m_options.size, false, chosen);
        return chosen;
    }

private:
    // Moves servers from `ranked` to `chosen` until it holds `size`.
    void moveServers(
        std::vector<ranked_server>& ranked, std::size_t size, bool bounded, std::vector<std::size_t>& chosen)
    {
        std::vector<ranked_server> remaining;
        for (const auto& item : ranked) {
            const bool full = bounded && m_subsetCounts[item.index] >= m_maxSubsets;
            if (chosen.size() >= size || full) {
                remaining.push_back(item);
                continue;
            }
            chosen.push_back(item.index);
            ++m_subsetCounts[item.index];
        }
        ranked = std::move(remaining);
    }

    const std::vector<placed_server>& m_servers;
    subset_options m_options;
    std::vector<std::uint64_t> m_hashes;
    std::vector<std::size_t> m_subsetCounts;
    std::size_t m_maxSubsets = 0;
};

} // namespace

std::vector<std::size_t> chooseSubset(const placed_vm& self, std::vector<placed_vm> vms,
    const std::vector<placed_server>& servers, const subset_options& options)
{
    std::vector<std::size_t> chosen;
    if (servers.size() <= options.size) {
        for (std::size_t i = 0; i < servers.size(); ++i)
            chosen.push_back(i);
        return chosen;
    }
    if (std::none_of(vms.begin(), vms.end(), [&](const placed_vm& vm) { return vm.id == self.id; }))
        vms.push_back(self);
    std::sort(vms.begin(), vms.end(), [](const placed_vm& a, const placed_vm& b) {
        return std::pair(hash64(a.id.value()), a.id.value()) < std::pair(hash64(b.id.value()), b.id.value());
    });
    assignment subsets(vms.size(), servers, options);
    for (const auto& vm : vms) {
        chosen = subsets.assign(vm);
        if (vm.id == self.id)
            break;
    }
    return chosen;
}

} // namespace balsamspring

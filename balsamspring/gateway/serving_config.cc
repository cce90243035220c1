#include "balsamspring/gateway/serving_config.h"

#include <algorithm>
#include <cctype>

namespace balsamspring {

namespace {

std::string hostWithoutPort(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    return name;
}

} // namespace

serving_config::serving_config(serving_config_data data)
    : m_data(std::move(data))
{
    for (const route_spec& route : m_data.routes)
        m_routesByHost[hostWithoutPort(route.host)].push_back(&route);
    for (auto& [host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const route_spec* a, const route_spec* b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
    for (const pool_spec& pool : m_data.pools)
        m_pools.emplace(pool.id, &pool);
    for (const team_spec& team : m_data.teams) {
        for (const std::string& key : team.keys)
            m_teamByKey.emplace(key, &team);
    }
}

const route_spec* serving_config::match(std::string_view host, std::string_view target) const
{
    const auto found = m_routesByHost.find(hostWithoutPort(host));
    if (found == m_routesByHost.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const route_spec* route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const pool_spec* serving_config::pool(const pool_id& id) const
{
    const auto found = m_pools.find(id);
    return found == m_pools.end() ? nullptr : found->second;
}

const team_spec* serving_config::teamOfKey(const std::string& key) const
{
    const auto found = m_teamByKey.find(key);
    return found == m_teamByKey.end() ? nullptr : found->second;
}

} // namespace balsamspring

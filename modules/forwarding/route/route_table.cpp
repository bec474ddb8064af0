#include "forwarding/route/route_table.h"

#include "foundation/hashing/stable_hash.h"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>
#include <utility>

namespace quetzal {

route_table::route_table(route_table_options options)
    : m_options(std::move(options))
{
    for (std::size_t index = 0; index < m_options.routes.size(); ++index)
        m_routesOfHost[boost::to_lower_copy(m_options.routes[index].host)].push_back(index);
    for (auto &[host, indexes] : m_routesOfHost) {
        std::sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
            return m_options.routes[left].pathPrefix.size()
                > m_options.routes[right].pathPrefix.size();
        });
    }
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const std::string_view name = host.substr(0, host.find(':'));
    const auto found = m_routesOfHost.find(boost::to_lower_copy(std::string(name)));
    if (found == m_routesOfHost.end())
        return nullptr;
    for (std::size_t index : found->second) {
        if (path.starts_with(m_options.routes[index].pathPrefix))
            return &m_options.routes[index];
    }
    return nullptr;
}

const service_description *route_table::service(const std::string &name) const
{
    const auto found
        = std::find_if(m_options.services.begin(), m_options.services.end(),
                       [&](const service_description &entry) { return entry.name == name; });
    return found == m_options.services.end() ? nullptr : &*found;
}

const std::string *route_table::workspaceOf(const std::string &key) const
{
    const auto found = m_options.workspaceOfKey.find(key);
    return found == m_options.workspaceOfKey.end() ? nullptr : &found->second;
}

const std::string &serviceFor(const route &route, std::string_view requestId)
{
    double total = 0.0;
    for (const weighted_service &entry : route.services)
        total += entry.weight;
    constexpr std::uint64_t steps = 1000003;
    double point = total * static_cast<double>(stableHash(requestId) % steps) / steps;
    for (const weighted_service &entry : route.services) {
        point -= entry.weight;
        if (point < 0.0)
            return entry.service;
    }
    return route.services.back().service;
}

} // namespace quetzal

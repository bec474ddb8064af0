#include "transport/link/message_network.h"

#include "transport/link/message_network_implementation.h"

#include <utility>

namespace quetzal {

message_network::message_network(message_network_options options)
    : m_implementation(std::make_unique<implementation>(std::move(options)))
{
}

message_network::~message_network() = default;

void message_network::start()
{
    m_implementation->start();
}

void message_network::stop()
{
    m_implementation->stop();
}

void message_network::setPeers(std::map<std::string, endpoint> schedulerByVm)
{
    m_implementation->setPeers(std::move(schedulerByVm));
}

void message_network::send(const node_id &to, const message &content)
{
    m_implementation->send(to, content);
}

network_counts message_network::counts() const
{
    return m_implementation->counts();
}

} // namespace quetzal

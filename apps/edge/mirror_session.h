#pragma once

#include "apps/edge/event_log.h"
#include "apps/edge/http_client.h"
#include "directory/mirror/mirror_follower.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace quetzal {

/** What mirror_session tells its owner. */
struct mirror_callbacks
{
    /** Keys changed; first: they come from the first listing. */
    std::function<void(const std::vector<key_change> &, bool first)> onChanges;
    /** The store answers again, or no longer. */
    std::function<void(bool inTouch)> onTouch;
};

/** Follows one prefix of the key-value service over its own connection. */
class mirror_session
{
public:
    mirror_session(boost::asio::io_context &loop, event_log &log, const network_address &store,
                   std::string prefix, mirror_callbacks callbacks);

    void start();
    void stop();
    const mirror_follower &follower() const { return m_follower; }
    /** A full listing came from another source. */
    void applyForeign(const std::vector<stored_item> &items, std::int64_t at);

private:
    void step();
    void run(const follower_step &step);
    void onResult(const follower_step &step, const std::optional<http_result> &result);
    bool apply(const follower_step &step, const http_result &result);
    void tell(const std::vector<key_change> &changes, bool first);
    void tellTouch();

    boost::asio::steady_timer m_timer;
    event_log &m_log;
    http_client m_client;
    mirror_follower m_follower;
    mirror_callbacks m_callbacks;
    bool m_wasInTouch = false;
};

} // namespace quetzal

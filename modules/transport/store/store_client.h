#pragma once

#include "ownership/store/store_types.h"
#include "transport/link/message_network.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quetzal {

/** Options of store_client. */
struct store_client_options
{
    endpoint address;
    /** Only keys with this prefix are read and watched. */
    std::string keyPrefix;
};

/** Client of the key-value service through etcd's v3 JSON gateway. */
class store_client
{
public:
    explicit store_client(store_client_options options);
    ~store_client();
    store_client(const store_client &) = delete;
    store_client &operator=(const store_client &) = delete;

    /** Performs one request; blocks for at most one second. */
    store_reply perform(const store_request &request);
    /** Returns all keys with the prefix, or nothing if the store did not answer. */
    std::optional<store_view> read();
    /**
     * Reads and then watches the keys with the prefix on its own thread until destruction. Calls
     * onView with the whole view at first and after each change, and onUnavailable once per outage
     * when the store does not answer.
     */
    void watch(std::function<void(const store_view &)> onView, std::function<void()> onUnavailable);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace quetzal

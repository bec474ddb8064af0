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
    /** Only keys below this prefix are read and watched. */
    std::string keyPrefix;
};

/** Talks to the key-value service through etcd's v3 JSON gateway. */
class store_client
{
public:
    explicit store_client(store_client_options options);
    ~store_client();
    store_client(const store_client &) = delete;
    store_client &operator=(const store_client &) = delete;

    /** Performs one request; blocks for a second at most. */
    store_reply perform(const store_request &request);
    /** All keys below the prefix, or nothing when the store did not answer. */
    std::optional<store_view> read();
    /**
     * Reads and then watches the keys below the prefix on a thread of its own until destruction;
     * calls onView with the whole view after each change and onUnavailable when the store is lost.
     */
    void watch(std::function<void(const store_view &)> onView, std::function<void()> onUnavailable);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace quetzal

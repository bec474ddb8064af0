#pragma once

#include "apps/admin/admin_settings.h"
#include "transport/store/store_client.h"

#include <map>
#include <memory>
#include <string>

namespace quetzal {

/** Accesses the configuration keys of several environments in the store. Thread-safe. */
class environment_store
{
public:
    explicit environment_store(const admin_settings &settings);

    /**
     * Reads all configuration keys below an environment's prefix. Sleeps for 200 ms after a
     * failure.
     */
    std::optional<store_view> read(const std::string &keyPrefix);
    /** Performs a transaction; sleeps for 200 ms after one whose outcome is unknown. */
    store_reply perform(const store_transaction &transaction);

private:
    std::map<std::string, std::unique_ptr<store_client>> m_clients;
};

} // namespace quetzal

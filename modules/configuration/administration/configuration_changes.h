#pragma once

#include "configuration/administration/stored_configuration.h"
#include "configuration/revision/configuration_editor.h"

#include <utility>

namespace quetzal {

/** Loads and changes configurations in a store. Keeps no state between calls. */
template <configuration_store Store>
class configuration_changes
{
public:
    /** The store must outlive this object. */
    explicit configuration_changes(Store &store)
        : m_store(store)
    {
    }

    /** Loads the configuration of the environment with this key prefix. */
    stored_configuration load(const std::string &keyPrefix)
    {
        return readStoredConfiguration(m_store.read(keyPrefix), {keyPrefix});
    }

    /** Performs a change and blocks until it has succeeded or failed. */
    configuration_change_result write(configuration_editor_options options)
    {
        const std::string keyPrefix = options.keyPrefix;
        configuration_editor editor(std::move(options));
        for (;;) {
            const editor_step step = editor.nextStep();
            if (const auto *result = std::get_if<configuration_change_result>(&step))
                return *result;
            if (const auto *transaction = std::get_if<store_transaction>(&step))
                editor.onReply(m_store.perform(*transaction));
            else
                editor.onView(m_store.read(keyPrefix));
        }
    }

private:
    Store &m_store;
};

} // namespace quetzal

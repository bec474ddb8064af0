#pragma once

#include "configuration/administration/stored_configuration.h"
#include "configuration/revision/configuration_editor.h"

#include <utility>

namespace quetzal {

/** Reads and changes configurations through a store; keeps nothing between calls. */
template <configuration_store Store>
class configuration_changes
{
public:
    /** The store must outlive this object. */
    explicit configuration_changes(Store &store)
        : m_store(store)
    {
    }

    /** The configuration of the environment with this key prefix. */
    stored_configuration load(const std::string &keyPrefix)
    {
        return readStoredConfiguration(m_store.read(keyPrefix), {keyPrefix});
    }

    /** Performs one change to its end. */
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

#pragma once

#include "configuration/document/configuration_document.h"
#include "configuration/revision/configuration_head.h"
#include "foundation/errors/result_code.h"
#include "ownership/store/store_types.h"

#include <concepts>
#include <optional>
#include <string>

namespace quetzal {

/** The store interface that administration requires: reads of a key prefix and transactions. */
template <typename Store>
concept configuration_store
    = requires(Store &store, const store_transaction &transaction, const std::string &keyPrefix)
{
    {
        store.read(keyPrefix)
        } -> std::same_as<std::optional<store_view>>;
    {
        store.perform(transaction)
        } -> std::same_as<store_reply>;
};

/** The configuration of one environment as read from the store. */
struct stored_configuration
{
    /** Ok, StoreUnavailable or StoredDocumentDamaged. */
    result_code code = result_code::Ok;
    /** 0, with an empty document, if the environment has no configuration yet. */
    std::int64_t revision = 0;
    std::string digest;
    std::string text;
    configuration_document document;

    bool operator==(const stored_configuration &) const = default;
};

/** Extracts the configuration from a view of the store; no view means StoreUnavailable. */
stored_configuration readStoredConfiguration(const std::optional<store_view> &view,
                                             const configuration_keys &keys);

} // namespace quetzal

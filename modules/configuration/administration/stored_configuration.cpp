#include "configuration/administration/stored_configuration.h"

#include "configuration/revision/configuration_follower.h"

namespace quetzal {

stored_configuration readStoredConfiguration(const std::optional<store_view> &view,
                                             const configuration_keys &keys)
{
    stored_configuration result;
    if (!view) {
        result.code = result_code::StoreUnavailable;
        return result;
    }
    configuration_follower follower({.keyPrefix = keys.prefix});
    const adoption_result adoption = follower.onStoreView(*view);
    if (adoption == adoption_result::HeadAbsent)
        return result;
    if (adoption != adoption_result::Adopted) {
        result.code = result_code::StoredDocumentDamaged;
        return result;
    }
    const auto snapshot = follower.current();
    return {.code = result_code::Ok,
            .revision = snapshot->revision,
            .digest = snapshot->digest,
            .text = snapshot->text,
            .document = snapshot->document};
}

} // namespace quetzal

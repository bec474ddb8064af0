#include "apps/admin/environment_store.h"

#include <absl/time/clock.h>

namespace quetzal {

namespace {

constexpr absl::Duration delayAfterNoAnswer = absl::Milliseconds(200);

} // namespace

environment_store::environment_store(const admin_settings &settings)
{
    for (const admin_environment &environment : settings.environments)
        m_clients[environment.keyPrefix()] = std::make_unique<store_client>(store_client_options {
            .address = settings.store, .keyPrefix = environment.keyPrefix() + "/configuration/"});
}

std::optional<store_view> environment_store::read(const std::string &keyPrefix)
{
    std::optional<store_view> view = m_clients.at(keyPrefix)->read();
    if (!view)
        absl::SleepFor(delayAfterNoAnswer);
    return view;
}

store_reply environment_store::perform(const store_transaction &transaction)
{
    const store_reply reply = m_clients.begin()->second->perform(transaction);
    if (reply.outcome == store_outcome::Unknown)
        absl::SleepFor(delayAfterNoAnswer);
    return reply;
}

} // namespace quetzal

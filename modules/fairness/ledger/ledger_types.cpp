#include "fairness/ledger/ledger_types.h"

#include <charconv>

namespace quetzal {

namespace {

constexpr char separator = '#';

} // namespace

std::string toText(const ledger_writer_name &name)
{
    return name.shard + separator + std::to_string(name.epoch);
}

std::optional<ledger_writer_name> parseLedgerWriterName(std::string_view text)
{
    const auto position = text.rfind(separator);
    if (position == std::string_view::npos)
        return std::nullopt;
    ledger_writer_name name {.shard = std::string(text.substr(0, position))};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + position + 1, end, name.epoch);
    if (error != std::errc {} || stop != end)
        return std::nullopt;
    return name;
}

} // namespace quetzal

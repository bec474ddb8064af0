#pragma once

#include "fairness/ledger/ledger_types.h"
#include "protocol/messages/message.h"

namespace quetzal {

/** Converts a ledger change to its message. */
protocol::ledger_delta toMessage(const ledger_change &change);
/** Converts a message to its ledger change. */
ledger_change fromMessage(const protocol::ledger_delta &delta);
/** Converts a home's answer to its message. */
protocol::ledger_totals toMessage(const ledger_answer &answer);
/** Converts a message to the home's answer. */
ledger_answer fromMessage(const protocol::ledger_totals &totals);

} // namespace quetzal

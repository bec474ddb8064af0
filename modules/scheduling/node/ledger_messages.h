#pragma once

#include "fairness/ledger/ledger_types.h"
#include "protocol/messages/message.h"

namespace quetzal {

/** The wire form of a ledger change. */
protocol::ledger_delta toMessage(const ledger_change &change);
/** The ledger change in a message. */
ledger_change fromMessage(const protocol::ledger_delta &delta);
/** The wire form of a home's answer. */
protocol::ledger_totals toMessage(const ledger_answer &answer);
/** The home's answer in a message. */
ledger_answer fromMessage(const protocol::ledger_totals &totals);

} // namespace quetzal

#include "protocol/protocol.h"
#include "scheduling/node/ledger_messages.h"

#include <catch2/catch.hpp>

using namespace quetzal;

SCENARIO("ledger changes and answers are unchanged by encoding and decoding")
{
    const ledger_line line {.workspace = "town",
                            .charged = 1.5,
                            .totalKnown = 2.5,
                            .lift = 3.5,
                            .included = 4.5,
                            .totalVersion = 6,
                            .liftRaise = 7.5};
    const ledger_change change {.service = "roster",
                                .writer = "roster/nashua/0#3",
                                .sequence = 9,
                                .lines = {line},
                                .homeIncarnation = 10,
                                .knownHomeVersion = 11};
    const auto delta = decodeMessage(encodeMessage(toMessage(change)));
    REQUIRE(delta.has_value());
    CHECK(fromMessage(std::get<protocol::ledger_delta>(*delta)) == change);

    const ledger_answer answer {.service = "roster",
                                .writer = "roster/nashua/0#3",
                                .homeIncarnation = 12,
                                .acknowledgedSequence = 13,
                                .lines = {line},
                                .version = 14};
    const auto totals = decodeMessage(encodeMessage(toMessage(answer)));
    REQUIRE(totals.has_value());
    CHECK(fromMessage(std::get<protocol::ledger_totals>(*totals)) == answer);
}

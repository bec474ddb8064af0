#include "foundation/foundation.h"

#include <catch2/catch.hpp>

using namespace quetzal;

SCENARIO("all faults of a settings document are reported")
{
    GIVEN("a document with comments and several faults")
    {
        const json_parse_result parsed = parseJsonWithComments(R"({
            // the address
            "listen": 7,
            "limit": 900,
            "extra": true
        })");
        REQUIRE(parsed.document.has_value());
        std::vector<json_fault> faults;
        json_reader reader(*parsed.document, "", faults);

        WHEN("its members are read")
        {
            reader.requiredString("listen");
            const auto limit = reader.optionalInteger("limit", 1, 100, 10);
            reader.reportUnknownMembers();

            THEN("each fault has its path and the fallback is used")
            {
                CHECK(limit == 10);
                REQUIRE(faults.size() == 3);
                CHECK(faults[0] == json_fault {"/listen", "must be a non-empty string"});
                CHECK(faults[1].path == "/limit");
                CHECK(faults[2] == json_fault {"/extra", "unknown member"});
            }
        }
    }

    GIVEN("a text that is not JSON")
    {
        const json_parse_result parsed = parseJsonWithComments("{ \"a\": ");
        THEN("the fault states the byte position")
        {
            REQUIRE(parsed.faults.size() == 1);
            CHECK(parsed.faults[0].problem.find("byte") != std::string::npos);
        }
    }
}

SCENARIO("result codes are unique and in ascending order")
{
    const auto table = resultCodeTable();
    for (std::size_t index = 1; index < table.size(); ++index)
        CHECK(table[index - 1].code < table[index].code);

    const std::error_code error = result_code::OutcomeUnknown;
    CHECK(error.value() == 3001);
    CHECK(std::string(error.category().name()) == "quetzal");
}

SCENARIO("hashes and random numbers are the same on every VM")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(stableHash("") == 0xef46db3751d8e999ULL);
    random_source first(7);
    random_source second(7);
    CHECK(first() == second());
    CHECK(first.uniform() < 1.0);
}

#include "foundation/errors/result_code.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <fstream>
#include <string>
#include <vector>

using namespace quetzal;

SCENARIO("docs/RESULT_CODES.md matches the table of result codes")
{
    std::ifstream page(QUETZAL_SOURCE_DIR "/docs/RESULT_CODES.md");
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("| ") && !line.starts_with("| code"))
            rows.push_back(line);
    }
    const auto table = resultCodeTable();
    REQUIRE(rows.size() == table.size());
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const result_code_entry &entry = table[index];
        const std::string expected
            = absl::StrCat("| ", static_cast<int>(entry.code), " | ", std::string(entry.name),
                           " | ", entry.httpStatus, " | ", std::string(entry.meaning), " | ",
                           std::string(entry.whatToDo), " |");
        CHECK(rows[index] == expected);
    }
}

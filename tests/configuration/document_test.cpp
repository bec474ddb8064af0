#include "sample_documents.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace quetzal;

namespace {

/** Returns the faults of the sample document after the value at a JSON pointer is replaced. */
std::vector<json_fault> faultsAfterSetting(const std::string &pointer, const nlohmann::json &value)
{
    nlohmann::json document = nlohmann::json::parse(toCanonicalJson(sampleDocument(2)));
    document[nlohmann::json::json_pointer(pointer)] = value;
    return readDocument(document.dump()).faults;
}

} // namespace

SCENARIO("each fault of a document is reported with its path")
{
    struct faulty_member
    {
        std::string path;
        nlohmann::json value;
    };
    const auto [path, value] = GENERATE(
        values<faulty_member>({{"/environment", ""},
                               {"/unknown", 1},
                               {"/dataCentres/0/state", "away"},
                               {"/dataCentres/1/name", "nashua"},
                               {"/services/0/kind", "other"},
                               {"/services/0/coldSlotsPerTarget", 9},
                               {"/services/0/shardsPerDataCentre", 257},
                               {"/services/1/calls/0/requestKind", "unheard"},
                               {"/services/1/models", nlohmann::json::array({"roster"})},
                               {"/workspaces/0/share", 0},
                               {"/workspaces/0/share", -1},
                               {"/workspaces/0/services/1", "unheard"},
                               {"/workspaces/0/dataCentres", "nashua"},
                               {"/workspaces/1/name", "town-0"},
                               {"/workspaces/1/keyDigests/0", sha256Hex("key of town-0")},
                               {"/workspaces/1/keyDigests/0", "not a digest"},
                               {"/workspaces/1/limits/waitingRequests", 0}}));
    const auto faults = faultsAfterSetting(path, value);
    INFO(path << " " << value << "\n" << toText(faults));
    REQUIRE(!faults.empty());
    CHECK(faults[0].path.starts_with(path));
}

SCENARIO("canonical text is the same for equal documents")
{
    const std::string text = toCanonicalJson(sampleDocument(20, 2.5));
    const document_read_result reading = readDocument("// a comment\n" + text);
    REQUIRE(reading.document.has_value());
    CHECK(*reading.document == sampleDocument(20, 2.5));
    CHECK(toCanonicalJson(*reading.document) == text);
}

SCENARIO("arbitrary input yields either a document or faults")
{
    SECTION("arbitrary bytes")
    {
        CHECK(rc::check("arbitrary bytes", [](const std::vector<char> &bytes) {
            const document_read_result reading
                = readDocument(std::string_view(bytes.data(), bytes.size()));
            RC_ASSERT(reading.document.has_value() == reading.faults.empty());
        }));
    }
    SECTION("a document with some bytes replaced")
    {
        const std::string text = toCanonicalJson(sampleDocument(2));
        CHECK(rc::check("replaced bytes", [&](const std::vector<std::pair<unsigned, char>> &bytes) {
            std::string changed = text;
            for (const auto &[place, byte] : bytes)
                changed[place % changed.size()] = byte;
            const document_read_result reading = readDocument(changed);
            RC_ASSERT(reading.document.has_value() == reading.faults.empty());
            readHead(changed);
        }));
    }
    SECTION("numbers out of range and deep nesting")
    {
        CHECK(!readDocument("{\"environment\": 1e999}").document);
        CHECK(!readDocument(std::string(1000000, '[')).document);
        CHECK(!readDocument(std::string(1000000, '[') + std::string(1000000, ']')).document);
    }
}

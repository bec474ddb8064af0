#include "foundation/foundation.h"

#include <catch2/catch.hpp>

#include <string>

using namespace quetzal;

namespace {

std::string messagePack(const nlohmann::json &document)
{
    std::string bytes;
    nlohmann::json::to_msgpack(document, bytes);
    return bytes;
}

} // namespace

SCENARIO("a document of another process is read within bounds")
{
    GIVEN("a document within the bounds")
    {
        const nlohmann::json document {{"a", {1, -2, 2.5, "x", nullptr, true}},
                                       {"b", {{"c", nlohmann::json::array()}}},
                                       {"", "empty key"}};
        const document_bounds bounds {.maxDepth = 3, .maxValues = 11};

        THEN("it is read without loss, in both formats")
        {
            CHECK(readJson(document.dump(), bounds) == document);
            CHECK(readMessagePack(messagePack(document), bounds) == document);
            CHECK(readJson("7", bounds) == nlohmann::json(7));
            const nlohmann::json binary = nlohmann::json::binary({0, 255});
            CHECK(readMessagePack(messagePack(binary), bounds) == binary);
        }
        THEN("it is rejected by bounds that are one smaller")
        {
            const document_bounds flatter {.maxDepth = 2, .maxValues = 11};
            const document_bounds shorter {.maxDepth = 3, .maxValues = 10};
            for (const document_bounds &tooSmall : {flatter, shorter}) {
                CHECK_FALSE(readJson(document.dump(), tooSmall).has_value());
                CHECK_FALSE(readMessagePack(messagePack(document), tooSmall).has_value());
            }
        }
        THEN("it is rejected if it is cut off or continues")
        {
            const std::string text = document.dump();
            const std::string bytes = messagePack(document);
            for (std::size_t length = 0; length < text.size(); ++length)
                CHECK_FALSE(readJson(std::string_view(text).substr(0, length), bounds).has_value());
            for (std::size_t length = 0; length < bytes.size(); ++length)
                CHECK_FALSE(
                    readMessagePack(std::string_view(bytes).substr(0, length), bounds).has_value());
            CHECK_FALSE(readJson(text + "x", bounds).has_value());
            CHECK_FALSE(readMessagePack(bytes + "x", bounds).has_value());
        }
    }

    GIVEN("millions of levels or values")
    {
        constexpr std::size_t size = 4000000;
        THEN("it is rejected")
        {
            std::string siblings = "[0";
            while (siblings.size() < size)
                siblings += ",0";
            CHECK_FALSE(readJson(std::string(size, '['), {}).has_value());
            CHECK_FALSE(readJson(siblings + "]", {}).has_value());
            CHECK_FALSE(readMessagePack(std::string(size, '\x91'), {}).has_value());
            CHECK_FALSE(
                readMessagePack("\xdd\x7f\xff\xff\xff" + std::string(size, '\0'), {}).has_value());
        }
    }

    GIVEN("numbers that no type holds, text that is not UTF-8, repeated members")
    {
        THEN("only the repeated members are read, and the last one counts")
        {
            CHECK_FALSE(readJson("1e999", {}).has_value());
            CHECK_FALSE(readJson("[-1e999]", {}).has_value());
            CHECK_FALSE(readJson("\"\xff\"", {}).has_value());
            CHECK_FALSE(readJson("NaN", {}).has_value());
            CHECK(readJson(R"({"a":1,"a":2})", {}) == nlohmann::json {{"a", 2}});
        }
    }
}

SCENARIO("numbers are converted only within their range")
{
    CHECK(wholeNumber(7, 0, 7) == 7);
    CHECK(wholeNumber(-7, -7, 7) == -7);
    CHECK_FALSE(wholeNumber(8, 0, 7).has_value());
    CHECK_FALSE(wholeNumber(-1, 0, 7).has_value());
    CHECK_FALSE(wholeNumber(2.0, 0, 7).has_value());
    CHECK_FALSE(wholeNumber(1e300, 0, 7).has_value());
    CHECK_FALSE(wholeNumber("7", 0, 7).has_value());
    CHECK_FALSE(wholeNumber(~std::uint64_t {0}, -1, 7).has_value());
    CHECK(numberWithin(2, 0.0, 2.5) == 2.0);
    CHECK(numberWithin(2.5, 0.0, 2.5) == 2.5);
    CHECK_FALSE(numberWithin(1e300, 0.0, 2.5).has_value());
    CHECK_FALSE(numberWithin(-0.5, 0.0, 2.5).has_value());
    CHECK_FALSE(numberWithin(nullptr, 0.0, 2.5).has_value());
    CHECK_FALSE(numberWithin(true, 0.0, 2.5).has_value());
}

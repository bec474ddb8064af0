#include "exchange/exchange.h"
#include "foundation/hashing/stable_hash.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace quetzal;

namespace {

const absl::Time now = absl::UnixEpoch() + absl::Hours(1);

target_end endOf(std::uint64_t target, absl::Duration age)
{
    return {.target = {.target = target, .startedAtMs = 1783946897032},
            .address = target + 1,
            .at = now - age};
}

quarantine_digest digestOf()
{
    const held_part held {.part = 0xfa7a1,
                          .since = now - absl::Seconds(40),
                          .ends = {endOf(1, absl::Seconds(44)), endOf(2, absl::Seconds(43))},
                          .trials = 1,
                          .lastTrialAt = now - absl::Seconds(2)};
    const held_part untried {.part = 0xfa7a2, .since = now - absl::Seconds(1)};
    return {.vm = "vm1",
            .madeAt = now,
            .news = {.losses = {{.end = endOf(3, absl::Milliseconds(20)), .parts = {5, 6}}},
                     .sound = {{.part = 5, .at = now - absl::Milliseconds(700)}},
                     .held = {held, untried}}};
}

} // namespace

TEST_CASE("a quarantine digest is encoded and decoded without loss", "[exchange]")
{
    const quarantine_digest digest = digestOf();
    const std::string bytes = encodeDigest(digest);
    const auto decoded = decodeDigest(bytes);
    REQUIRE(decoded);
    const auto *read = std::get_if<quarantine_digest>(&*decoded);
    REQUIRE(read != nullptr);
    CHECK(read->vm == digest.vm);
    CHECK(shifted(read->news, now - read->madeAt) == digest.news);

    SECTION("truncated digests are rejected, at every length")
    {
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(decodeDigest(std::string_view(bytes).substr(0, length)).has_value());
    }
    SECTION("a digest that was spoiled on the way is rejected, wherever a bit changed")
    {
        int read = 0;
        for (std::size_t at = 0; at < bytes.size(); ++at) {
            for (unsigned bit = 0; bit < 8; ++bit) {
                std::string spoiled = bytes;
                spoiled[at]
                    = static_cast<char>(static_cast<unsigned char>(spoiled[at]) ^ (1U << bit));
                read += decodeDigest(spoiled).has_value() ? 1 : 0;
            }
        }
        CHECK(read == 0);
    }
    SECTION("content of another shape is rejected, with a right hash too")
    {
        for (const nlohmann::json &content :
             {nlohmann::json(nullptr), nlohmann::json::array(), nlohmann::json::array({"vm1", 7}),
              nlohmann::json::array({7, {}, {}, {}}),
              nlohmann::json::array({"vm1", {{1, 2}}, {}, {}}),
              nlohmann::json::array({"vm1", {}, {{5, -1}}, {}}),
              nlohmann::json::array({"vm1", {}, {{5, 1e300}}, {}}),
              nlohmann::json::array({"vm1", {}, {}, {{1, 2, 3}}})}) {
            CAPTURE(content.dump());
            std::string packed;
            nlohmann::json::to_msgpack(content, packed);
            std::string message;
            nlohmann::json::to_msgpack(nlohmann::json::array({6, packed, stableHash(packed)}),
                                       message);
            CHECK_FALSE(decodeDigest(message).has_value());
        }
    }
}

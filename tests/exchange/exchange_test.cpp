#include "exchange/exchange.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <vector>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

load_digest digestOf(const std::string &vm, std::uint64_t sequence)
{
    return {.vm = vm,
            .sequence = sequence,
            .incarnation = 7,
            .lastChangeRevisions = {40, 50},
            .targets = {{.target = 11, .backlogMs = 200, .inFlight = 3}},
            .workspaces = {{.workspace = 21, .requestedTokens = 500, .servedTokens = 400}},
            .prompts = {{.target = 11, .parts = {{.id = 1, .tokens = 2}, {.id = 3, .tokens = 4}}}},
            .placed = {.tokens = 450, .workMs = 30}};
}

} // namespace

TEST_CASE("a digest is encoded and decoded without loss", "[exchange]")
{
    const load_digest digest = digestOf("vm1", 5);
    const std::string bytes = encodeDigest(digest);
    CHECK(decodeDigest(bytes) == peer_digest(digest));

    SECTION("truncated and malformed digests are rejected, at every length")
    {
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(decodeDigest(std::string_view(bytes).substr(0, length)).has_value());
        CHECK_FALSE(decodeDigest("{\"a\":1}").has_value());
    }

    SECTION("deeply nested datagrams are rejected")
    {
        constexpr std::size_t datagramBytes = 16384;
        constexpr std::size_t manyBytes = 4000000;
        for (const std::size_t size : {datagramBytes, manyBytes}) {
            const std::string arrays(size, '\x91');
            std::string maps;
            while (maps.size() < size)
                maps += "\x81\xa1k";
            CHECK_FALSE(decodeDigest(arrays).has_value());
            CHECK_FALSE(decodeDigest(maps).has_value());
            CHECK_FALSE(decodeDigest(bytes + arrays).has_value());
            CHECK_FALSE(decodeDigest("\x98\x02\xa3vm1\x07\x05" + arrays).has_value());
        }
    }

    SECTION("numbers out of range are rejected")
    {
        constexpr std::int64_t limit = std::numeric_limits<std::int64_t>::max();
        const std::vector<std::function<void(load_digest &, std::int64_t)>> fields {
            [](load_digest &odd, std::int64_t value) { odd.targets[0].backlogMs = value; },
            [](load_digest &odd, std::int64_t value) { odd.targets[0].inFlight = value; },
            [](load_digest &odd, std::int64_t value) { odd.workspaces[0].requestedTokens = value; },
            [](load_digest &odd, std::int64_t value) { odd.workspaces[0].servedTokens = value; },
            [](load_digest &odd, std::int64_t value) { odd.prompts[0].parts[1].tokens = value; },
            [](load_digest &odd, std::int64_t value) { odd.placed.tokens = value; },
            [](load_digest &odd, std::int64_t value) { odd.placed.workMs = value; },
            [](load_digest &odd, std::int64_t value) {
                odd.lastChangeRevisions[1] = value;
            }};
        for (std::size_t field = 0; field < fields.size(); ++field) {
            for (const std::int64_t value : {limit, -limit}) {
                CAPTURE(field, value);
                load_digest odd = digest;
                fields[field](odd, value);
                CHECK_FALSE(decodeDigest(encodeDigest(odd)).has_value());
            }
        }
    }

    SECTION("numbers of another type are rejected")
    {
        nlohmann::json document = nlohmann::json::from_msgpack(bytes);
        const auto place
            = GENERATE(as<std::string>(), "/2", "/3", "/4/0/0", "/4/0/1", "/4/0/2", "/5/0/0",
                       "/5/0/1", "/6/0/0", "/6/0/1", "/6/0/2", "/7/0", "/8", "/9");
        for (const nlohmann::json &odd :
             {nlohmann::json(1e300), nlohmann::json(-1e300), nlohmann::json("7"),
              nlohmann::json(nullptr), nlohmann::json::array({1})}) {
            CAPTURE(place, odd);
            document[nlohmann::json::json_pointer(place)] = odd;
            std::string encoded;
            nlohmann::json::to_msgpack(document, encoded);
            CHECK_FALSE(decodeDigest(encoded).has_value());
        }
    }

    SECTION("a router of an earlier version tells nothing of what it placed")
    {
        nlohmann::json document = nlohmann::json::from_msgpack(bytes);
        constexpr std::size_t placedTokens = 8;
        document.erase(placedTokens + 1);
        document.erase(placedTokens);
        std::string encoded;
        nlohmann::json::to_msgpack(document, encoded);
        load_digest earlier = digest;
        earlier.placed = {};
        CHECK(decodeDigest(encoded) == peer_digest(earlier));
    }

    SECTION("so is a digest of backlogs, which is far smaller")
    {
        const backlog_digest backlogs {.vm = "vm1",
                                       .sequence = 6,
                                       .incarnation = 7,
                                       .backlogs = {{.target = 11, .backlogMs = 200}},
                                       .workspaces = {{.workspace = 21, .requestedTokens = 70}},
                                       .placed = {.tokens = 60, .workMs = 5}};
        const std::string small = encodeDigest(backlogs);
        CHECK(decodeDigest(small) == peer_digest(backlogs));
        CHECK(small.size() < bytes.size());
        for (std::size_t length = 0; length < small.size(); ++length)
            CHECK_FALSE(decodeDigest(std::string_view(small).substr(0, length)).has_value());
    }

    SECTION("a digest with thirty prompts of typical length fits a datagram")
    {
        load_digest full = digest;
        full.prompts.assign(
            30,
            {.target = ~0ULL,
             .parts = {{.id = ~0ULL, .tokens = 40000}, {.id = ~0ULL, .tokens = 40000}}});
        CHECK(encodeDigest(full).size() < 1400);
    }
}

TEST_CASE("the view of the fleet sums the digests of the other routers", "[exchange]")
{
    fleet_view view;
    REQUIRE(view.apply(digestOf("vm1", 1), start));
    REQUIRE(view.apply(digestOf("vm2", 1), start));
    CHECK(view.loadOf(11, start).backlog == absl::Milliseconds(400));
    CHECK(view.loadOf(11, start).inFlight == 6);
    CHECK(view.loadOf(12, start).inFlight == 0);
    CHECK(view.usageOf(21, start).requestedTokens == 1000);
    CHECK(view.activePeerCount(start) == 2);

    SECTION("a backlog does not vanish between two digests of a large fleet")
    {
        view.setPeerCount(72);
        const absl::Time beforeNext = start + digestInterval(72);
        CHECK(view.loadOf(11, beforeNext).backlog == absl::Milliseconds(400));
        CHECK(view.usageOf(21, beforeNext).requestedTokens == 1000);
    }

    SECTION("one lost datagram hides nothing of a router, whatever the size of the fleet")
    {
        const std::size_t peers = GENERATE(1U, 5U, 72U, 400U);
        view.setPeerCount(peers);
        CHECK(view.loadOf(11, start + 2 * backlogInterval(peers)).backlog
              == absl::Milliseconds(400));
        CHECK(view.usageOf(21, start + 2 * backlogInterval(peers)).servedTokens == 800);
        CHECK(view.placed(start + 2 * backlogInterval(peers)).tokens == 900);
        CHECK(view.activePeerCount(start + 2 * digestInterval(peers)) == 2);
    }

    SECTION("a digest of backlogs replaces them and the usage, and leaves the rest")
    {
        CHECK(view.apply(backlog_digest {.vm = "vm1",
                                         .sequence = 2,
                                         .incarnation = 7,
                                         .backlogs = {{.target = 12, .backlogMs = 50}},
                                         .workspaces = {{.workspace = 22, .requestedTokens = 90}},
                                         .placed = {.tokens = 80, .workMs = 10}},
                         start));
        CHECK(view.loadOf(11, start).backlog == absl::Milliseconds(200));
        CHECK(view.loadOf(12, start).backlog == absl::Milliseconds(50));
        CHECK(view.loadOf(11, start).inFlight == 6);
        CHECK(view.usageOf(21, start).requestedTokens == 500);
        CHECK(view.usageOf(22, start).requestedTokens == 90);
        CHECK(view.placed(start) == placement_digest {.tokens = 530, .workMs = 40});
        CHECK_FALSE(view.apply(digestOf("vm1", 2), start));
    }

    SECTION("the highest known revision of each prefix of the store")
    {
        load_digest ahead = digestOf("vm3", 1);
        ahead.lastChangeRevisions = {45};
        view.apply(ahead, start);
        CHECK(view.lastChangeRevision(0, start) == 45);
        CHECK(view.lastChangeRevision(1, start) == 50);
        CHECK(view.lastChangeRevision(2, start) == 0);
    }

    SECTION("late and duplicate digests are ignored")
    {
        CHECK_FALSE(view.apply(digestOf("vm1", 1), start));
    }

    SECTION("digests of a restarted router are accepted at once")
    {
        load_digest restarted = digestOf("vm1", 1);
        restarted.incarnation = 3;
        restarted.targets.clear();
        CHECK(view.apply(restarted, start));
        CHECK(view.loadOf(11, start).inFlight == 3);
    }

    SECTION("what a router sent is forgotten a minute after its last digest")
    {
        const absl::Time later = start + absl::Minutes(2);
        view.apply(digestOf("vm3", 1), later);
        CHECK(view.apply(digestOf("vm1", 1), later));
        CHECK(view.activePeerCount(later) == 2);
    }

    SECTION("a router that sends no digests is ignored after a time")
    {
        const absl::Time later = start + digestLifetime(digestInterval(0)) + absl::Milliseconds(1);
        CHECK(view.loadOf(11, later).inFlight == 0);
        CHECK(view.usageOf(21, later).requestedTokens == 0);
        CHECK(view.workspaces(later).empty());
    }
}

TEST_CASE("a schedule sends load digests seldom and backlogs often in a large fleet", "[exchange]")
{
    digest_schedule schedule;

    SECTION("with five peers each digest is a load digest")
    {
        for (int tick = 0; tick < 10; ++tick)
            CHECK(schedule.next(5, start + tick * backlogInterval(5)) == digest_kind::Load);
    }

    SECTION("with 72 peers one in seven or eight is, and backlogs are never older than 150 ms")
    {
        CHECK(backlogInterval(72) <= absl::Milliseconds(150));
        int loads = 0;
        for (int tick = 0; tick < 75; ++tick)
            loads += schedule.next(72, start + tick * backlogInterval(72)) == digest_kind::Load;
        CHECK(loads >= 9);
        CHECK(loads <= 11);
    }
}

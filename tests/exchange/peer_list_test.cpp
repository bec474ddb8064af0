#include "exchange/exchange.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace quetzal;

TEST_CASE("the other routers of which one is asked for a copy", "[exchange]")
{
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    peer_list peers;
    CHECK_FALSE(peers.hasPeers());
    CHECK_FALSE(peers.next(start));
    peers.setMembers({"10.0.0.1", "10.0.0.2"});

    SECTION("the members are asked in turn while none is heard")
    {
        CHECK(peers.next(start) == "10.0.0.1");
        CHECK(peers.next(start) == "10.0.0.2");
        CHECK(peers.next(start) == "10.0.0.1");
    }

    SECTION("those that are heard come before members that may be gone")
    {
        peers.onHeard("10.0.0.7", start);
        peers.onHeard("10.0.0.9", start);
        CHECK(peers.next(start) == "10.0.0.7");
        CHECK(peers.next(start) == "10.0.0.9");
        CHECK(peers.next(start) == "10.0.0.7");

        AND_THEN("they are forgotten when they fall silent")
        {
            const absl::Time later = start + absl::Seconds(2);
            peers.onHeard("10.0.0.9", later);
            CHECK(peers.next(start + absl::Seconds(4)) == "10.0.0.9");
            CHECK(peers.next(start + absl::Seconds(9)) == "10.0.0.1");
        }
    }

    SECTION("new ones are learned, however many were heard before")
    {
        constexpr int hosts = 10000;
        for (int number = 0; number < hosts; ++number)
            peers.onHeard("host-" + std::to_string(number), start);
        const absl::Time later = start + absl::Seconds(5);
        peers.onHeard("new", later);
        CHECK(peers.next(later) == "new");
    }

    SECTION("routers that turn to others at the same moment turn to different ones")
    {
        peer_list second("10.0.0.2");
        peer_list last("10.0.0.9");
        for (const char *host : {"10.0.0.1", "10.0.0.3", "10.0.0.4"}) {
            second.onHeard(host, start);
            last.onHeard(host, start);
        }
        CHECK(second.next(start) == "10.0.0.3");
        CHECK(second.next(start) == "10.0.0.4");
        CHECK(last.next(start) == "10.0.0.1");
    }
}

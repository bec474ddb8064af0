#include "foundation/errors/result_code.h"
#include "protocol/messages/message_codec.h"
#include "tcp_relay.h"
#include "transport/link/frame.h"
#include "transport/link/outbox.h"
#include "transport_fixtures.h"

#include <catch2/catch.hpp>

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>

using namespace quetzal;
using namespace quetzal::testing;

namespace {

const node_id routerId {.role = node_role::Router, .vm = "vm-1"};
const node_id schedulerId {.role = node_role::Scheduler, .vm = "vm-2"};
const node_id otherSchedulerId {.role = node_role::Scheduler, .vm = "vm-3"};
constexpr absl::Duration shortIdleTimeout = absl::Milliseconds(300);

socket_handle connectTo(const endpoint &address)
{
    socket_handle socket = beginConnect(address);
    pollfd ready {.fd = socket.descriptor(), .events = POLLOUT, .revents = 0};
    poll(&ready, 1, 5000);
    REQUIRE(isConnected(socket));
    return socket;
}

void writeAll(const socket_handle &socket, const std::string &bytes)
{
    REQUIRE(::send(socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(bytes.size()));
}

/** True if the other end closes the connection within the test timeout. */
bool isClosedByPeer(const socket_handle &socket)
{
    return waitUntil([&] {
        std::array<char, 4096> buffer {};
        const ssize_t count = recv(socket.descriptor(), buffer.data(), buffer.size(), 0);
        return count == 0 || (count < 0 && errno == ECONNRESET);
    });
}

} // namespace

SCENARIO("Messages between a router and a scheduler")
{
    const endpoint address = freeEndpoint();
    test_node scheduler(schedulerId, address);
    test_node router(routerId, {});
    scheduler.network.start();
    router.network.start();
    router.network.setPeers({{"vm-2", address}});

    WHEN("the router sends several messages")
    {
        constexpr int count = 500;
        for (int index = 0; index < count; ++index)
            router.network.send(schedulerId, makeNumberedMessage(index));

        THEN("they arrive once, in order and with their sender")
        {
            REQUIRE(waitUntil([&] { return scheduler.inbox.size() >= count; }));
            const std::vector<message> received = scheduler.inbox.messages();
            REQUIRE(received.size() == count);
            for (int index = 0; index < count; ++index)
                CHECK(received[index] == makeNumberedMessage(index));
            CHECK(scheduler.inbox.senders().front() == routerId);
            CHECK(router.network.counts().messagesSent == count);
            CHECK(scheduler.network.counts().messagesReceived == count);

            AND_THEN("answers return on the same connection")
            {
                scheduler.network.send(routerId, makeNumberedMessage(7));
                REQUIRE(waitUntil([&] { return router.inbox.size() == 1; }));
                CHECK(router.inbox.senders().front() == schedulerId);
                CHECK(scheduler.network.counts().connectionsOpened == 1);
                CHECK(router.network.counts().connectionsOpened == 1);
            }
        }
    }
    WHEN("a message is far larger than the socket buffers")
    {
        const message large = makeDocumentMessage(3 * 1024 * 1024);
        router.network.send(schedulerId, large);
        router.network.send(schedulerId, makeNumberedMessage(1));
        THEN("it arrives complete")
        {
            REQUIRE(waitUntil([&] { return scheduler.inbox.size() == 2; }));
            CHECK(scheduler.inbox.messages().front() == large);
        }
    }
    WHEN("a message is larger than any receiver accepts")
    {
        router.network.send(schedulerId, makeDocumentMessage(maxMessageBytes));
        router.network.send(schedulerId, makeNumberedMessage(1));
        THEN("the sender drops it and keeps the connection open")
        {
            REQUIRE(waitUntil([&] { return scheduler.inbox.size() == 1; }));
            CHECK(scheduler.inbox.messages().front() == makeNumberedMessage(1));
            CHECK(router.network.counts().messagesDropped == 1);
        }
    }
    WHEN("a scheduler sends to a router that has not connected")
    {
        scheduler.network.send(routerId, makeNumberedMessage(1));
        THEN("the message is dropped")
        {
            CHECK(waitUntil([&] { return scheduler.network.counts().messagesDropped == 1; }));
        }
    }
}

SCENARIO("An outbox limits the frames queued for a peer")
{
    outbox queue(100);
    GIVEN("more small frames than the limit")
    {
        std::size_t dropped = 0;
        for (char name = 'a'; name < 'e'; ++name)
            dropped += queue.push(std::string(40, name));
        THEN("the oldest ones are dropped")
        {
            CHECK(dropped == 2);
            CHECK(queue.pop() == std::string(40, 'c'));
            CHECK(queue.pop() == std::string(40, 'd'));
            CHECK(queue.empty());
        }
    }
    GIVEN("single frames larger than the limit, between small ones")
    {
        queue.push(std::string(500, 'L'));
        queue.push("small");
        const std::size_t dropped = queue.push(std::string(600, 'M'));
        THEN("only the newest large one and all small ones are kept")
        {
            CHECK(dropped == 1);
            CHECK(queue.pop() == "small");
            CHECK(queue.pop() == std::string(600, 'M'));
            CHECK(queue.empty());
            CHECK(queue.bytes() == 0);
        }
    }
}

SCENARIO("Two schedulers that connect to each other simultaneously")
{
    const endpoint first = freeEndpoint();
    const endpoint second = freeEndpoint();
    test_node lower(schedulerId, first);
    test_node higher(otherSchedulerId, second);
    lower.network.start();
    higher.network.start();
    lower.network.setPeers({{"vm-3", second}});
    higher.network.setPeers({{"vm-2", first}});

    WHEN("both send at the same moment, for several rounds")
    {
        constexpr std::int64_t rounds = 50;
        for (std::int64_t round = 0; round < rounds; ++round) {
            lower.network.send(otherSchedulerId, makeNumberedMessage(round));
            higher.network.send(schedulerId, makeNumberedMessage(round));
            absl::SleepFor(absl::Milliseconds(1));
        }
        THEN("every message arrives at both ends")
        {
            CHECK(waitUntil([&] { return lower.inbox.size() == rounds; }));
            CHECK(waitUntil([&] { return higher.inbox.size() == rounds; }));
        }
    }
}

SCENARIO("A peer that accepts the connection and never reads")
{
    const endpoint address = freeEndpoint();
    const socket_handle nonReading = listenAt(address);
    constexpr std::size_t maxQueuedBytes = 256 * 1024;
    test_node router(routerId, {}, absl::Seconds(60), maxQueuedBytes);
    router.network.start();
    router.network.setPeers({{"vm-2", address}});

    WHEN("far more is sent than the socket buffers hold")
    {
        constexpr int count = 400;
        const message large = makeDocumentMessage(64 * 1024);
        router.network.send(schedulerId, makeNumberedMessage(1));
        REQUIRE(waitUntil([&] { return router.network.counts().bytesSent > 0; }));
        for (int index = 0; index < count; ++index)
            router.network.send(schedulerId, large);
        THEN("the oldest messages are dropped and sending never blocks")
        {
            CHECK(waitUntil([&] { return router.network.counts().messagesDropped > count / 4; }));
        }
    }
}

SCENARIO("A peer that never answers or has nothing to send")
{
    const endpoint address = freeEndpoint();
    test_node router(routerId, {}, shortIdleTimeout);
    router.network.start();
    router.network.setPeers({{"vm-2", address}});

    GIVEN("a connection that is accepted and never answered")
    {
        auto unresponsive = std::make_unique<socket_handle>(listenAt(address));
        router.network.send(schedulerId, makeNumberedMessage(1));
        REQUIRE(waitUntil([&] { return router.network.counts().connectionsTimedOut >= 1; }));

        WHEN("the scheduler listens again at the same address")
        {
            unresponsive.reset();
            test_node scheduler(schedulerId, address);
            scheduler.network.start();
            THEN("a new connection replaces the unresponsive one")
            {
                CHECK(waitUntil([&] {
                    router.network.send(schedulerId, makeNumberedMessage(2));
                    return scheduler.inbox.size() > 0;
                }));
            }
        }
    }
    GIVEN("a peer that receives messages and has none to send")
    {
        test_node scheduler(schedulerId, address, shortIdleTimeout);
        scheduler.network.start();
        WHEN("messages are sent for several idle timeouts")
        {
            const absl::Time end = absl::Now() + 5 * shortIdleTimeout;
            while (absl::Now() < end) {
                router.network.send(schedulerId, makeNumberedMessage(1));
                absl::SleepFor(absl::Milliseconds(10));
            }
            THEN("empty frames keep the connection open")
            {
                CHECK(scheduler.inbox.size() > 0);
                CHECK(router.network.counts().connectionsOpened == 1);
                CHECK(router.network.counts().connectionsTimedOut == 0);
            }
        }
    }
}

SCENARIO("Frames that violate the protocol")
{
    const endpoint address = freeEndpoint();
    test_node scheduler(schedulerId, address);
    scheduler.network.start();
    const socket_handle foreignClient = connectTo(address);

    SECTION("a first frame that identifies no sender")
    {
        writeAll(foreignClient, encodeFrame("GET / HTTP/1.1\r\n"));
        CHECK(isClosedByPeer(foreignClient));
    }
    SECTION("a first frame that is too long")
    {
        writeAll(foreignClient, std::string("\x00\x00\x10\x00", 4));
        CHECK(isClosedByPeer(foreignClient));
    }
    SECTION("a frame after the first that is not a message")
    {
        writeAll(foreignClient,
                 encodeFrame(encodeHello(routerId)) + encodeFrame("\x7fnot a message"));
        CHECK(isClosedByPeer(foreignClient));
    }
    SECTION("a frame after the first that is over the limit")
    {
        writeAll(foreignClient,
                 encodeFrame(encodeHello(routerId)) + std::string("\xff\xff\xff\xff", 4));
        CHECK(isClosedByPeer(foreignClient));
    }
    CHECK(waitUntil([&] { return scheduler.network.counts().connectionsMalformed == 1; }));
    CHECK(scheduler.inbox.size() == 0);
}

SCENARIO("A frame that arrives byte by byte")
{
    const endpoint address = freeEndpoint();
    test_node scheduler(schedulerId, address);
    scheduler.network.start();
    const socket_handle slow = connectTo(address);
    const std::string bytes
        = encodeFrame(encodeHello(routerId)) + encodeFrame(encodeMessage(makeNumberedMessage(42)));
    for (const char byte : bytes)
        writeAll(slow, std::string(1, byte));
    REQUIRE(waitUntil([&] { return scheduler.inbox.size() == 1; }));
    CHECK(scheduler.inbox.messages().front() == makeNumberedMessage(42));
}

SCENARIO("A scheduler that restarts")
{
    const endpoint address = freeEndpoint();
    auto scheduler = std::make_unique<test_node>(schedulerId, address);
    test_node router(routerId, {});
    scheduler->network.start();
    router.network.start();
    router.network.setPeers({{"vm-2", address}});
    router.network.send(schedulerId, makeNumberedMessage(1));
    REQUIRE(waitUntil([&] { return scheduler->inbox.size() == 1; }));

    WHEN("it stops, messages are sent meanwhile, and it starts again")
    {
        scheduler.reset();
        for (int index = 0; index < 20; ++index) {
            router.network.send(schedulerId, makeNumberedMessage(2));
            absl::SleepFor(absl::Milliseconds(10));
        }
        scheduler = std::make_unique<test_node>(schedulerId, address);
        scheduler->network.start();
        THEN("the router reconnects and messages are delivered")
        {
            CHECK(waitUntil([&] {
                router.network.send(schedulerId, makeNumberedMessage(3));
                return scheduler->inbox.size() > 0;
            }));
        }
    }
    WHEN("it moves to another address")
    {
        const endpoint newAddress = freeEndpoint();
        test_node moved(schedulerId, newAddress);
        moved.network.start();
        router.network.setPeers({{"vm-2", newAddress}});
        THEN("messages go to the new address")
        {
            CHECK(waitUntil([&] {
                router.network.send(schedulerId, makeNumberedMessage(3));
                return moved.inbox.size() > 0;
            }));
        }
    }
    WHEN("a second process listens at its address")
    {
        test_node second(otherSchedulerId, address);
        THEN("start() fails with AddressInUse")
        {
            try {
                second.network.start();
                FAIL("a second process must not listen on the same address");
            } catch (const std::system_error &error) {
                CHECK(error.code() == make_error_code(result_code::AddressInUse));
            }
        }
    }
}

SCENARIO("Open connections stall while new ones work")
{
    const endpoint address = freeEndpoint();
    test_node scheduler(schedulerId, address, shortIdleTimeout);
    test_node router(routerId, {}, shortIdleTimeout);
    scheduler.network.start();
    router.network.start();
    tcp_relay relay(address);
    router.network.setPeers({{"vm-2", relay.address()}});
    std::int64_t sent = 0;
    const auto canExchangeMessages = [&] {
        const std::int64_t first = ++sent;
        return waitUntil([&] {
            router.network.send(schedulerId, makeNumberedMessage(sent));
            scheduler.network.send(routerId, makeNumberedMessage(sent));
            const auto arrived = [first](const message_inbox &inbox) {
                const std::vector<message> messages = inbox.messages();
                return !messages.empty()
                    && std::get<protocol::configuration_request>(messages.back()).haveRevision
                    >= first;
            };
            return arrived(scheduler.inbox) && arrived(router.inbox);
        });
    };
    REQUIRE(canExchangeMessages());

    WHEN("the connection stalls, and then its replacement too")
    {
        for (int round = 1; round <= 2; ++round) {
            const int before = relay.accepted();
            relay.stallOpenConnections();
            THEN("messages are delivered in both directions over a new connection, round "
                 + std::to_string(round))
            {
                CHECK(canExchangeMessages());
                CHECK(relay.accepted() > before);
                CHECK(router.network.counts().connectionsTimedOut >= 1);
            }
        }
    }
}

#include "standins/store/store_server.h"
#include "tcp_relay.h"
#include "transport/store/store_client.h"
#include "transport/store/store_codec.h"
#include "transport_fixtures.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>

using namespace quetzal;
using namespace quetzal::testing;

namespace {

const std::string prefix = "/quetzal/test";

/** A stand-in store on a loopback port, with fault injection. */
class test_store
{
public:
    test_store()
        : m_address(freeEndpoint())
    {
        m_server.start(m_address.ip, m_address.port);
    }
    ~test_store() { m_server.finish(); }
    test_store(const test_store &) = delete;
    test_store &operator=(const test_store &) = delete;

    const endpoint &address() const { return m_address; }
    void injectFault(const nlohmann::json &faults) const
    {
        httplib::Client client(m_address.ip, m_address.port);
        REQUIRE(client.Post("/standin/fault", faults.dump(), "application/json"));
    }
    std::int64_t count(const std::string &name) const
    {
        httplib::Client client(m_address.ip, m_address.port);
        return nlohmann::json::parse(client.Get("/standin/counts")->body).at(name);
    }

private:
    endpoint m_address;
    standins::store_server m_server;
};

store_transaction putWhen(std::int64_t modRevision, const std::string &value,
                          std::int64_t lease = 0)
{
    return {.requestId = 7,
            .compares = {{.key = prefix + "/a", .modRevision = modRevision}},
            .puts = {{.key = prefix + "/a", .value = value, .lease = lease}}};
}

std::string valueIn(const std::optional<store_view> &view, const std::string &key = "/a")
{
    if (!view.has_value())
        return "no view";
    const auto found = view->records.find(prefix + key);
    return found == view->records.end() ? "absent" : found->second.value;
}

/** Records the latest view of a watching client and the number of outages it reported. */
class view_probe
{
public:
    void follow(store_client &client)
    {
        client.watch(
            [this](const store_view &view) {
                const absl::MutexLock lock(&m_mutex);
                m_view = view;
                ++m_views;
            },
            [this] {
                const absl::MutexLock lock(&m_mutex);
                ++m_outageCount;
            });
    }
    std::optional<store_view> view() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_view;
    }
    int outageCount() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_outageCount;
    }
    bool waitForValue(const std::string &value) const
    {
        return waitUntil([&] { return valueIn(view()) == value; });
    }

private:
    mutable absl::Mutex m_mutex;
    std::optional<store_view> m_view;
    int m_views = 0;
    int m_outageCount = 0;
};

} // namespace

SCENARIO("Transactions and leases in the key-value service")
{
    const test_store store;
    store_client client({.address = store.address(), .keyPrefix = prefix});

    GIVEN("an empty store")
    {
        WHEN("a key is written on the condition that it is absent")
        {
            const store_reply reply = client.perform(putWhen(0, "one"));
            THEN("the write succeeds and the key can be read")
            {
                CHECK(reply.outcome == store_outcome::Done);
                CHECK(reply.requestId == 7);
                CHECK(reply.revision > 0);
                CHECK(valueIn(client.read()) == "one");
            }
            AND_WHEN("it is written once more on the same condition")
            {
                CHECK(client.perform(putWhen(0, "two")).outcome == store_outcome::Refused);
                CHECK(valueIn(client.read()) == "one");
            }
            AND_WHEN("it is written on the condition of its revision")
            {
                const auto view = client.read();
                REQUIRE(view.has_value());
                const std::int64_t revision = view->records.at(prefix + "/a").modRevision;
                CHECK(client.perform(putWhen(revision, "two")).outcome == store_outcome::Done);
                CHECK(valueIn(client.read()) == "two");
            }
            AND_WHEN("it is deleted in a transaction")
            {
                const store_transaction remove {.deletes = {prefix + "/a"}};
                CHECK(client.perform(remove).outcome == store_outcome::Done);
                CHECK(valueIn(client.read()) == "absent");
            }
        }
        WHEN("a key outside of the prefix is written")
        {
            const store_transaction other {.puts = {{.key = "/quetzal/tesu/a", .value = "x"}}};
            CHECK(client.perform(other).outcome == store_outcome::Done);
            CHECK(client.read()->records.empty());
        }
    }
    GIVEN("a lease with a key")
    {
        const store_reply granted = client.perform(lease_grant {.lifetimeSeconds = 60});
        REQUIRE(granted.outcome == store_outcome::Done);
        REQUIRE(granted.lease != 0);
        REQUIRE(client.perform(putWhen(0, "leased", granted.lease)).outcome == store_outcome::Done);
        CHECK(client.read()->records.at(prefix + "/a").lease == granted.lease);

        THEN("it can be renewed, and its revocation removes the key")
        {
            CHECK(client.perform(lease_renewal {.lease = granted.lease}).outcome
                  == store_outcome::Done);
            CHECK(client.perform(lease_revocation {.lease = granted.lease}).outcome
                  == store_outcome::Done);
            CHECK(valueIn(client.read()) == "absent");
            CHECK(client.perform(lease_renewal {.lease = granted.lease}).outcome
                  == store_outcome::Refused);
            CHECK(client.perform(lease_revocation {.lease = granted.lease}).outcome
                  == store_outcome::Refused);
            CHECK(client.perform(putWhen(0, "late", granted.lease)).outcome
                  == store_outcome::Refused);
        }
    }
}

SCENARIO("Requests whose outcome is unknown")
{
    const test_store store;
    store_client client({.address = store.address(), .keyPrefix = prefix});

    SECTION("the answer is lost after the write took effect")
    {
        store.injectFault({{"loseAnswers", 1}});
        CHECK(client.perform(putWhen(0, "one")).outcome == store_outcome::Unknown);
        CHECK(valueIn(client.read()) == "one");
    }
    SECTION("the store is down")
    {
        store.injectFault({{"down", true}});
        CHECK(client.perform(putWhen(0, "one")).outcome == store_outcome::Unknown);
        CHECK(!client.read().has_value());
        store.injectFault({{"down", false}});
        CHECK(valueIn(client.read()) == "absent");
    }
    SECTION("the store accepts fewer writes per second than are sent")
    {
        store.injectFault({{"limitWritesPerSecond", 1}});
        int unknown = 0;
        for (int index = 0; index < 4; ++index) {
            const store_transaction write {.puts = {{.key = prefix + "/b", .value = "x"}}};
            unknown += client.perform(write).outcome == store_outcome::Unknown ? 1 : 0;
        }
        CHECK(unknown > 0);
        CHECK(unknown < 4);
    }
    SECTION("the store is unreachable")
    {
        store_client unreachableStore({.address = freeEndpoint(), .keyPrefix = prefix});
        CHECK(unreachableStore.perform(putWhen(0, "one")).outcome == store_outcome::Unknown);
        CHECK(!unreachableStore.read().has_value());
    }
    SECTION("the connection is accepted and never answered")
    {
        const socket_handle unresponsive = listenAt({.ip = "127.0.0.1", .port = 0});
        store_client unresponsiveStore(
            {.address = {.ip = "127.0.0.1", .port = localPort(unresponsive)}});
        CHECK(unresponsiveStore.perform(putWhen(0, "one")).outcome == store_outcome::Unknown);
        CHECK(!unresponsiveStore.read().has_value());
    }
}

SCENARIO("A client watches the store")
{
    const test_store store;
    store_client writer({.address = store.address(), .keyPrefix = prefix});
    tcp_relay relay(store.address());
    view_probe probe;
    store_client watcher({.address = relay.address(), .keyPrefix = prefix});
    REQUIRE(writer.perform(putWhen(0, "one")).outcome == store_outcome::Done);
    probe.follow(watcher);
    REQUIRE(probe.waitForValue("one"));

    WHEN("keys are changed, added and deleted")
    {
        const store_transaction change {.puts = {{.key = prefix + "/a", .value = "two"},
                                                 {.key = prefix + "/b", .value = "new"}}};
        const std::int64_t reads = store.count("reads");
        REQUIRE(writer.perform(change).outcome == store_outcome::Done);
        REQUIRE(probe.waitForValue("two"));
        CHECK(valueIn(probe.view(), "/b") == "new");
        REQUIRE(writer.perform(store_transaction {.deletes = {prefix + "/b"}}).outcome
                == store_outcome::Done);
        THEN("the view is updated without another full read")
        {
            CHECK(waitUntil([&] { return valueIn(probe.view(), "/b") == "absent"; }));
            CHECK(store.count("reads") == reads);
            CHECK(probe.outageCount() == 0);
            const auto view = probe.view();
            const auto read = writer.read();
            CHECK(view->records == read->records);
            CHECK(view->revision == read->revision);
        }
    }
    WHEN("a lease expires")
    {
        const store_reply granted = writer.perform(lease_grant {.lifetimeSeconds = 1});
        const store_transaction leased {
            .puts = {{.key = prefix + "/m", .value = "alive", .lease = granted.lease}}};
        REQUIRE(writer.perform(leased).outcome == store_outcome::Done);
        REQUIRE(waitUntil([&] { return valueIn(probe.view(), "/m") == "alive"; }));
        THEN("its key is removed from the view")
        {
            CHECK(waitUntil([&] { return valueIn(probe.view(), "/m") == "absent"; }));
        }
    }
    WHEN("the open connection stalls")
    {
        const int before = relay.accepted();
        relay.stallOpenConnections();
        const store_transaction change {.puts = {{.key = prefix + "/a", .value = "unheard"}}};
        REQUIRE(writer.perform(change).outcome == store_outcome::Done);
        THEN("the change is received over a new connection, twice in a row")
        {
            CHECK(probe.waitForValue("unheard"));
            CHECK(relay.accepted() > before);
            relay.stallOpenConnections();
            const store_transaction next {.puts = {{.key = prefix + "/a", .value = "again"}}};
            REQUIRE(writer.perform(next).outcome == store_outcome::Done);
            CHECK(probe.waitForValue("again"));
        }
    }
    WHEN("the store is down for a while")
    {
        store.injectFault({{"down", true}});
        REQUIRE(waitUntil([&] { return probe.outageCount() == 1; }));
        THEN("the last view is kept, the outage is reported once and later changes are received")
        {
            CHECK(valueIn(probe.view()) == "one");
            store.injectFault({{"down", false}});
            const store_transaction change {.puts = {{.key = prefix + "/a", .value = "after"}}};
            REQUIRE(writer.perform(change).outcome == store_outcome::Done);
            CHECK(probe.waitForValue("after"));
            CHECK(probe.outageCount() == 1);
        }
    }
    WHEN("new connections stall from the start")
    {
        relay.setStallNewConnections(true);
        relay.stallOpenConnections();
        REQUIRE(waitUntil([&] { return probe.outageCount() == 1; }));
        THEN("the watch resumes once new connections work again")
        {
            relay.setStallNewConnections(false);
            const store_transaction change {.puts = {{.key = prefix + "/a", .value = "back"}}};
            REQUIRE(writer.perform(change).outcome == store_outcome::Done);
            CHECK(probe.waitForValue("back"));
        }
    }
}

SCENARIO("Malformed and unexpected answers of the store")
{
    const store_request write = putWhen(0, "x");
    SECTION("statuses")
    {
        constexpr auto body = R"({"header":{"revision":"9"},"succeeded":true})";
        CHECK(decodeStoreReply(write, 200, body)
              == store_reply {
                  .requestId = 7, .outcome = store_outcome::Done, .revision = 9, .lease = 0});
        for (const int refused : {400, 404, 412})
            CHECK(decodeStoreReply(write, refused, "").outcome == store_outcome::Refused);
        for (const int unknown : {0, 301, 408, 429, 500, 503, 504})
            CHECK(decodeStoreReply(write, unknown, body).outcome == store_outcome::Unknown);
    }
    SECTION("bodies")
    {
        for (const std::string body : {"", "x", "[]", "{\"header\"", "17"}) {
            CHECK(decodeStoreReply(write, 200, body).outcome == store_outcome::Unknown);
            CHECK(!decodeRange(body).has_value());
            store_view view;
            CHECK(applyWatchLine(body, view) == watch_line_result::Ended);
        }
        CHECK(!decodeRange(R"({"header":{"revision":"5"},"kvs":7})").has_value());
        CHECK(!decodeRange("{}").has_value());
    }
    SECTION("a watch that the store cancels or compacts")
    {
        store_view view;
        CHECK(applyWatchLine(R"({"result":{"canceled":true,"compact_revision":"5"}})", view)
              == watch_line_result::Ended);
        CHECK(applyWatchLine(R"({"error":{"code":14}})", view) == watch_line_result::Ended);
        CHECK(applyWatchLine(R"({"result":{"header":{"revision":"5"},"created":true}})", view)
              == watch_line_result::Unchanged);
    }
}

#include "standins/store/store_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace quetzal::standins;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

transaction_request putIfUnchanged(const std::string &key, std::int64_t modRevision,
                                   const std::string &value, std::int64_t lease = 0)
{
    return {.compares = {{.key = key,
                          .target = compare_target::ModRevision,
                          .result = compare_result::Equal,
                          .number = modRevision}},
            .success = {put_operation {key, value, lease}},
            .failure = {range_operation {{key, ""}}}};
}

} // namespace

SCENARIO("the store performs transactions with the semantics of etcd")
{
    store_model store;

    GIVEN("a key that was created when absent")
    {
        const auto created = store.transact(putIfUnchanged("head", 0, "one"), start);
        REQUIRE(created->succeeded);
        CHECK(store.revision(start) == 2);

        WHEN("a second writer also expects the key to be absent")
        {
            const auto second = store.transact(putIfUnchanged("head", 0, "two"), start);

            THEN("it fails, reads the first writer's value and leaves the revision unchanged")
            {
                CHECK_FALSE(second->succeeded);
                REQUIRE(second->answers.front().keys.size() == 1);
                CHECK(second->answers.front().keys.front().value == "one");
                CHECK(store.revision(start) == 2);
            }
        }

        WHEN("it is written with its current revision expected")
        {
            CHECK(store.transact(putIfUnchanged("head", 2, "two"), start)->succeeded);

            THEN("version and revision increase, and the create revision stays")
            {
                const stored_key key = store.range({"head", ""}, start).front();
                CHECK(key == stored_key {"head", "two", 2, 3, 2, 0});
            }
        }
    }

    GIVEN("several writes in one transaction")
    {
        store.transact({.compares = {},
                        .success = {put_operation {"p/a", "1"}, put_operation {"p/b", "2"},
                                    put_operation {"q", "3"}},
                        .failure = {}},
                       start);

        THEN("they share one revision, and a range reads only its prefix")
        {
            const auto keys = store.range({"p/", "p0"}, start);
            REQUIRE(keys.size() == 2);
            CHECK(keys[0].modRevision == keys[1].modRevision);
            CHECK(store.range({"p/", std::string(1, '\0')}, start).size() == 3);
        }
    }
}

SCENARIO("a lease deletes its keys when it expires")
{
    store_model store;
    const std::int64_t lease = store.grantLease(0, absl::Seconds(5), start);
    store.transact(putIfUnchanged("owner", 0, "vm1", lease), start);

    GIVEN("a holder that renews its lease")
    {
        CHECK(store.renewLease(lease, start + absl::Seconds(4)) == absl::Seconds(5));

        THEN("the lease lifetime starts again at the renewal")
        {
            CHECK(store.range({"owner", ""}, start + absl::Seconds(8)).size() == 1);
            CHECK(store.range({"owner", ""}, start + absl::Seconds(9)).empty());
        }
    }

    GIVEN("a holder that misses the renewal")
    {
        const absl::Time late = start + absl::Seconds(5);

        THEN("the key is deleted, the renewal fails and the history contains the deletion")
        {
            CHECK_FALSE(store.renewLease(lease, late).has_value());
            const auto events = store.history({"owner", ""}, 1, late);
            REQUIRE(events.size() == 2);
            CHECK(events[1].deleted);
            CHECK(events[1].revision == 3);
            CHECK_FALSE(store.transact(putIfUnchanged("owner", 0, "vm1", lease), late).has_value());
        }
    }

    GIVEN("a key that was rewritten without the lease")
    {
        store.transact(putIfUnchanged("owner", 2, "vm2"), start);
        CHECK(store.revokeLease(lease, start));
        THEN("it outlives the lease")
        {
            CHECK(store.range({"owner", ""}, start).front().value == "vm2");
        }
    }
}

SCENARIO("a watch that resumes at any revision reproduces the state of a full read")
{
    CHECK(rc::check("the replayed history equals the stored keys", [] {
        store_model store;
        absl::Time now = start;
        std::vector<std::int64_t> leases;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            now += absl::Seconds(*rc::gen::inRange(0, 3));
            const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                leases.push_back(store.grantLease(0, absl::Seconds(4), now));
                break;
            case 1: {
                const std::int64_t lease = leases.empty() ? 0 : leases.back();
                store.transact(putIfUnchanged(key, 0, std::to_string(step), lease), now);
                break;
            }
            case 2:
                store.transact({{}, {put_operation {key, std::to_string(step)}}, {}}, now);
                break;
            default:
                store.transact({{}, {delete_operation {{key, ""}}}, {}}, now);
            }
        }

        const key_range all {"a", std::string(1, '\0')};
        const std::int64_t resumeRevision
            = *rc::gen::inRange<std::int64_t>(1, store.revision(now) + 1);
        std::map<std::string, stored_key> replayed;
        std::int64_t previous = 0;
        for (const bool second : {false, true}) {
            for (const store_event &event : store.history(all, second ? resumeRevision : 1, now)) {
                if (!second && event.revision >= resumeRevision)
                    break;
                RC_ASSERT(event.revision >= previous);
                previous = event.revision;
                if (event.deleted)
                    replayed.erase(event.key.key);
                else
                    replayed[event.key.key] = event.key;
            }
        }
        std::vector<stored_key> keys;
        keys.reserve(replayed.size());
        for (const auto &[name, key] : replayed)
            keys.push_back(key);
        RC_ASSERT(keys == store.range(all, now));
    }));
}

#include "foundation/foundation.h"
#include "targets/targets.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <tuple>

using namespace quetzal;

namespace {

const absl::Time begin = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration timeout = absl::Seconds(30);

target_order load(const std::string &target, const std::string &model)
{
    return {.target = target, .kind = target_order_kind::LoadModel, .value = model};
}

target_order_queue ownedQueue()
{
    target_order_queue queue({.orderTimeout = timeout});
    queue.setOwnership(1, true, begin);
    return queue;
}

} // namespace

SCENARIO("orders to a target are sent one at a time")
{
    target_order_queue queue = ownedQueue();
    queue.setDesiredOrder(load("engine-1", "model-a"));
    const std::vector<numbered_order> first = queue.advance(begin);
    REQUIRE(first.size() == 1);
    CHECK(first[0].epoch == 1);

    WHEN("two newer orders are set while it is outstanding")
    {
        queue.setDesiredOrder(load("engine-1", "model-b"));
        queue.setDesiredOrder(load("engine-1", "model-c"));
        CHECK(queue.advance(begin + absl::Seconds(10)).empty());

        THEN("only the newest one is sent, after the answer")
        {
            queue.onOutcome(first[0].id, order_outcome::Done);
            const auto next = queue.advance(begin + absl::Seconds(10));
            REQUIRE(next.size() == 1);
            CHECK(next[0].order.value == "model-c");
            queue.onOutcome(first[0].id, order_outcome::Done);
            CHECK_FALSE(queue.isSettled("engine-1"));
            queue.onOutcome(next[0].id, order_outcome::Done);
            CHECK(queue.isSettled("engine-1"));
        }
        THEN("without an answer the next one waits until the first can no longer take effect")
        {
            queue.onOutcome(first[0].id, order_outcome::Unknown);
            CHECK(queue.advance(begin + timeout - absl::Seconds(1)).empty());
            CHECK(queue.advance(begin + timeout).size() == 1);
        }
    }

    WHEN("the target rejects it")
    {
        queue.onOutcome(first[0].id, order_outcome::Rejected);
        THEN("it is not resent, and is listed for the operators")
        {
            CHECK(queue.advance(begin + timeout).empty());
            CHECK(queue.rejectedOrders()
                  == std::vector<target_order> {load("engine-1", "model-a")});
        }
    }

    WHEN("the target has received a higher fencing number")
    {
        queue.onOutcome(first[0].id, order_outcome::Fenced);
        THEN("nothing is sent until this scheduler owns the shard with a higher epoch")
        {
            CHECK(queue.advance(begin + timeout).empty());
            queue.setOwnership(3, true, begin + timeout);
            CHECK(queue.advance(begin + timeout).empty());
            CHECK(queue.advance(begin + 2 * timeout).size() == 1);
        }
    }

    WHEN("it is carried out and the target restarts")
    {
        queue.onOutcome(first[0].id, order_outcome::Done);
        CHECK(queue.waiting() == 0);
        queue.observeRestart("engine-1");
        THEN("it is resent")
        {
            CHECK(queue.advance(begin + timeout).size() == 1);
        }
    }
}

SCENARIO("orders that read weights are rate-limited, oldest first")
{
    target_order_queue queue = ownedQueue();
    for (int engine = 0; engine < 20; ++engine)
        queue.setDesiredOrder(load("engine-" + std::to_string(19 - engine), "model-a"));
    queue.setDesiredOrder(
        {.target = "engine-x", .kind = target_order_kind::ChangeRole, .value = "prefill"});

    const std::vector<numbered_order> burst = queue.advance(begin);
    REQUIRE(burst.size() == 3);
    CHECK(burst[0].order.target == "engine-19");
    CHECK(burst[2].order.kind == target_order_kind::ChangeRole);
    std::size_t sent = burst.size();
    for (int second = 1; second <= 25; ++second)
        sent += queue.advance(begin + absl::Seconds(second)).size();
    CHECK(sent == 3 + 5);
}

TEST_CASE("no target carries out an order after a newer one, even if it ignores fencing numbers")
{
    CHECK(rc::check("orders of two owners", [](std::uint64_t seed) {
        random_source random(seed);
        std::vector<target_order_queue> owners(2, target_order_queue({.orderTimeout = timeout}));
        std::multimap<absl::Time, std::pair<int, numbered_order>> inFlight;
        std::optional<std::pair<std::int64_t, std::uint64_t>> carriedOut;
        std::string role;
        std::string wanted;
        int owner = 0;
        std::int64_t epoch = 1;
        for (int second = 0; second < 600; ++second) {
            const absl::Time now = begin + absl::Seconds(second);
            if (second < 400 && random.below(40) == 0) {
                owners[owner].setOwnership(epoch, false, now);
                owner = static_cast<int>(random.below(2));
                ++epoch;
            }
            owners[owner].setOwnership(epoch, true, now);
            if (second < 400 && random.below(20) == 0)
                wanted = "role-" + std::to_string(second);
            for (target_order_queue &queue : owners)
                queue.setDesiredOrder({"engine", target_order_kind::ChangeRole, wanted});
            for (int each = 0; each < 2; ++each) {
                for (const numbered_order &order : owners[each].advance(now))
                    inFlight.emplace(now + random.uniform() * timeout * 0.99,
                                     std::pair(each, order));
            }
            while (!inFlight.empty() && inFlight.begin()->first <= now) {
                const auto [sender, order] = inFlight.begin()->second;
                inFlight.erase(inFlight.begin());
                const std::pair number(order.epoch, order.id);
                RC_ASSERT(!carriedOut || *carriedOut < number);
                carriedOut = number;
                role = order.order.value;
                const bool answered = random.below(3) != 0;
                owners[sender].onOutcome(order.id,
                                         answered ? order_outcome::Done : order_outcome::Unknown);
            }
        }
        RC_ASSERT(role == wanted);
    }));
}

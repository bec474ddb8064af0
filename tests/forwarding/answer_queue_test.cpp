#include "forwarding/caller/answer_queue.h"

#include <catch2/catch.hpp>

#include <malloc.h>
#include <string>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr std::size_t memory = 1000000;

/** Returns how much the process holds of the allocator. */
std::size_t allocatedBytes()
{
    const struct mallinfo2 state = mallinfo2();
    return state.uordblks + state.hblkhd;
}

} // namespace

TEST_CASE("the bytes that a caller has not taken", "[forwarding]")
{
    byte_budget budget(memory);
    answer_queue queue(budget);
    CHECK(queue.stalledAt() == absl::InfiniteFuture());
    queue.add("first", start);
    CHECK(queue.next() == "first");

    SECTION("are written in order, in parts of any size")
    {
        queue.add(" second", start);
        queue.onWritten(2, start);
        CHECK(queue.next() == "rst");
        queue.onWritten(3, start);
        CHECK(queue.next() == " second");
        CHECK(queue.size() == 7);
        queue.onWritten(7, start);
        CHECK(queue.isEmpty());
        CHECK(budget.usedBytes() == 0);
    }

    SECTION("keep a caller that takes some of them within each span, however slow it is")
    {
        absl::Time now = start;
        for (int taken = 0; taken < 4; ++taken) {
            now += answer_queue::maxStall - absl::Milliseconds(1);
            CHECK(now < queue.stalledAt());
            queue.onWritten(1, now);
        }

        AND_THEN("one that takes nothing for that time has stalled, whatever is added")
        {
            queue.add("more", now + answer_queue::maxStall / 2);
            CHECK(queue.stalledAt() == now + answer_queue::maxStall);
        }
    }

    SECTION("count towards the memory of all answers until they are taken")
    {
        queue.add(std::string(memory / 2, 'x'), start);
        CHECK(queue.isFull());
        queue.onWritten(queue.next().size(), start);
        queue.onWritten(queue.next().size() - 1000, start);
        CHECK(queue.size() == 1000);

        AND_THEN("a block returns its memory once it is written whole")
        {
            const std::size_t before = allocatedBytes();
            queue.onWritten(1000, start);
            CHECK(budget.usedBytes() == 0);
            CHECK_FALSE(queue.isFull());
            CHECK(before - allocatedBytes() >= memory / 2);
        }
    }

    SECTION("leave the little that an ordinary answer needs to each caller")
    {
        answer_queue other(budget);
        other.add(std::string(memory, 'x'), start);
        CHECK_FALSE(queue.isFull());
        CHECK(other.isFull());
    }
}

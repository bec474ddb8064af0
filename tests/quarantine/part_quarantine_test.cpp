#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration settle = absl::Milliseconds(300);
constexpr part_id popular = 1;
constexpr part_id fatal = 2;
constexpr part_id own = 99;

target_end endOf(std::uint64_t target, absl::Duration at)
{
    return {.target = {.target = target, .startedAtMs = 7}, .address = target, .at = start + at};
}

target_loss lossOf(std::uint64_t target, absl::Duration at, std::vector<part_id> parts)
{
    return {.end = endOf(target, at), .parts = std::move(parts)};
}

std::vector<prompt_part> promptOf(const std::vector<part_id> &shared)
{
    std::vector<prompt_part> prompt;
    for (const part_id part : shared)
        prompt.push_back({.id = part, .tokens = 10});
    prompt.push_back({.id = own, .tokens = 10});
    return prompt;
}

void report(part_quarantine &quarantine, const target_loss &loss)
{
    quarantine.onLoss(loss, loss.end.at);
    quarantine.update(settle, loss.end.at + settle);
}

/** Three targets end one second after the other under the popular and the fatal part. */
void endThree(part_quarantine &quarantine)
{
    for (const std::uint64_t target : {1U, 2U, 3U})
        report(quarantine, lossOf(target, absl::Seconds(target), {popular, fatal}));
}

} // namespace

TEST_CASE("ends of targets add up by moments and addresses", "[quarantine]")
{
    const quarantine_limits limits;
    const absl::Time never = absl::InfinitePast();
    const std::vector<target_end> three {endOf(1, absl::Seconds(1)), endOf(2, absl::Seconds(2)),
                                         endOf(3, absl::Seconds(3))};

    SECTION("three moments suffice")
    {
        CHECK(mustHold(three, never, limits));
        CHECK_FALSE(mustHold(std::span(three).first(2), never, limits));

        AND_THEN("not for a part that was sound shortly before")
        {
            CHECK_FALSE(mustHold(three, start - absl::Seconds(20), limits));
            CHECK(mustHold(three, start - absl::Minutes(5), limits));
        }
        AND_THEN("ends before the last answer on the part do not count")
        {
            CHECK(endsSince(three, start + absl::Milliseconds(1500), limits).size() == 2);
        }
    }
    SECTION("ends at one moment count once, however many")
    {
        std::vector<target_end> ends;
        for (std::uint64_t target = 0; target < 40; ++target)
            ends.push_back(endOf(target, absl::Milliseconds(target)));
        CHECK(momentCount(ends, limits) == 1);
        CHECK_FALSE(mustHold(ends, never, limits));

        AND_THEN("a second moment suffices, since so many targets ended")
        {
            ends.push_back(endOf(40, absl::Seconds(1)));
            CHECK(mustHold(ends, never, limits));
        }
    }
    SECTION("one target that ends again and again needs more moments")
    {
        std::vector<target_end> ends;
        for (int round = 0; round < 4; ++round)
            ends.push_back({.target = {.target = 1, .startedAtMs = round},
                            .address = 1,
                            .at = start + absl::Seconds(5 * round)});
        CHECK_FALSE(mustHold(ends, never, limits));
        ends.push_back({.target = {.target = 1, .startedAtMs = 4},
                        .address = 1,
                        .at = start + absl::Seconds(20)});
        CHECK(mustHold(ends, never, limits));
    }
    SECTION("the ends that are kept of a part still suffice to hold it")
    {
        CHECK(rc::check("of any ends that suffice, six of them do", [] {
            const quarantine_limits rule;
            std::vector<target_end> ends;
            const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1500));
            int atMs = 0;
            for (const int gap : gaps) {
                atMs += gap;
                const auto target = *rc::gen::inRange<std::uint64_t>(1, 8);
                ends.push_back(endOf(target, absl::Milliseconds(atMs)));
            }
            const auto kept = mostTellingEnds(ends, 6, rule);
            RC_ASSERT(kept.size() <= 6U);
            if (mustHold(ends, absl::InfinitePast(), rule))
                RC_ASSERT(mustHold(kept, absl::InfinitePast(), rule));
        }));
    }
}

TEST_CASE("a prompt part under which targets end is held", "[quarantine]")
{
    part_quarantine quarantine;

    SECTION("while others that were answered meanwhile are not")
    {
        report(quarantine, lossOf(1, absl::Seconds(1), {popular, fatal}));
        const std::vector<part_id> sound {popular};
        quarantine.onSound(sound, start + absl::Milliseconds(1500));
        report(quarantine, lossOf(2, absl::Seconds(2), {popular, fatal}));
        CHECK(quarantine.isSuspect(promptOf({fatal})));
        CHECK_FALSE(quarantine.isSuspect(promptOf({popular})));
        report(quarantine, lossOf(3, absl::Seconds(3), {popular, fatal}));
        REQUIRE(quarantine.findHeld(promptOf({popular, fatal})) != nullptr);
        CHECK(quarantine.findHeld(promptOf({popular, fatal}))->part == fatal);
        CHECK(quarantine.findHeld(promptOf({popular})) == nullptr);

        AND_THEN("further ends under the held part do not count against others")
        {
            for (const std::uint64_t target : {4U, 5U, 6U, 7U})
                report(quarantine, lossOf(target, absl::Seconds(target), {popular, fatal}));
            CHECK(quarantine.findHeld(promptOf({popular})) == nullptr);
        }
        AND_THEN("the last part of a prompt is never meant")
        {
            CHECK(quarantine.findHeld({{.id = fatal, .tokens = 1}}) == nullptr);
        }
        AND_THEN("an answer on it releases it, and the others are told")
        {
            quarantine.takeNews(absl::Seconds(1), start + absl::Seconds(4));
            quarantine.takeEvents();
            const std::vector<part_id> answered {fatal};
            quarantine.onSound(answered, start + absl::Seconds(10));
            CHECK(quarantine.held().empty());
            const auto events = quarantine.takeEvents();
            REQUIRE(events.size() == 1);
            CHECK(events.front().step == quarantine_step::ReleasedSound);
            const auto news = quarantine.takeNews(absl::Seconds(1), start + absl::Seconds(11));
            REQUIRE(news);
            const std::vector<sound_part> told {{.part = fatal, .at = start + absl::Seconds(10)}};
            CHECK(news->sound == told);
        }
        AND_THEN("it is released when the list shows that targets did not end")
        {
            CHECK(quarantine.endsToCheck(absl::Seconds(5), start + absl::Seconds(5)).empty());
            CHECK(quarantine.endsToCheck(absl::Seconds(5), start + absl::Seconds(9)).size() == 3);
            quarantine.onTargetRunning({.target = 2, .startedAtMs = 7});
            CHECK(quarantine.held().empty());
        }
    }
    SECTION("nothing is decided before all routers can have told what they know of an end")
    {
        for (const std::uint64_t target : {1U, 2U, 3U})
            quarantine.onLoss(lossOf(target, absl::Seconds(target), {fatal}),
                              start + absl::Seconds(target));
        quarantine.update(settle, start + absl::Seconds(3));
        quarantine.update(settle, start + absl::Milliseconds(3299));
        CHECK(quarantine.held().empty());
        quarantine.update(settle, start + absl::Milliseconds(3300));
        CHECK(quarantine.held().contains(fatal));
    }
    SECTION("two parts that always come together are both held")
    {
        endThree(quarantine);
        CHECK(quarantine.held().contains(fatal));
        CHECK(quarantine.held().contains(popular));
    }
}

TEST_CASE("routers tell each other what they saw of targets that ended", "[quarantine]")
{
    part_quarantine first;
    part_quarantine second;
    part_quarantine third;
    const auto exchange = [&](absl::Time now) {
        for (part_quarantine *from : {&first, &second, &third}) {
            const auto news = from->takeNews(absl::Milliseconds(500), now);
            for (part_quarantine *to : {&first, &second, &third}) {
                if (news && to != from)
                    to->onNews(*news, "peer", now);
            }
        }
    };

    SECTION("ends that one router each saw add up")
    {
        first.onLoss(lossOf(1, absl::Seconds(1), {popular, fatal}), start + absl::Seconds(1));
        exchange(start + absl::Seconds(1));
        second.onSound(std::vector<part_id> {popular}, start + absl::Milliseconds(1200));
        second.onLoss(lossOf(2, absl::Seconds(2), {popular, fatal}), start + absl::Seconds(2));
        exchange(start + absl::Seconds(2));
        third.onLoss(lossOf(3, absl::Seconds(3), {popular, fatal}), start + absl::Seconds(3));
        exchange(start + absl::Seconds(3));
        for (part_quarantine *router : {&first, &second, &third}) {
            router->update(settle, start + absl::Seconds(4));
            CHECK(router->held().size() == 1);
            CHECK(router->held().contains(fatal));
        }

        AND_THEN("a router that starts later learns it from any of them")
        {
            part_quarantine late;
            first.takeNews(absl::Milliseconds(500), start + absl::Seconds(5));
            const auto news = first.takeNews(absl::Milliseconds(500), start + absl::Seconds(20));
            REQUIRE(news);
            late.onNews(*news, "peer", start + absl::Seconds(20));
            CHECK(late.held().contains(fatal));
        }
        AND_THEN("outdated news do not bring it back once it was sound, and are answered")
        {
            first.takeNews(absl::Milliseconds(500), start + absl::Seconds(5));
            const auto old = first.takeNews(absl::Milliseconds(500), start + absl::Seconds(20));
            second.onSound(std::vector<part_id> {fatal}, start + absl::Seconds(10));
            const auto answer = second.takeNews(absl::Milliseconds(500), start + absl::Seconds(21));
            REQUIRE(old);
            second.onNews(*old, "peer", start + absl::Seconds(22));
            CHECK(second.held().empty());
            const auto again = second.takeNews(absl::Milliseconds(500), start + absl::Seconds(23));
            REQUIRE(again);
            first.onNews(*again, "peer", start + absl::Seconds(23));
            CHECK(first.held().empty());
        }
    }
    SECTION("news that are doubled and come in any order change nothing")
    {
        endThree(first);
        quarantine_news news {
            .losses = {lossOf(1, absl::Seconds(1), {fatal}), lossOf(2, absl::Seconds(2), {fatal})}};
        for (int round = 0; round < 20; ++round) {
            std::reverse(news.losses.begin(), news.losses.end());
            second.onNews(news, "peer", start + absl::Seconds(2 + round));
            second.update(settle, start + absl::Seconds(3 + round));
        }
        CHECK(second.held().empty());
    }
    SECTION("a part that this router sees answered is not held on the word of others")
    {
        endThree(first);
        first.takeNews(absl::Milliseconds(500), start + absl::Seconds(4));
        const auto news = first.takeNews(absl::Milliseconds(500), start + absl::Seconds(6));
        REQUIRE(news);
        second.onSound(std::vector<part_id> {popular}, start + absl::Seconds(5));
        second.onNews(*news, "peer", start + absl::Seconds(6));
        CHECK_FALSE(second.held().contains(popular));
    }
}

TEST_CASE("a held prompt part is tried by one router for all, at growing intervals", "[quarantine]")
{
    constexpr std::size_t routers = 5;
    part_quarantine quarantine;
    for (const std::uint64_t target : {1U, 2U, 3U})
        report(quarantine, lossOf(target, absl::Seconds(target), {fatal}));
    REQUIRE(quarantine.held().contains(fatal));
    const absl::Time since = quarantine.held().at(fatal).since;

    std::vector<absl::Duration> trials;
    for (absl::Duration at; at < absl::Minutes(20); at += absl::Milliseconds(100)) {
        // Of the routers, one has the turn; here each of them asks the same quarantine.
        for (std::size_t rank = 0; rank < routers; ++rank) {
            if (quarantine.tryTrial(fatal, {.rank = rank, .routers = routers}, since + at))
                trials.push_back(at);
        }
    }
    REQUIRE(trials.size() >= 3);
    CHECK(trials.size() <= 4);
    CHECK(trials.front() >= absl::Seconds(30));
    for (std::size_t index = 1; index < trials.size(); ++index)
        CHECK(trials[index] - trials[index - 1] >= absl::Seconds(100));

    SECTION("no two routers have their turn at the same time")
    {
        for (absl::Duration at; at < absl::Seconds(30); at += absl::Milliseconds(50)) {
            int turns = 0;
            for (std::size_t rank = 0; rank < routers; ++rank) {
                part_quarantine copy = quarantine;
                const absl::Time due = nextTrialAt(copy.held().at(fatal));
                turns += copy.tryTrial(fatal, {.rank = rank, .routers = routers}, due + at);
            }
            CHECK(turns <= 1);
        }
    }
}

TEST_CASE("the evidence on prompt parts takes bounded memory and messages", "[quarantine]")
{
    part_quarantine quarantine;
    for (std::uint64_t target = 0; target < 3000; ++target) {
        std::vector<part_id> parts;
        for (part_id part = 0; part < 200; ++part)
            parts.push_back(target * 1000 + part);
        const absl::Duration at = absl::Milliseconds(10 * target);
        quarantine.onLoss(lossOf(target, at, parts), start + at);
        const std::vector<part_id> answered {target * 1000 + 500};
        quarantine.onSound(answered, start + at);
    }
    const absl::Time now = start + absl::Seconds(40);
    CHECK(quarantine.endsToCheck(absl::Seconds(5), now).size() <= loss_table::maxEnds);
    for (int round = 0; round < 100; ++round) {
        const auto news = quarantine.takeNews(absl::Seconds(1), now + absl::Seconds(round));
        if (!news)
            continue;
        CHECK(news->losses.size() <= 12);
        for (const target_loss &loss : news->losses)
            CHECK(loss.parts.size() <= 40);
    }

    SECTION("a held part outlives the ends that the table drops")
    {
        part_quarantine full;
        for (const std::uint64_t target : {1U, 2U, 3U})
            report(full, lossOf(target, absl::Seconds(target), {fatal}));
        REQUIRE(full.held().contains(fatal));
        for (std::uint64_t target = 100; target < 100 + loss_table::maxEnds; ++target)
            report(full, lossOf(target, absl::Seconds(4 + target), {popular}));
        report(full, lossOf(4, absl::Seconds(2000), {fatal}));
        full.onSound(std::vector<part_id> {fatal}, start);
        CHECK(full.held().contains(fatal));
    }
    SECTION("a part that is told to be held without any end is not, and not answered")
    {
        part_quarantine fresh;
        fresh.onNews({.held = {{.part = fatal, .since = now}}}, "peer", now);
        CHECK(fresh.held().empty());
        CHECK_FALSE(fresh.takeNews(absl::Seconds(1), now));
    }
    SECTION("no more parts are held than the table has room for, and that is recorded")
    {
        part_quarantine full;
        for (part_id part = 0; part < 300; ++part) {
            for (const std::uint64_t target : {1U, 2U, 3U})
                report(full,
                       lossOf(part * 10 + target,
                              absl::Seconds(10 * static_cast<double>(part) + target),
                              {part + 1000}));
        }
        CHECK(full.held().size() <= part_quarantine::maxHeldParts);
        const auto events = full.takeEvents();
        CHECK(events.size() <= 256);
    }
}

TEST_CASE("random evidence never holds a part that is answered all the time", "[quarantine]")
{
    CHECK(rc::check("losses, answers and news in random order", [] {
        part_quarantine quarantine;
        absl::Time now = start;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        std::uint64_t target = 0;
        for (const int step : steps) {
            now += absl::Milliseconds(*rc::gen::inRange(0, 400));
            ++target;
            const target_loss loss {.end = {.target = {.target = target, .startedAtMs = 1},
                                            .address = target % 7,
                                            .at = now},
                                    .parts = {popular, fatal + target % 3}};
            if (step == 0)
                quarantine.onLoss(loss, now);
            else if (step == 1)
                quarantine.onNews({.losses = {loss}}, "peer", now);
            else
                quarantine.onNews({.held = {{.part = popular, .since = now, .ends = {loss.end}}}},
                                  "peer", now);
            quarantine.onSound(std::vector<part_id> {popular}, now);
            quarantine.update(settle, now);
            quarantine.takeNews(absl::Seconds(1), now);
            RC_ASSERT(!quarantine.held().contains(popular));
        }
    }));
}

#include "bench/load/gap_meter.h"
#include "bench/load/load_statistics.h"
#include "bench/load/utilisation_series.h"

#include <catch2/catch.hpp>

using namespace quetzal;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

const load_result whole {load_outcome::Complete, 0, "", 0};
const load_result notRun {load_outcome::Refused, 2001, "not_run", 0};
const load_result unknown {load_outcome::Refused, 3001, "outcome_unknown", 0};

load_request booking(const std::string &id)
{
    return {"town/" + id, "town", "roster-app", false, 2.0};
}

load_request chat(const std::string &id)
{
    return {"town/" + id, "town", "roster-llm", true, 0.0};
}

logged_execution executed(const std::string &id, absl::Duration at = absl::ZeroDuration())
{
    return {"town/" + id, "nashua", start + at};
}

} // namespace

SCENARIO("the statistics of a load run show violations")
{
    load_statistics statistics;
    const auto finish = [&statistics](const load_request &request, const load_result &result) {
        statistics.start(request, start);
        statistics.finish(request.callerRequestId, result, start + absl::Seconds(1));
    };
    const auto violations = [&statistics](const std::vector<logged_execution> &executions) {
        return statistics.reconcile(executions, {}, absl::Seconds(3));
    };

    GIVEN("a booking with a complete answer")
    {
        finish(booking("a"), whole);
        THEN("one execution is correct, none is a violation, and each further one is a duplicate")
        {
            CHECK_FALSE(violations({executed("a")}).any());
            CHECK(violations({}).answeredWithoutExecution == 1);
            CHECK(violations({executed("a"), executed("a"), executed("a")}).duplicateExecutions
                  == 2);
        }
    }
    GIVEN("a booking whose outcome is unknown")
    {
        finish(booking("a"), unknown);
        THEN("it may have been executed at most once")
        {
            finish(booking("b"), whole);
            CHECK_FALSE(violations({executed("b")}).any());
            CHECK_FALSE(violations({executed("a"), executed("b")}).any());
            CHECK(violations({executed("a"), executed("a")}).duplicateExecutions == 1);
        }
    }
    GIVEN("a request rejected as not run")
    {
        finish(chat("a"), notRun);
        THEN("no execution may be logged")
        {
            CHECK(violations({}).executedDespiteNotRun == 0);
            CHECK(violations({executed("a")}).executedDespiteNotRun == 1);
            CHECK(violations({}).starvedWorkspaces == 1);
        }
    }
    GIVEN("a model request that was retried")
    {
        finish(chat("a"), whole);
        CHECK_FALSE(violations({executed("a"), executed("a")}).any());
    }
    GIVEN("a wrong answer and one that was interrupted")
    {
        finish(chat("a"), {load_outcome::Wrong, 0, "", 3});
        finish(chat("b"), {load_outcome::Broken, 0, "", 3});
        CHECK(violations({}).wrongAnswers == 1);
        CHECK(violations({}).brokenAnswers == 1);
    }
    GIVEN("a data centre that is out of use for ten seconds")
    {
        const std::vector<outage_window> windows {{"nashua", start, start + absl::Seconds(10)}};
        const auto startedDuringOutage = [&](absl::Duration at) {
            return statistics.reconcile({executed("a", at)}, windows, absl::Seconds(3))
                .startedDuringOutage;
        };
        CHECK(startedDuringOutage(absl::Seconds(3)) == 0);
        CHECK(startedDuringOutage(absl::Milliseconds(3001)) == 1);
        CHECK(startedDuringOutage(absl::Seconds(10)) == 0);
    }
}

SCENARIO("service and latencies are recorded for each workspace")
{
    load_statistics statistics;
    statistics.start(chat("a"), start);
    statistics.start(booking("b"), start);
    CHECK(statistics.inProgress("town", "roster-llm") == 1);
    statistics.addTokens("town/a", 1, start + absl::Milliseconds(300));
    statistics.addTokens("town/a", 2, start + absl::Milliseconds(340));
    statistics.finish("town/a", whole, start + absl::Seconds(1));
    statistics.finish("town/b", whole, start + absl::Seconds(2));

    const workspace_statistics &townStatistics = statistics.workspaces().at("town");
    CHECK(townStatistics.tokens == 3);
    CHECK(townStatistics.service.at("roster-llm") == 3.0);
    CHECK(townStatistics.service.at("roster-app") == 2.0);
    CHECK(statistics.firstToken("town").median == absl::Milliseconds(300));
    CHECK(statistics.betweenTokens("town").median == absl::Milliseconds(20));
    CHECK(statistics.inProgress("town", "roster-llm") == 0);
    CHECK(summarise({absl::Seconds(2), absl::Seconds(1)}).p99 == absl::Seconds(2));
}

SCENARIO("utilisation is the busy fraction of the available slots, without excluded data centres")
{
    utilisation_series series;
    series.add(start, {{"nashua", {0.0, 0.0}}, {"lowell", {0.0, 0.0}}});
    series.add(start + absl::Seconds(1), {{"nashua", {6.0, 8.0}}, {"lowell", {2.0, 8.0}}});
    series.add(start + absl::Seconds(2), {{"nashua", {14.0, 16.0}}, {"lowell", {2.0, 16.0}}});

    CHECK(series.utilisationBetween(start, start + absl::Seconds(2), {}) == 0.5);
    CHECK(series.utilisationBetween(start + absl::Seconds(1), start + absl::Seconds(2), {"lowell"})
          == 1.0);
    CHECK(series.utilisationBetween(start + absl::Seconds(5), start + absl::Seconds(9), {}) == 0.0);
    CHECK(series.utilisationOf("lowell") == 0.125);
}

SCENARIO("the gap is the widest over all intervals in which both workspaces are backlogged")
{
    gap_meter meter;
    const auto add = [&meter](double first, double second, bool backlogged = true) {
        meter.add({{"a", {first, true}}, {"b", {second, backlogged}}});
    };
    add(0, 0);
    add(10, 4);
    add(10, 13);
    CHECK(meter.widest() == 9.0);
    CHECK(meter.widestOf("b") == 9.0);
    CHECK(meter.widestOf("c") == 0.0);
    CHECK(meter.pair() == std::pair<std::string, std::string>("a", "b"));

    WHEN("one workspace is not backlogged in between")
    {
        add(50, 13, false);
        add(50, 13);
        add(52, 13);
        THEN("the service in that time is not counted")
        {
            CHECK(meter.widest() == 9.0);
        }
    }
}

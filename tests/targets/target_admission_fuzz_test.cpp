#include "simulated_target.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>

using namespace quetzal;

namespace {

enum class disturbance
{
    Wait,
    RestartWithReset,
    RestartWithoutReset,
    Down,
    Up,
    Hang,
    StopHanging,
    StartDraining,
    StopDraining,
    ListAsDraining,
    ListAsNotDraining,
    LagReports,
    DelayAnswers,
    Count,
};

/** Returns a number below the bound, independent of the size of the test case. */
int below(int bound)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

struct disturbance_model
{
};

class disturbance_command : public rc::state::Command<disturbance_model, simulated_target>
{
public:
    disturbance_command()
        : m_kind(static_cast<disturbance>(below(static_cast<int>(disturbance::Count))))
        , m_amount(below(100))
        , m_after(absl::Milliseconds(50 * below(200)))
    {
    }

    void run(const disturbance_model & /*model*/, simulated_target &target) const override
    {
        disturb(target);
        target.run(m_after);
        if (!target.violation().empty())
            RC_FAIL(target.violation());
    }

    void show(std::ostream &out) const override
    {
        out << "{" << static_cast<int>(m_kind) << ", " << m_amount << ", "
            << absl::FormatDuration(m_after) << "}";
    }

private:
    void disturb(simulated_target &target) const
    {
        switch (m_kind) {
        case disturbance::RestartWithReset:
            return target.restart(true);
        case disturbance::RestartWithoutReset:
            return target.restart(false);
        case disturbance::Down:
        case disturbance::Up:
            return target.setDown(m_kind == disturbance::Down);
        case disturbance::Hang:
        case disturbance::StopHanging:
            return target.setHung(m_kind == disturbance::Hang);
        case disturbance::StartDraining:
        case disturbance::StopDraining:
            return target.setDraining(m_kind == disturbance::StartDraining);
        case disturbance::ListAsDraining:
        case disturbance::ListAsNotDraining:
            return target.setListedDraining(m_kind == disturbance::ListAsDraining);
        case disturbance::LagReports:
            return target.setReportLag(absl::Milliseconds(40 * m_amount));
        case disturbance::DelayAnswers:
            return target.setAnswerDelay(absl::Milliseconds(10 * m_amount));
        case disturbance::Wait:
        case disturbance::Count:
            return;
        }
    }

    disturbance m_kind;
    int m_amount;
    absl::Duration m_after;
};

} // namespace

TEST_CASE("no sequence of disturbances overloads a new instance or leaves a running one idle")
{
    CHECK(rc::check("admission under disturbances", [] {
        const target_admission_options options {.warmLimit = 4 + below(13),
                                                .coldLimit = 1 + below(3)};
        simulated_target target(options, *rc::gen::arbitrary<std::uint64_t>());
        target.setColdTime(absl::Seconds(below(8)));
        const disturbance_model model;
        const auto commands = *rc::state::gen::commands(
            model, rc::state::gen::execOneOfWithArgs<disturbance_command>());
        rc::state::runAll(commands, model, target);
        target.setDown(false);
        target.setHung(false);
        target.setDraining(false);
        target.setListedDraining(false);
        target.run(absl::Seconds(40));
        if (!target.violation().empty())
            RC_FAIL(target.violation());
        RC_ASSERT(target.phase() == target_phase::Warm);
    }));
}

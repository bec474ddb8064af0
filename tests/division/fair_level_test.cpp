#include "forwarding/forwarding.h"
#include "foundation/hashing/stable_hash.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration tick = absl::Milliseconds(5);
constexpr std::int64_t promptTokens = 2000;
constexpr int targets = 4;

std::shared_ptr<const route_table> table()
{
    route_table_options options {.version = 1};
    options.routes = {{.name = "note",
                       .host = "h.example",
                       .pathPrefix = "/note/",
                       .kind = request_kind::Stream,
                       .services = {{.service = "model"}},
                       .latencyObjective = absl::Milliseconds(500)}};
    options.services = {{.name = "model", .promptCacheTokens = 500000}};
    options.limits.tokensPerSecond = 80000.0;
    options.workspaceOfKey = {{"greedy", "greedy"}, {"modest", "modest"}};
    options.hasWorkspaces = true;
    return std::make_shared<const route_table>(std::move(options));
}

/** What happened in one second. */
struct second_record
{
    std::int64_t greedyTokens = 0;
    std::int64_t modestTokens = 0;
    int rejected = 0;
    /** The time in which the targets that are up had work, over all their time. */
    double busy = 0.0;
};

/** One node and targets that serve one request after the other, without a network. */
class small_service
{
public:
    small_service()
        : m_node({.dataCentre = "north", .routers = {.self = "vm1", .members = {"vm1"}}})
    {
        m_node.setRoutes(table());
        for (int index = 0; index < targets; ++index)
            addTarget(index, start);
    }

    void addTarget(int index, absl::Time now)
    {
        const std::string id = "e" + std::to_string(index);
        m_node.applyTarget({.id = id,
                            .service = "model",
                            .address = {.host = "10.0.0.1", .port = 80},
                            .dataCentre = "north",
                            .slots = 64,
                            .startedAtMs = 1},
                           true, now);
        m_freeAt[id] = now;
    }

    void dropTarget(int index)
    {
        const std::string id = "e" + std::to_string(index);
        m_node.dropTarget(id);
        m_freeAt.erase(id);
    }

    /** Plays one second. @param greedyPerTick, modestPerTick requests that callers send */
    second_record play(int greedyPerTick, int modestPerTick)
    {
        second_record record;
        const absl::Time end = m_now + absl::Seconds(1);
        absl::Duration busy;
        for (; m_now < end; m_now += tick) {
            answer();
            for (int request = 0; request < greedyPerTick; ++request)
                record.greedyTokens += ask("greedy", record);
            for (int request = 0; request < modestPerTick; ++request)
                record.modestTokens += ask("modest", record);
            for (const auto &[id, freeAt] : m_freeAt)
                busy += std::clamp(freeAt - m_now, absl::ZeroDuration(), tick);
        }
        record.busy = absl::ToDoubleSeconds(busy) / static_cast<double>(m_freeAt.size());
        return record;
    }

private:
    struct open_answer
    {
        std::uint64_t number = 0;
        std::string target;
        absl::Time at;
    };

    std::int64_t ask(const std::string &key, second_record &record)
    {
        ++m_number;
        const request_description request {.id = "r" + std::to_string(m_number),
                                           .method = "POST",
                                           .host = "h.example",
                                           .path = "/note/x",
                                           .key = key,
                                           .callerTimeout = absl::Seconds(10),
                                           .prompt = {{.id = m_number, .tokens = promptTokens}}};
        const auto admitted = std::get<admitted_request>(m_node.admit(request, m_now));
        const auto decision = m_node.place(m_number, admitted, request, {}, m_now);
        const auto *destination = std::get_if<placement>(&decision);
        if (destination == nullptr) {
            ++record.rejected;
            return 0;
        }
        absl::Time &freeAt = m_freeAt.at(destination->target);
        freeAt = std::max(freeAt, m_now) + destination->work;
        m_answers.push_back({.number = m_number, .target = destination->target, .at = freeAt});
        return promptTokens;
    }

    void answer()
    {
        std::erase_if(m_answers, [&](const open_answer &open) {
            if (open.at > m_now)
                return false;
            m_node.onAnswerBegan(open.number, open.target, m_now);
            m_node.onEnded(open.number, open.target, exchange_end::Answered, m_now);
            return true;
        });
    }

    forwarding_node m_node;
    absl::Time m_now = start;
    std::uint64_t m_number = 0;
    std::map<std::string, absl::Time> m_freeAt;
    std::vector<open_answer> m_answers;
};

constexpr int settlingSeconds = 2;
constexpr int phaseSeconds = 6;
constexpr double minBusy = 0.75;

/** Plays a phase and checks each of its seconds once the change before it has settled. */
std::int64_t playOverload(small_service &service, int greedyPerTick, int modestPerTick)
{
    std::int64_t greedyTokens = 0;
    std::int64_t modestTokens = 0;
    for (int second = 0; second < phaseSeconds; ++second) {
        const second_record record = service.play(greedyPerTick, modestPerTick);
        INFO("second " << second << " of the phase, rejected " << record.rejected);
        if (second < settlingSeconds)
            continue;
        greedyTokens += record.greedyTokens;
        modestTokens += record.modestTokens;
        CHECK(record.rejected > 0);
        CHECK(record.busy >= minBusy);
    }
    // Half is what the users ask for; a division that is max-min gives about all of it.
    CHECK(modestTokens >= greedyTokens * 3 / 4);
    return greedyTokens + modestTokens;
}

} // namespace

TEST_CASE("a limit that fell with the targets rises again with them, second by second",
          "[division]")
{
    constexpr int greedyPerTick = 3;
    constexpr int modestPerTick = 1;
    small_service service;
    const std::int64_t before = playOverload(service, greedyPerTick, modestPerTick);

    for (int index = 1; index < targets; ++index)
        service.dropTarget(index);
    const std::int64_t meanwhile = playOverload(service, greedyPerTick, modestPerTick);
    CHECK(meanwhile >= before / targets * 8 / 10);

    for (int index = 1; index < targets; ++index)
        service.addTarget(index, start + absl::Seconds(2 * phaseSeconds));
    const std::int64_t after = playOverload(service, greedyPerTick, modestPerTick);
    CHECK(after >= before * 9 / 10);

    SECTION("and nothing is rejected any more once the capacity covers the demand")
    {
        service.play(0, 0);
        service.play(0, 0);
        for (int second = 0; second < phaseSeconds; ++second)
            CHECK(service.play(0, 1).modestTokens > 0);
    }
}

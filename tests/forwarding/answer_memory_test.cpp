#include "forwarding/forwarding.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace quetzal;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr std::size_t megabyte = std::size_t {1024} * 1024;
constexpr std::size_t maxAnswerBytes = 8 * megabyte;
constexpr std::size_t requestCount = 300;

std::shared_ptr<const route_table> routes()
{
    route_table_options options {.version = 1};
    const auto add = [&](const std::string &name, const std::string &service, request_kind kind,
                         bool isResumable) {
        options.routes.push_back({.name = name,
                                  .host = "h",
                                  .pathPrefix = "/" + name + "/",
                                  .kind = kind,
                                  .services = {{.service = service}},
                                  .timeout = absl::Seconds(30),
                                  .maxAttempts = 1,
                                  .isPublic = true,
                                  .isResumable = isResumable});
    };
    add("safe", "s", request_kind::Idempotent, false);
    add("resume", "s", request_kind::Stream, true);
    add("small", "other", request_kind::Idempotent, false);
    options.services = {{.name = "s"}, {.name = "other"}};
    return std::make_shared<const route_table>(std::move(options));
}

template <typename Action>
bool has(const request_actions &actions)
{
    return std::any_of(actions.begin(), actions.end(), [](const request_action &action) {
        return std::holds_alternative<Action>(action);
    });
}

struct router
{
    router()
        : node({.dataCentre = "north",
                .routers = {.self = "vm", .members = {"vm"}},
                .maxAnswerBytes = maxAnswerBytes})
    {
        node.setRoutes(routes());
        node.applyTarget({.id = "e1", .service = "s", .slots = 900, .startedAtMs = 1}, true, start);
        node.applyTarget({.id = "e2", .service = "other", .slots = 900, .startedAtMs = 1}, true,
                         start);
    }

    std::unique_ptr<request_lifecycle> begin(const std::string &route, int status)
    {
        node.onTurnEnded();
        const std::string id = "r" + std::to_string(++number);
        auto request = std::make_unique<request_lifecycle>(
            node, number,
            request_description {
                .id = id, .method = "POST", .host = "h", .path = "/" + route + "/x"},
            start);
        request->start(start);
        request->onAnswerHead({.requestId = id, .status = status, .isSigned = true}, start);
        return request;
    }

    forwarding_node node;
    std::uint64_t number = 0;
};

} // namespace

TEST_CASE("answers without end at many requests at once stay within the memory for answers",
          "[life]")
{
    router testRouter;
    const std::string piece(8192, 'x');
    const auto [route, status]
        = GENERATE(table<std::string, int>({{"safe", 500}, {"safe", 200}, {"resume", 200}}));
    CAPTURE(route, status);
    std::vector<std::unique_ptr<request_lifecycle>> requests;
    for (std::size_t count = 0; count < requestCount; ++count)
        requests.push_back(testRouter.begin(route, status));

    std::size_t most = 0;
    std::size_t cutOff = 0;
    for (int round = 0; round < 140; ++round) {
        for (const auto &request : requests) {
            const request_actions actions = request->onAnswerBody(piece, start);
            cutOff += has<release_target>(actions) || has<begin_stream>(actions) ? 1 : 0;
            most = std::max(most, testRouter.node.answerMemory().usedBytes());
        }
        // A small answer finds room at any time.
        const auto small = testRouter.begin("small", 200);
        CHECK_FALSE(has<release_target>(small->onAnswerBody(std::string(4000, 'y'), start)));
        CHECK(has<relay_answer>(small->onAnswerComplete(start)));
    }
    CHECK(cutOff == requestCount);
    constexpr std::size_t minBytesOfOne = 16384;
    CHECK(most <= maxAnswerBytes + requestCount * (minBytesOfOne + piece.size()));

    requests.clear();
    CHECK(testRouter.node.answerMemory().usedBytes() == 0);
}

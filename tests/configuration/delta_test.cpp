#include "sample_documents.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>

using namespace quetzal;

namespace {

/** Typical changes by operators to a document of 15,000 workspaces, each with a description. */
std::vector<std::pair<std::string, configuration_document>> operatorChanges()
{
    const configuration_document base = sampleDocument(15000);
    std::vector<std::pair<std::string, configuration_document>> changes;
    changes.emplace_back("one workspace's share", base);
    changes.back().second.workspaces[7000].share = 123.25;
    changes.emplace_back("one workspace added", base);
    changes.back().second.workspaces.push_back(sampleDocument(15001).workspaces.back());
    changes.emplace_back("one workspace removed", base);
    changes.back().second.workspaces.erase(changes.back().second.workspaces.begin() + 30);
    changes.emplace_back("a data centre out", base);
    changes.back().second.dataCentres[0].state = data_centre_state::Out;
    changes.emplace_back("every hundredth workspace's key", base);
    for (std::size_t index = 0; index < base.workspaces.size(); index += 100)
        changes.back().second.workspaces[index].keyDigests
            = {sha256Hex("new" + std::to_string(index))};
    return changes;
}

} // namespace

SCENARIO("a delta turns one document into the next")
{
    SECTION("any two texts")
    {
        CHECK(rc::check("any two texts", [] {
            const auto words = rc::gen::container<std::vector<std::string>>(
                rc::gen::element<std::string>("town", std::string(200, 'x'), "{\"share\":1.0}"));
            std::string base;
            std::string text;
            for (const std::string &word : *words)
                base += word;
            for (const std::string &word : *words)
                text += word;
            const document_delta delta = makeDelta(base, text);
            RC_ASSERT(readDelta(toJson(delta)) == delta);
            RC_ASSERT(applyDelta(delta, base) == text);
            if (base != text)
                RC_ASSERT(!applyDelta(delta, text));
        }));
    }
    SECTION("a follower applies a delta only to its base document")
    {
        const std::string first = toCanonicalJson(sampleDocument(3));
        const std::string second = toCanonicalJson(sampleDocument(3, 5.0));
        const document_delta delta = makeDelta(first, second);
        configuration_follower follower({.keyPrefix = ""});
        CHECK(follower.onDelta(2, delta) == adoption_result::DeltaNotApplicable);
        CHECK(follower.onDocument(1, sha256Hex(first), first) == adoption_result::Adopted);
        CHECK(follower.onDelta(1, delta) == adoption_result::NotNewer);
        CHECK(follower.onDelta(2, delta) == adoption_result::Adopted);
        CHECK(follower.current()->text == second);
        CHECK(follower.onDelta(3, delta) == adoption_result::DeltaNotApplicable);
    }
    SECTION("a malformed or mismatched delta is rejected")
    {
        document_delta delta = makeDelta("base", "text");
        delta.parts = {copied_range {3, 2}};
        CHECK(!applyDelta(delta, "base"));
        delta.parts = {copied_range {~std::size_t {0}, 2}};
        CHECK(!applyDelta(delta, "base"));
        delta.parts = {std::string("other")};
        CHECK(!applyDelta(delta, "base"));
        CHECK(!readDelta(R"({"baseDigest": "a", "digest": "b", "parts": [[1]]})"));
        CHECK(!readDelta(R"({"baseDigest": "a", "digest": "b", "parts": [[-1, 2]]})"));
        CHECK(!readDelta(R"({"baseDigest": "a", "digest": "b"})"));
    }
}

SCENARIO("320 changes a day of 15,000 workspaces fit the control traffic budget of a node")
{
    using clock = std::chrono::steady_clock;
    constexpr double changesPerSecond = 320.0 / 86400.0;
    constexpr double budgetBytesPerSecond = 3.0 * 1024.0;
    const std::string base = toCanonicalJson(sampleDocument(15000));
    std::string report = "whole document: " + std::to_string(base.size()) + " bytes, "
        + std::to_string(static_cast<int>(static_cast<double>(base.size()) * changesPerSecond))
        + " bytes a second";
    for (const auto &[name, document] : operatorChanges()) {
        const std::string text = toCanonicalJson(document);
        const clock::time_point start = clock::now();
        const document_delta delta = makeDelta(base, text);
        const clock::time_point made = clock::now();
        CHECK(applyDelta(delta, base) == text);
        const clock::time_point applied = clock::now();
        const std::size_t bytes = toJson(delta).size();
        CHECK(static_cast<double>(bytes) * changesPerSecond < 0.1 * budgetBytesPerSecond);
        if (name.find("every") == std::string::npos)
            CHECK(bytes < 2048);
        const std::chrono::duration<double, std::milli> making = made - start;
        const std::chrono::duration<double, std::milli> applying = applied - made;
        report += "\n" + name + ": delta " + std::to_string(bytes) + " bytes, made in "
            + std::to_string(making.count()) + " ms, applied in " + std::to_string(applying.count())
            + " ms";
    }
    WARN(report);
}

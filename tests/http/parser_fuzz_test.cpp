#include "http/http.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

using namespace quetzal;

namespace {

constexpr request_limits limits {.headBytes = 2000, .bodyBytes = 500};

/** Generates values of the full range, whatever RapidCheck's size parameter. */
template <typename Integer>
rc::Gen<Integer> anyInRange(Integer minimum, Integer exclusiveMaximum)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Integer>(minimum, exclusiveMaximum));
}

std::string anyText(const std::string &alphabet, std::size_t exclusiveMaxLength)
{
    std::string text;
    const auto length = *anyInRange<std::size_t>(1, exclusiveMaxLength);
    for (std::size_t index = 0; index < length; ++index)
        text += alphabet[*anyInRange<std::size_t>(0, alphabet.size())];
    return text;
}

/** A well-formed request. */
struct valid_request
{
    std::string bytes;
    std::string body;
};

valid_request anyRequest()
{
    const std::string names = "abcXYZ-";
    const std::string values = "abc019 =;/\"";
    valid_request request;
    request.bytes = *rc::gen::element<std::string>("POST", "PUT", "DELETE") + " /"
        + anyText("abc/?=&%20", 12) + " HTTP/1.1\r\nHost: h\r\n";
    const auto fields = *anyInRange<std::size_t>(0, 5);
    for (std::size_t index = 0; index < fields; ++index)
        request.bytes += "X-" + anyText(names, 8) + ": v" + anyText(values, 20) + "v\r\n";
    const auto length = *anyInRange<std::size_t>(0, 60);
    for (std::size_t index = 0; index < length; ++index)
        request.body += "0123456789\r\nab:"[*anyInRange<std::size_t>(0, 15)];
    if (*rc::gen::arbitrary<bool>()) {
        request.bytes += "Content-Length: " + std::to_string(length) + "\r\n\r\n" + request.body;
        return request;
    }
    request.bytes += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t begin = 0; begin < length;) {
        const std::size_t size = std::min(*anyInRange<std::size_t>(1, 20), length - begin);
        request.bytes += toChunk(std::string_view(request.body).substr(begin, size));
        begin += size;
    }
    request.bytes += lastChunk;
    return request;
}

/** Result of parsing. */
struct reading
{
    request_fault fault = request_fault::None;
    bool isComplete = false;
    request_head head;
    std::string body;
    /** Bytes after the request. */
    std::string rest;

    bool operator==(const reading &) const = default;
};

/** Feeds the bytes to a reader in pieces; the lengths are used cyclically. */
reading read(std::string_view bytes, const std::vector<std::size_t> &pieces)
{
    request_reader reader(limits);
    std::string input;
    std::size_t turn = 0;
    while (!bytes.empty()) {
        const std::size_t size = std::min(pieces[turn++ % pieces.size()], bytes.size());
        input += bytes.substr(0, size);
        bytes.remove_prefix(size);
        input.erase(0, reader.consume(input));
    }
    reading result {.fault = reader.fault(), .isComplete = reader.isComplete()};
    if (result.fault == request_fault::None && reader.isHeadComplete())
        result.head = reader.head();
    if (result.fault == request_fault::None && result.isComplete) {
        result.body = reader.body();
        result.rest = input;
    }
    return result;
}

/** Returns the bytes with some replaced, inserted or removed, or with lines duplicated. */
std::string mutated(std::string bytes)
{
    const std::string mutationBytes
        = std::string("\r\n:; \t\0,0159aZ\x80\xff", 16) + "chunkedContent-Length";
    const auto edits = *anyInRange(1, 5);
    for (int edit = 0; edit < edits && !bytes.empty(); ++edit) {
        const auto at = *anyInRange<std::size_t>(0, bytes.size());
        const char byte = mutationBytes[*anyInRange<std::size_t>(0, mutationBytes.size())];
        switch (*anyInRange(0, 4)) {
        case 0:
            bytes[at] = byte;
            break;
        case 1:
            bytes.insert(at, 1, byte);
            break;
        case 2:
            bytes.erase(at, *anyInRange<std::size_t>(1, 4));
            break;
        default: {
            const std::size_t line = bytes.rfind('\n', at);
            const std::size_t end = bytes.find('\n', at);
            if (line != std::string::npos && end != std::string::npos)
                bytes.insert(end + 1, bytes.substr(line + 1, end - line));
            break;
        }
        }
    }
    return bytes;
}

std::vector<std::size_t> anyPieces()
{
    std::vector<std::size_t> pieces;
    const auto count = *anyInRange<std::size_t>(1, 6);
    for (std::size_t index = 0; index < count; ++index)
        pieces.push_back(*anyInRange<std::size_t>(1, 40));
    return pieces;
}

} // namespace

TEST_CASE("request_reader with random splits and mutations", "[http][fuzz]")
{
    CHECK(rc::check("a valid request is parsed completely however it is split", [] {
        const valid_request request = anyRequest();
        const reading result = read(request.bytes, anyPieces());
        RC_ASSERT(result.fault == request_fault::None);
        RC_ASSERT(result.isComplete);
        RC_ASSERT(result.body == request.body);
        RC_ASSERT(result.rest.empty());
    }));

    CHECK(rc::check("the result for a mutated request does not depend on the split", [] {
        const std::string bytes = mutated(anyRequest().bytes);
        RC_ASSERT(read(bytes, anyPieces()) == read(bytes, {bytes.size() + 1}));
    }));

    CHECK(rc::check("the forwarded request is parsed as one request with the same content", [] {
        const std::string bytes = mutated(anyRequest().bytes);
        const reading first = read(bytes, {bytes.size() + 1});
        if (!first.isComplete || first.fault != request_fault::None)
            return;
        request_head head = first.head;
        removeHopByHopFields(head.fields, {});
        head.fields.remove("Content-Length");
        const std::string forwarded = toBytes(head, first.body.size()) + first.body;
        const reading second = read(forwarded, {forwarded.size() + 1});
        RC_ASSERT(second.isComplete);
        RC_ASSERT(second.fault == request_fault::None);
        RC_ASSERT(second.head.method == first.head.method);
        RC_ASSERT(second.head.target == first.head.target);
        RC_ASSERT(second.body == first.body);
        RC_ASSERT(second.rest.empty());
    }));

    CHECK(rc::check("two requests in one piece are separated", [] {
        const valid_request request = anyRequest();
        const std::string bytes = request.bytes + request.bytes;
        const reading result = read(bytes, {bytes.size()});
        RC_ASSERT(result.isComplete);
        RC_ASSERT(result.rest == request.bytes);
    }));
}

TEST_CASE("response_reader with random splits and mutations", "[http][fuzz]")
{
    const auto answer = [](const std::string &body, bool isChunked) {
        const response_head head {.status = 200, .reason = "OK"};
        if (isChunked)
            return toBytes(head, {.framing = body_framing::Chunked}) + toChunk(body)
                + std::string(lastChunk);
        return toBytes(head, {.length = body.size()}) + body;
    };
    // atEnd: the connection is closed after the bytes. Without it a fault may not be detected yet.
    const auto readBody = [](std::string_view bytes, const std::vector<std::size_t> &pieces,
                             bool &isComplete, bool &isFaulty, bool atEnd) {
        response_reader reader;
        std::string input;
        std::string body;
        for (std::size_t turn = 0; !bytes.empty(); ++turn) {
            const std::size_t size = std::min(pieces[turn % pieces.size()], bytes.size());
            input += bytes.substr(0, size);
            bytes.remove_prefix(size);
            input.erase(0, reader.consume(input));
            body += reader.takeBody();
        }
        if (atEnd)
            reader.consumeEnd();
        isComplete = reader.isComplete();
        isFaulty = reader.isFaulty();
        return body;
    };

    CHECK(rc::check("a valid answer is parsed completely, a truncated one never is", [&] {
        const std::string body = anyText("ab01\r\n:", 80);
        const std::string bytes = answer(body, *rc::gen::arbitrary<bool>());
        bool isComplete = false;
        bool isFaulty = false;
        RC_ASSERT(readBody(bytes, anyPieces(), isComplete, isFaulty, false) == body);
        RC_ASSERT(isComplete);
        const std::string truncated = bytes.substr(0, *anyInRange<std::size_t>(1, bytes.size()));
        readBody(truncated, anyPieces(), isComplete, isFaulty, true);
        RC_ASSERT(!isComplete);
    }));

    CHECK(rc::check("the result for a mutated answer does not depend on the split", [&] {
        const std::string bytes
            = mutated(answer(anyText("ab01:", 80), *rc::gen::arbitrary<bool>()));
        bool isComplete = false;
        bool isFaulty = false;
        const std::string body = readBody(bytes, anyPieces(), isComplete, isFaulty, true);
        bool isCompleteAtOnce = false;
        bool isFaultyAtOnce = false;
        const std::string bodyAtOnce
            = readBody(bytes, {bytes.size() + 1}, isCompleteAtOnce, isFaultyAtOnce, true);
        RC_LOG() << "bytes: " << rc::toString(bytes);
        RC_ASSERT(isComplete == isCompleteAtOnce);
        RC_ASSERT(isFaulty == isFaultyAtOnce);
        if (isComplete)
            RC_ASSERT(body == bodyAtOnce);
    }));
}

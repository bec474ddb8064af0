#include "telemetry/tracing/trace_context.h"

#include "foundation/hashing/stable_hash.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace quetzal {

namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
constexpr std::size_t shortFieldDigits = 2;
constexpr std::size_t versionZeroFieldCount = 4;
constexpr const char *versionZero = "00";
constexpr const char *invalidVersion = "ff";
constexpr int sampledFlag = 1;
constexpr int hexBase = 16;

bool isHex(const std::string &text, std::size_t digits)
{
    return text.size() == digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isId(const std::string &text, std::size_t digits)
{
    return isHex(text, digits) && text.find_first_not_of('0') != std::string::npos;
}

std::string hexDigits(std::uint64_t value)
{
    return absl::StrCat(absl::Hex(value == 0 ? 1 : value, absl::kZeroPad16));
}

} // namespace

std::optional<trace_context> parseTraceparent(const std::string &header)
{
    const std::vector<std::string> fields = absl::StrSplit(header, '-');
    if (fields.size() < versionZeroFieldCount)
        return std::nullopt;
    const std::string &version = fields[0];
    const bool isVersionValid = isHex(version, shortFieldDigits) && version != invalidVersion
        && (version != versionZero || fields.size() == versionZeroFieldCount);
    if (!isVersionValid || !isId(fields[1], traceIdDigits) || !isId(fields[2], spanIdDigits)
        || !isHex(fields[3], shortFieldDigits))
        return std::nullopt;
    const int flags = std::stoi(fields[3], nullptr, hexBase);
    return trace_context {
        .traceId = fields[1], .spanId = fields[2], .sampled = (flags & sampledFlag) != 0};
}

std::string toTraceparent(const trace_context &context)
{
    return absl::StrCat(versionZero, "-", context.traceId, "-", context.spanId,
                        context.sampled ? "-01" : "-00");
}

std::string makeTraceId(random_source &random)
{
    const std::string upper = hexDigits(random());
    return upper + hexDigits(random());
}

std::string makeSpanId(random_source &random)
{
    return hexDigits(random());
}

bool isTraceSampled(const std::string &traceId, double fraction)
{
    constexpr int hashBits = 64;
    const double position = std::ldexp(static_cast<double>(stableHash(traceId)), -hashBits);
    return position < fraction;
}

} // namespace quetzal

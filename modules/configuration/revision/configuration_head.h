#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** Records which write created a revision. */
struct revision_write
{
    std::int64_t revision = 0;
    std::string writeId;

    bool operator==(const revision_write &) const = default;
};

/** The store record that identifies the active configuration. */
struct configuration_head
{
    /** 1 for the first configuration; incremented by each accepted change. */
    std::int64_t revision = 0;
    /** SHA-256 digest of the canonical document. */
    std::string digest;
    /** Identifies the change that wrote this head, so that the writer recognises its own write. */
    std::string writeId;
    /** SHA-256 digests of the chunks whose concatenation is the canonical document, in order. */
    std::vector<std::string> chunks;
    /** The most recent writes before this one, newest first; at most maxEarlierWrites. */
    std::vector<revision_write> earlierWrites;

    bool operator==(const configuration_head &) const = default;
};

/** Maximum number of earlier writes that a head lists. */
constexpr std::size_t maxEarlierWrites = 64;

/** Builds the store keys of the configuration of one environment. */
struct configuration_keys
{
    /** Key prefix of the environment, such as "/quetzal/production". */
    std::string prefix;

    /** Returns the key of the head. */
    std::string head() const { return prefix + "/configuration/head"; }
    /** Returns the common prefix of all chunk keys. */
    std::string chunkPrefix() const { return prefix + "/configuration/chunks/"; }
    /** Returns the key of the chunk with the given digest. */
    std::string chunk(const std::string &digest) const { return chunkPrefix() + digest; }
};

/** Serializes a head as the JSON that is stored under its key. */
std::string toJson(const configuration_head &head);

/** Parses a head; std::nullopt if the text is malformed. */
std::optional<configuration_head> readHead(std::string_view text);

} // namespace quetzal

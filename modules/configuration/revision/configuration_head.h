#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/** Names the write that made a revision. */
struct revision_write
{
    std::int64_t revision = 0;
    std::string writeId;

    bool operator==(const revision_write &) const = default;
};

/** The record in the store that names the configuration in force. */
struct configuration_head
{
    /** 1 for the first configuration; each accepted change adds 1. */
    std::int64_t revision = 0;
    /** SHA-256 of the canonical document. */
    std::string digest;
    /** Identifies the change that wrote this head, so that its writer recognises it. */
    std::string writeId;
    /** SHA-256 digests of the chunks that make up the canonical document, in order. */
    std::vector<std::string> chunks;
    /** The latest writes before this one, newest first. */
    std::vector<revision_write> earlierWrites;

    bool operator==(const configuration_head &) const = default;
};

/** How many earlier writes a head names. */
constexpr std::size_t maxEarlierWrites = 64;

/** Store keys of the configuration below the environment's prefix. */
struct configuration_keys
{
    /** Key prefix of the environment, such as "/quetzal/production". */
    std::string prefix;

    /** Key of the head. */
    std::string head() const { return prefix + "/configuration/head"; }
    /** Prefix of all chunk keys. */
    std::string chunkPrefix() const { return prefix + "/configuration/chunks/"; }
    /** Key of the chunk with a digest. */
    std::string chunk(const std::string &digest) const { return chunkPrefix() + digest; }
};

/** The head as JSON, the value of its store key. */
std::string toJson(const configuration_head &head);

/** Reads a head; nothing when the text is not a well-formed head. */
std::optional<configuration_head> readHead(std::string_view text);

} // namespace quetzal

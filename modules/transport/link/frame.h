#pragma once

#include "protocol/messages/message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** Bytes of the big-endian length before each frame's payload. */
inline constexpr std::size_t frameHeaderBytes = 4;

/** A frame with this payload. */
std::string encodeFrame(std::string_view payload);
/** The payload of the first frame of a connection, which names its sender. */
std::string encodeHello(const node_id &self);
/** The sender, or nothing when the payload is not such a first frame. */
std::optional<node_id> decodeHello(std::string_view payload);

/** Cuts a stream of bytes into frames. */
class frame_reader
{
public:
    /** Adds received bytes. */
    void append(std::string_view bytes);
    /** The payload of the next whole frame, or nothing; valid until the next append. */
    std::optional<std::string_view> next();
    /** True when a frame is longer than the limit; nothing more can be read. */
    bool isFaulty() const { return m_faulty; }
    /** Longest payload accepted from now on. */
    void setLimit(std::size_t maxPayloadBytes) { m_limit = maxPayloadBytes; }

private:
    std::string m_buffer;
    std::size_t m_consumed = 0;
    std::size_t m_limit = 0;
    bool m_faulty = false;
};

} // namespace quetzal

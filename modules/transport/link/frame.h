#pragma once

#include "protocol/messages/message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace quetzal {

/** Size of the big-endian length field before each frame's payload. */
inline constexpr std::size_t frameHeaderBytes = 4;

/** Returns a frame with this payload. */
std::string encodeFrame(std::string_view payload);
/** Returns the payload of the first frame of a connection, which identifies its sender. */
std::string encodeHello(const node_id &self);
/** Returns the sender, or nothing if the payload is not that of a valid first frame. */
std::optional<node_id> decodeHello(std::string_view payload);

/** Splits a stream of bytes into frames. */
class frame_reader
{
public:
    /** Appends received bytes. */
    void append(std::string_view bytes);
    /** Returns the payload of the next complete frame, if any; valid until the next append(). */
    std::optional<std::string_view> next();
    /** True once a frame exceeds the limit; no further frame can be read. */
    bool isFaulty() const { return m_faulty; }
    /** Sets the maximum payload size accepted from now on. */
    void setLimit(std::size_t maxPayloadBytes) { m_limit = maxPayloadBytes; }

private:
    std::string m_buffer;
    std::size_t m_consumed = 0;
    std::size_t m_limit = 0;
    bool m_faulty = false;
};

} // namespace quetzal

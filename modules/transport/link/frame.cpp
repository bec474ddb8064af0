#include "transport/link/frame.h"

#include <cstdint>

namespace quetzal {

namespace {

constexpr std::string_view helloPrefix = "quetzal1";
constexpr std::size_t maxVmNameBytes = 200;
constexpr unsigned bitsPerByte = 8;

std::size_t readLength(std::string_view header)
{
    std::size_t length = 0;
    for (const char byte : header)
        length = (length << bitsPerByte) | static_cast<std::uint8_t>(byte);
    return length;
}

} // namespace

std::string encodeFrame(std::string_view payload)
{
    std::string frame(frameHeaderBytes, '\0');
    for (std::size_t index = 0; index < frameHeaderBytes; ++index) {
        const auto shift = bitsPerByte * static_cast<unsigned>(frameHeaderBytes - 1 - index);
        frame[index] = static_cast<char>(static_cast<std::uint8_t>(payload.size() >> shift));
    }
    frame.append(payload);
    return frame;
}

std::string encodeHello(const node_id &self)
{
    std::string payload(helloPrefix);
    payload.push_back(static_cast<char>(self.role));
    payload.append(self.vm);
    return payload;
}

std::optional<node_id> decodeHello(std::string_view payload)
{
    if (payload.substr(0, helloPrefix.size()) != helloPrefix)
        return std::nullopt;
    payload.remove_prefix(helloPrefix.size());
    if (payload.size() < 2 || payload.size() > maxVmNameBytes + 1)
        return std::nullopt;
    const auto role = static_cast<std::uint8_t>(payload.front());
    if (role > static_cast<std::uint8_t>(node_role::Scheduler))
        return std::nullopt;
    return node_id {.role = static_cast<node_role>(role), .vm = std::string(payload.substr(1))};
}

void frame_reader::append(std::string_view bytes)
{
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
    m_buffer.append(bytes);
}

std::optional<std::string_view> frame_reader::next()
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_consumed);
    if (m_faulty || rest.size() < frameHeaderBytes)
        return std::nullopt;
    const std::size_t length = readLength(rest.substr(0, frameHeaderBytes));
    if (length > m_limit) {
        m_faulty = true;
        return std::nullopt;
    }
    if (rest.size() < frameHeaderBytes + length)
        return std::nullopt;
    m_consumed += frameHeaderBytes + length;
    return rest.substr(frameHeaderBytes, length);
}

} // namespace quetzal

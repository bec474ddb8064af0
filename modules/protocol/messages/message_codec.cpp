#include "protocol/messages/message_codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>
#include <memory>
#include <utility>

namespace quetzal {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

template <std::size_t Index>
message readAlternative(TCompactProtocol &protocol)
{
    std::variant_alternative_t<Index, message> content;
    content.read(&protocol);
    return content;
}

template <std::size_t... Indexes>
message readByIndex(std::size_t index, TCompactProtocol &protocol,
                    std::index_sequence<Indexes...> /*unused*/)
{
    using reader = message (*)(TCompactProtocol &);
    constexpr std::array<reader, sizeof...(Indexes)> readers {&readAlternative<Indexes>...};
    return readers.at(index)(protocol);
}

} // namespace

std::string encodeMessage(const message &content)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    const auto index = static_cast<std::uint8_t>(content.index());
    buffer->write(&index, 1);
    std::visit([&protocol](const auto &alternative) { alternative.write(&protocol); }, content);
    return buffer->getBufferAsString();
}

std::optional<message> decodeMessage(std::string_view bytes)
{
    constexpr std::size_t alternatives = std::variant_size_v<message>;
    if (bytes.empty() || bytes.size() > maxMessageBytes)
        return std::nullopt;
    const auto index = static_cast<std::uint8_t>(bytes.front());
    if (index >= alternatives)
        return std::nullopt;

    std::string body(bytes.substr(1));
    const auto size = static_cast<std::uint32_t>(body.size());
    const auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t *>(body.data()), size, TMemoryBuffer::OBSERVE);
    TCompactProtocol protocol(buffer, static_cast<std::int32_t>(size),
                              static_cast<std::int32_t>(size));
    try {
        return readByIndex(index, protocol, std::make_index_sequence<alternatives>());
    } catch (const apache::thrift::TException &) {
        return std::nullopt;
    }
}

} // namespace quetzal

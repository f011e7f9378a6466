#pragma once

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <string_view>

namespace chervilfield::peers::internal {

using Buffer = apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<Buffer>;

/// Returns `value` in the compact protocol.
template<typename T>
std::string writeCompact(const T &value)
{
    const auto buffer = std::make_shared<Buffer>();
    Protocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Reads `value` and returns true if and only if the bytes are exactly one well-formed struct whose
/// strings and lists are within the limits.
template<typename T>
bool readCompact(std::string_view bytes, std::int32_t maxList, T &value)
{
    // Messages nest three structs; unknown fields of later versions may nest somewhat deeper.
    constexpr int kMaxDepth = 8;
    // A copy, because the buffer takes no pointer to constant bytes.
    std::string copy(bytes);
    const auto size = static_cast<std::uint32_t>(copy.size());
    const auto limits = std::make_shared<apache::thrift::TConfiguration>(
            static_cast<int>(size), static_cast<int>(size), kMaxDepth);
    try {
        const auto buffer = std::make_shared<Buffer>(reinterpret_cast<std::uint8_t *>(copy.data()),
                                                     size, Buffer::OBSERVE, limits);
        // No string is longer than what is left of the body, so none is allocated beyond it.
        Protocol protocol(buffer, static_cast<std::int32_t>(size), maxList);
        value.read(&protocol);
        return buffer->available_read() == 0;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace chervilfield::peers::internal

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

/// Encodes `value` in Thrift's compact protocol.
template<typename T>
std::string writeCompact(const T &value)
{
    const auto buffer = std::make_shared<Buffer>();
    Protocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes `value`. Returns true if and only if the bytes are exactly one well-formed struct, no
/// list has more than `maxListElements` elements and no string is longer than the input.
template<typename T>
bool readCompact(std::string_view bytes, std::int32_t maxListElements, T &value)
{
    // Messages nest three structs. Unknown fields of later versions may nest deeper.
    constexpr int kMaxDepth = 8;
    // The buffer only accepts a pointer to mutable bytes.
    std::string copy(bytes);
    const auto size = static_cast<std::uint32_t>(copy.size());
    const auto limits = std::make_shared<apache::thrift::TConfiguration>(
            static_cast<int>(size), static_cast<int>(size), kMaxDepth);
    try {
        const auto buffer = std::make_shared<Buffer>(reinterpret_cast<std::uint8_t *>(copy.data()),
                                                     size, Buffer::OBSERVE, limits);
        // The limit on strings is the size of the body, which bounds their allocation.
        Protocol protocol(buffer, static_cast<std::int32_t>(size), maxListElements);
        value.read(&protocol);
        return buffer->available_read() == 0;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace chervilfield::peers::internal

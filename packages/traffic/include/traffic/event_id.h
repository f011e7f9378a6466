#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilfield::traffic {

/// Position of one token in an answer, as the `id` of its event. A caller sends it back in
/// Last-Event-ID to continue at any instance.
struct EventId
{
    std::string requestId;
    std::string engine;
    std::uint64_t life = 0;
    std::uint64_t offset = 0;
};

/// Returns "<requestId>/<engine>/<life>/<offset>".
std::string toString(const EventId &id);

/// Parses the form of `toString`. Returns no value for any other text.
std::optional<EventId> parseEventId(std::string_view text);

} // namespace chervilfield::traffic

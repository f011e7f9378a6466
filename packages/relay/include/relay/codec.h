#pragma once

#include "base/result.h"
#include "dispatch/placement.h"
#include "net/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Forwarding of callers' requests to targets, whatever the header fields of the platform are.
namespace chervilfield::relay {

/// What a caller says in the header fields of a request.
struct CallerFields
{
    std::string requestId;                            ///< Identifies one attempt of the caller.
    std::optional<std::chrono::milliseconds> timeout; ///< Time that the caller waits.
    std::string apiKey;                               ///< API key, empty if none.
    std::string lastEventId; ///< Last event that the caller has of a stream it resumes.
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<dispatch::PromptPart>
            promptParts; ///< In order; other requests may share all but the last.
};

/// What this system tells a target beside the caller's own header fields.
struct ForwardFields
{
    std::string target; ///< Any other target must refuse the request.
    std::chrono::milliseconds timeLeft{ 0 };
    std::string customer;      ///< Empty for an anonymous request.
    std::string cacheKey;      ///< Requests with different keys share no cached prefix.
    std::uint64_t weights = 0; ///< The version that the target must have; 0 for any.
    std::optional<net::Address> cacheSource; ///< Target to fetch cached prefixes from.
    std::optional<net::Address> cacheStore;  ///< Store to save prefixes in once they are read.
    int priority = 0;                        ///< 0 is served first.
    std::string lastEventId; ///< Event after which the target goes on; empty for all.
};

/// What a target says in the header fields of an answer.
struct ResponseFields
{
    std::string requestId;
    bool isNotRun = false; ///< The target states that it did not run the request.
    bool isSigned = false;
    std::optional<dispatch::LoadReport> load;
    std::optional<std::uint64_t> weights;
    /// Time for which the target keeps the connection open while it is idle.
    std::optional<std::chrono::milliseconds> keepAlive;
};

/// An answer of this system's own.
struct Failure
{
    base::Result code = base::Result::Internal;
    base::WorkStatus work = base::WorkStatus::NotRun;
    std::chrono::milliseconds retryAfter{ 0 }; ///< 0 for none.
    std::string requestId;
};

/// Header fields of the platform. All functions are pure.
struct Codec
{
    std::function<CallerFields(const net::Request &)> decodeRequest;
    /// Returns the header fields to send to a target.
    std::function<net::Headers(const net::Request &, const ForwardFields &)> encodeTargetHeaders;
    std::function<ResponseFields(const net::Headers &)> decodeResponse;
    /// Returns the header fields of a target's answer that go to the caller.
    std::function<net::Headers(const net::Headers &)> encodeCallerHeaders;
    std::function<net::Response(const Failure &)> encodeFailure;
};

} // namespace chervilfield::relay

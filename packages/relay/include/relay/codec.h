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

/// Forwarding of callers' requests to targets, independent of the platform's header fields.
namespace chervilfield::relay {

/// Information that a caller gives in the header fields of a request.
struct CallerFields
{
    std::string requestId;                            ///< Identifies one attempt of the caller.
    std::optional<std::chrono::milliseconds> timeout; ///< Time that the caller waits.
    /// Key in the caller's credentials, empty if it cannot be read. No value if the caller sent
    /// none, which makes the request an anonymous one.
    std::optional<std::string> apiKey;
    std::string lastEventId; ///< Last event that the caller has received; empty for a new stream.
    std::string model;       ///< Empty for requests to plain services.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// Prompt tokens plus maximum number of output tokens; no value if the caller does not state
    /// them.
    std::optional<double> statedTokens;
    /// Parts of the prompt in order. Other requests may share all parts but the last.
    std::vector<dispatch::PromptPart> promptParts;
};

/// Information that this system adds to the caller's header fields for a target.
struct ForwardFields
{
    std::string target; ///< Id of the intended target; any other target must refuse the request.
    std::chrono::milliseconds timeLeft{ 0 }; ///< Time that the target has for the request.
    std::string customer;                    ///< Empty for an anonymous request.
    std::string cacheKey;      ///< Requests with different keys share no cached prefix.
    std::uint64_t weights = 0; ///< Version of the weights that the target must have; 0 for any.
    std::optional<net::Address> cacheSource; ///< Target or store to fetch cached prefixes from.
    std::optional<net::Address> cacheStore;  ///< Store to save prefixes in after the prefill.
    int urgency = 0;         ///< Rank in the queue of an engine, from 0 (served first) to 9.
    std::string lastEventId; ///< Event after which the stream continues; empty for all events.
};

/// Information that a target gives in the header fields of a response.
struct ResponseFields
{
    std::string requestId;
    bool isNotRun = false; ///< The target states that it did not run the request.
    bool isSigned = false; ///< The response has a signature of the target.
    /// The target is about to stop. Its registration may be missing or still say that it is ready.
    bool isLeaving = false;
    std::optional<dispatch::LoadReport> load;
    std::optional<std::uint64_t> weights; ///< Version of the weights that the target has.
    /// Requests per second that the target accepts from all instances together.
    std::optional<double> rateLimit;
    /// Time for which the target wants no further requests from this instance.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// Time for which the target keeps the connection open while it is idle.
    std::optional<std::chrono::milliseconds> keepAlive;
};

/// An error response that this system generates itself.
struct Failure
{
    base::Result code = base::Result::Internal;
    base::WorkStatus work = base::WorkStatus::NotRun;
    std::chrono::milliseconds retryAfter{ 0 }; ///< 0 for none.
    std::string requestId;
};

/// Translates between the platform's header fields and the types above. All functions are pure.
struct Codec
{
    std::function<CallerFields(const net::Request &)> decodeRequest;
    /// Returns the header fields to send to a target.
    std::function<net::Headers(const net::Request &, const ForwardFields &)> encodeTargetHeaders;
    std::function<ResponseFields(const net::Headers &)> decodeResponse;
    /// Returns the header fields of a target's response that are passed on to the caller.
    std::function<net::Headers(const net::Headers &)> encodeCallerHeaders;
    /// Returns the error response to send to the caller.
    std::function<net::Response(const Failure &)> encodeFailure;
};

} // namespace chervilfield::relay

#pragma once

#include "dispatch/placement.h"

#include <algorithm>

namespace chervilfield::dispatch {

namespace detail {

// Returns the number of parts that other requests may share. The last part of a prompt belongs to a
// single request or session.
inline std::size_t sharedPartCount(const PlacementRequest &request)
{
    return request.parts.size() > 1 ? request.parts.size() - 1 : 0;
}

// Returns the number of tokens in the first `parts` parts of the prompt.
inline double prefixTokens(const PlacementRequest &request, std::size_t parts)
{
    double tokens = 0;
    for (std::size_t i = 0; i < parts; ++i)
        tokens += request.parts[i].tokens;
    return tokens;
}

} // namespace detail

/// A target that is considered for a request, with its estimated cost.
struct Placer::Candidate
{
    std::size_t index = 0;
    std::uint64_t weights = 0;
    /// Tokens of the prefix that the target caches, 0 if a longer one is fetched.
    double cachedTokens = 0;
    double fetchedTokens = 0;      ///< Tokens of the prefix to fetch from another target.
    Seconds prefixWait{};          ///< Time until the target has cached the prefix.
    bool isDuplicate = false;      ///< Another target caches the prefix or is computing it.
    bool isHome = false;           ///< It is the rendezvous home of the prefix.
    bool isExpectedAtHome = false; ///< The prefix is expected to be cached at its home.
    const fleet::Target *fetchSource = nullptr;
    bool shouldAvoid = false;
    performance::Sample conditions{}; ///< State of the target, for `InFlightRequest`.
    Seconds sendDelay{}; ///< Time until the target accepts another request of this instance.
    Seconds cost{};
    Seconds expectedTime{};

    double uncachedTokens(const PlacementRequest &request) const
    {
        return std::max(0.0, request.promptTokens - cachedTokens - fetchedTokens);
    }
};

} // namespace chervilfield::dispatch

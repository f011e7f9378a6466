#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace chervilfield::routing {

/// Cost of a placement, a time in seconds.
using Cost = std::chrono::duration<double>;
/// Point in time of the caller's monotonic clock; this package never reads a clock.
using Time = std::chrono::steady_clock::time_point;
/// Random number generator; the caller owns and seeds it.
using Random = std::mt19937_64;

/// Stable identifier of a target, such as the hash of its name. It does not change when the target
/// restarts.
using TargetId = std::uint64_t;

/// Size class of a request, by its expected use of an engine.
enum class WorkClass : std::uint8_t { Short, Long };
/// Scheduling priority of a request at the engine.
enum class Priority : std::uint8_t { Interactive, Batch };

/// Number of work classes and of priorities. The enum values index arrays; a lower priority value
/// is served first.
inline constexpr std::size_t kClasses = 2;
inline constexpr std::size_t kPriorities = 2;

/// One target, an engine, as the configuration and the health check describe it.
struct Target
{
    TargetId id = 0;
    std::uint64_t life = 0;      ///< Current life of the engine process.
    double prefillRate = 40'000; ///< Prompt tokens per second without a cache hit.
    std::uint32_t slots = 32;    ///< Requests that the engine decodes concurrently.
    Cost path{};                 ///< Round-trip time from this daemon.
    double slowness = 1;         ///< Ratio of observed to predicted time; 1 is normal.
    bool accepting = true;       ///< False while the target is draining or unreachable.
};

/// Engine life that holds the first `blocks` blocks of a chain, according to the block index.
struct Holder
{
    TargetId target = 0;
    std::uint64_t life = 0;
    std::uint32_t blocks = 0;
};

/// Properties of a request that the decision uses.
struct Request
{
    std::span<const std::uint64_t> chain{}; ///< Block hashes from `prefix::blockChain`.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 256; ///< Expected length of the answer in tokens.
    WorkClass workClass = WorkClass::Short;
    Priority priority = Priority::Interactive;
    std::optional<Cost> timeLeft{};       ///< Time until the first token is due.
    std::span<const Holder> holders{};    ///< From the block index; may be empty.
    std::span<const TargetId> excluded{}; ///< Targets that an earlier attempt used.
};

} // namespace chervilfield::routing

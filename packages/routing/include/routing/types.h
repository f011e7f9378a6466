#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace chervilfield::routing {

/// All costs are times in seconds.
using Cost = std::chrono::duration<double>;
/// Point on the caller's monotonic clock; this package never reads a clock.
using Time = std::chrono::steady_clock::time_point;
/// Generator that the caller owns and seeds.
using Random = std::mt19937_64;

/// Stable identity of a target, such as the hash of its name. It survives restarts of the target.
using TargetId = std::uint64_t;

enum class WorkClass : std::uint8_t { Short, Long };
enum class Priority : std::uint8_t { Interactive, Batch };

/// Work classes and priorities number their levels from 0; lower values run first.
inline constexpr std::size_t kClasses = 2;
inline constexpr std::size_t kPriorities = 2;

/// One engine as the configuration and the health check describe it.
struct Target
{
    TargetId id = 0;
    std::uint64_t life = 0;      ///< Current run of the engine process.
    double prefillRate = 40'000; ///< Tokens per second without a cache hit.
    std::uint32_t slots = 32;    ///< Requests that the engine decodes at the same time.
    Cost path{};                 ///< Round trip from this daemon.
    double slowness = 1;         ///< Observed over predicted time; 1 is normal.
    bool accepting = true;       ///< False while the target leaves or is unreachable.
};

/// Leading blocks of a chain that the block index lists on one engine life.
struct Holder
{
    TargetId target = 0;
    std::uint64_t life = 0;
    std::uint32_t blocks = 0;
};

/// What the decision needs to know about a request.
struct Request
{
    std::span<const std::uint64_t> chain{}; ///< From `prefix::blockChain`.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 256; ///< Expected length of the answer.
    WorkClass workClass = WorkClass::Short;
    Priority priority = Priority::Interactive;
    std::optional<Cost> deadline{};       ///< Time left until the first token is due.
    std::span<const Holder> holders{};    ///< From the block index; may be empty.
    std::span<const TargetId> excluded{}; ///< Targets that an earlier attempt used.
};

} // namespace chervilfield::routing

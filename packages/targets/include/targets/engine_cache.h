#pragma once

#include "net/address.h"
#include "net/http_client.h"

#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <system_error>
#include <vector>

namespace chervilfield::targets {

/// A block that was stored in or evicted from an engine's cache.
struct CacheChange
{
    std::uint64_t number = 0; ///< Number of the event; numbers start at 1 in each life.
    bool isStored = true;     ///< False if the block was evicted.
    std::uint64_t block = 0;  ///< Hash of the block and all blocks before it.
};

/// Cache events of one engine life, in the order of their numbers. Events may be missing.
struct CacheEvents
{
    std::uint64_t life = 0;
    std::uint64_t nextNumber = 1; ///< Number that the engine's next event will have.
    std::vector<CacheChange> events;
};

/// Blocks that an engine life holds after the event with number `nextNumber - 1`.
struct CacheSnapshot
{
    std::uint64_t life = 0;
    std::uint64_t nextNumber = 1;
    std::vector<std::uint64_t> blocks;
};

/// Reads the cache events from `firstNumber` on (`GET /v1/cache/events`). On failure sets `error`
/// to `TargetFailed` if the status is not 200 or the response is malformed, or to the error of the
/// client.
std::optional<CacheEvents> fetchCacheEvents(net::HttpClient &client, const net::Address &engine,
                                            std::uint64_t firstNumber,
                                            std::chrono::milliseconds timeout,
                                            const boost::asio::yield_context &yield,
                                            std::error_code &error);

/// Reads all blocks that the engine holds (`GET /v1/cache/snapshot`). Sets the same errors as
/// `fetchCacheEvents`.
std::optional<CacheSnapshot> fetchCacheSnapshot(net::HttpClient &client, const net::Address &engine,
                                                std::chrono::milliseconds timeout,
                                                const boost::asio::yield_context &yield,
                                                std::error_code &error);

} // namespace chervilfield::targets

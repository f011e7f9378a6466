#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chervilfield::prefix {

using TimePoint = std::chrono::steady_clock::time_point;

/// Number that a BlockIndex gives to one engine life. `kNoHolder` names no life.
using HolderSlot = std::uint16_t;
inline constexpr HolderSlot kNoHolder = 0;

/// Holders that one entry can name. A block with more holders keeps the ones reported last.
inline constexpr std::size_t kMaxHoldersPerEntry = 3;

/// One run of an engine process. `engine` is the hash of the target's name, `life` the number that
/// the engine reports as its life.
struct EngineLife
{
    std::uint64_t engine = 0;
    std::uint64_t life = 0;

    bool operator==(const EngineLife &) const = default;
};

struct BlockIndexOptions
{
    std::size_t maxBlocks = 1'000'000;  ///< Entries kept; beyond it old entries are evicted.
    std::size_t maxLives = 4'096;       ///< Live and recently ended lives; at most 65,535.
    std::chrono::seconds maxAge{ 600 }; ///< Age at which an entry is no longer believed.
    std::chrono::seconds maxPlacementAge{
        30
    };                                     ///< The same for lives whose events are not followed.
    std::size_t sweptEntriesPerChange = 4; ///< Entries examined per block inserted or removed.
    double correctionWindowBlocks = 256;   ///< Claimed blocks over which the error is averaged.
};

enum class CacheEventKind { Stored, Evicted, Cleared };

/// One numbered event of an engine's cache. Numbers start at 1 in each life and grow by 1.
struct CacheEvent
{
    std::uint64_t number = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    std::span<const std::uint64_t> blocks; ///< Cumulative block hashes; unused for `Cleared`.
};

enum class EventOutcome {
    Applied,
    Repeated,    ///< The number was seen before; nothing changed.
    Gap,         ///< Applied, but earlier events are missing; a snapshot is needed.
    UnknownLife, ///< The slot names no live engine; nothing changed.
};

/// A life that holds the first `blocks` blocks of a chain.
struct PrefixHolder
{
    HolderSlot slot = kNoHolder;
    std::uint32_t blocks = 0;
};

/// Blocks that the index claimed and that engines reported as hits.
struct HitError
{
    std::uint64_t requests = 0;
    std::uint64_t claimed = 0;
    std::uint64_t reported = 0;
    std::uint64_t overclaimed = 0;  ///< Sum over requests of max(0, claimed - reported).
    std::uint64_t underclaimed = 0; ///< Sum over requests of max(0, reported - claimed).
};

/// Bounded index from block hashes to the engine lives whose caches hold the block. Entries are
/// hints: events arrive late, so claims are compared with the hits that engines report and scaled
/// by the measured error. Copies are independent; the owner publishes a copy to readers on other
/// threads.
///
/// Call `beginLife()` for each life seen, feed `applyEvent()` and `recordPlacement()`, load a
/// snapshot whenever `needsSnapshot()` is true, and call `endLife()` when the life ends.
class BlockIndex
{
public:
    BlockIndex() : BlockIndex(BlockIndexOptions{}) {}
    explicit BlockIndex(BlockIndexOptions options);

    /// Returns the slot of `life`, which it creates if needed. Another life of the same engine
    /// ends. `followed` states that the life's event stream is read. Returns `kNoHolder` if
    /// `maxLives` lives are in use, or if a later life of the engine has replaced `life`, which a
    /// delayed report may still name.
    HolderSlot beginLife(EngineLife life, bool followed);

    /// Ends the life; every claim that names it is void at once. Unknown slots are ignored.
    void endLife(HolderSlot slot);

    /// Returns the slot of the engine's current life, or `kNoHolder`.
    HolderSlot slotOfEngine(std::uint64_t engine) const;

    /// Returns true if and only if `slot` names a life that has not ended.
    bool isLive(HolderSlot slot) const { return slot < lives_.size() && lives_[slot].live; }

    /// Returns the life that `slot` names; `isLive(slot)` must be true.
    const EngineLife &lifeOf(HolderSlot slot) const { return lives_[slot].id; }

    EventOutcome applyEvent(HolderSlot slot, const CacheEvent &event, TimePoint now);

    /// Returns true if and only if events of the life are missing.
    bool needsSnapshot(HolderSlot slot) const;

    /// Returns the number of the next event to read from the life's stream.
    std::uint64_t nextEvent(HolderSlot slot) const;

    /// Replaces what the life holds by `blocks`, the state after event `number`; events are read
    /// again from `nextEvent()`. Returns false, without a change, if the snapshot is older than the
    /// missing events or if the slot names no live engine.
    bool applySnapshot(HolderSlot slot, std::uint64_t number, std::span<const std::uint64_t> blocks,
                       TimePoint now);

    /// Notes that a request with `chain` was sent to the life, which will then hold its blocks.
    void recordPlacement(HolderSlot slot, std::span<const std::uint64_t> chain, TimePoint now);

    /// Finds the lives that hold a prefix of `chain`, in no particular order, and returns the
    /// filled part of `out`. A life counts as far as entries list it without interruption; an entry
    /// that is full of other lives does not interrupt it, because it may have displaced the life.
    std::span<PrefixHolder> findHolders(std::span<const std::uint64_t> chain, TimePoint now,
                                        std::span<PrefixHolder> out) const;

    /// Compares the claim for a request with the hit that the engine reported, both in blocks.
    /// Claims that proved wrong are removed and hits are added.
    void recordHit(HolderSlot slot, std::span<const std::uint64_t> chain, std::uint32_t claimed,
                   std::uint32_t reported, TimePoint now);

    /// Returns the blocks expected to hit: the claim scaled by the error measured for its life.
    double expectedBlocks(PrefixHolder claim) const;

    const HitError &hitError() const { return hitError_; }

    /// Examines up to `entries` entries and removes ended lives and old claims. The index also does
    /// this in small steps on each change.
    void sweep(std::size_t entries, TimePoint now);

    std::size_t size() const { return size_; }
    std::size_t evictions() const { return evictions_; } ///< Entries removed to bound the memory.
    std::size_t memoryBytes() const;

private:
    struct Entry
    {
        std::uint64_t hash = 0; ///< 0 marks a free place.
        std::array<HolderSlot, kMaxHoldersPerEntry> holders{};
        std::uint16_t stamp = 0; ///< Seconds, modulo 65,536, of the last report.
    };
    static_assert(sizeof(Entry) == 16);

    struct Life
    {
        EngineLife id;
        bool live = false;
        bool followed = false;
        bool replaced = false; ///< By another life of the same engine; never live again.
        bool needsSnapshot = false;
        std::uint64_t nextEvent = 1;
        std::uint64_t lastMissing = 0;
        std::uint64_t endedInRound = 0;
        double claimed = 0;
        double reported = 0;
    };

    std::size_t home(std::uint64_t hash) const;
    std::size_t next(std::size_t place) const { return place + 1 == table_.size() ? 0 : place + 1; }
    std::optional<std::size_t> find(std::uint64_t hash) const;
    bool believed(HolderSlot slot, std::uint16_t stamp, std::uint16_t now) const;
    void insert(std::uint64_t hash, HolderSlot slot, TimePoint now);
    void remove(std::uint64_t hash, HolderSlot slot);
    void removeAll(HolderSlot slot);
    void eraseAt(std::size_t place);
    void dropEnded(Entry &entry) const;
    void evictOne(std::uint16_t now);
    void grow();
    void finishRound();
    HolderSlot takeSlot(EngineLife life);
    bool wasReplaced(EngineLife life) const;

    BlockIndexOptions options_;
    std::size_t maxTable_;
    std::vector<Entry> table_;
    std::size_t size_ = 0;
    std::size_t evictions_ = 0;
    std::size_t sweepPlace_ = 0;
    std::size_t evictPlace_ = 0;
    std::uint64_t round_ = 0;
    std::vector<Life> lives_;
    std::vector<HolderSlot> freeSlots_;
    std::vector<HolderSlot> endedSlots_;
    std::unordered_map<std::uint64_t, HolderSlot> slotOfEngine_;
    HitError hitError_;
};

/// Returns the blocks that `holders` lists for `slot`, 0 if it is not listed.
std::uint32_t claimedBlocks(std::span<const PrefixHolder> holders, HolderSlot slot);

} // namespace chervilfield::prefix

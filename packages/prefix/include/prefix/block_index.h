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

/// Point in time of the caller's monotonic clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// Number that a BlockIndex assigns to one engine life. `kNoHolder` refers to no life.
using HolderSlot = std::uint16_t;
inline constexpr HolderSlot kNoHolder = 0;

/// Number of holders that one entry can store. A block with more holders keeps those that were
/// reported last.
inline constexpr std::size_t kMaxHoldersPerEntry = 3;

/// One run of an engine process. `engine` is the hash of the target's name and `life` the number
/// that the engine reports for the run.
struct EngineLife
{
    std::uint64_t engine = 0;
    std::uint64_t life = 0;

    bool operator==(const EngineLife &) const = default;
};

/// Limits of a BlockIndex.
struct BlockIndexOptions
{
    std::size_t maxBlocks = 1'000'000;  ///< Entries above this number evict older ones.
    std::size_t maxLives = 4'096;       ///< Current and recently ended lives; at most 65,535.
    std::chrono::seconds maxAge{ 600 }; ///< Age above which an entry is ignored.
    /// Replaces `maxAge` for lives whose event stream is not followed.
    std::chrono::seconds maxPlacementAge{ 30 };
    std::size_t sweptEntriesPerChange = 4; ///< Entries examined per block inserted or removed.
    double correctionWindowBlocks = 256;   ///< Claimed blocks over which the hit error is averaged.
};

/// Kind of change that an engine reports about its cache.
enum class CacheEventKind { Stored, Evicted, Cleared };

/// One numbered event of an engine's cache. Numbers start at 1 in each life and increase by 1.
struct CacheEvent
{
    std::uint64_t number = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    std::span<const std::uint64_t> blocks; ///< Cumulative block hashes; unused for `Cleared`.
};

/// Result of `BlockIndex::applyEvent`.
enum class EventOutcome {
    Applied,     ///< The event was applied; no earlier event is needed.
    Repeated,    ///< The number is below `nextEvent()`; nothing changed.
    Gap,         ///< The event was applied, but earlier ones are missing; a snapshot is needed.
    UnknownLife, ///< The slot refers to no current life; nothing changed.
};

/// Engine life that holds the first `blocks` blocks of a chain.
struct PrefixHolder
{
    HolderSlot slot = kNoHolder;
    std::uint32_t blocks = 0;
};

/// Comparison of the blocks that the index claimed with those that engines reported as hits.
struct HitError
{
    std::uint64_t requests = 0;     ///< Requests compared.
    std::uint64_t claimed = 0;      ///< Blocks that the index claimed.
    std::uint64_t reported = 0;     ///< Blocks that engines reported as hits.
    std::uint64_t overclaimed = 0;  ///< Sum over requests of max(0, claimed - reported).
    std::uint64_t underclaimed = 0; ///< Sum over requests of max(0, reported - claimed).
};

/// Bounded index from block hashes to the engine lives whose caches hold the block. Entries are
/// hints because events arrive late; claims are therefore compared with the hits that engines
/// report and scaled by the measured error. Copies are independent; the owner publishes a copy to
/// readers on other threads.
///
/// The owner calls `beginLife()` for each life that it observes, passes cache events to
/// `applyEvent()` and sent requests to `recordPlacement()`, applies a snapshot whenever
/// `needsSnapshot()` returns true, and calls `endLife()` when the life ends.
class BlockIndex
{
public:
    BlockIndex() : BlockIndex(BlockIndexOptions{}) {}
    explicit BlockIndex(BlockIndexOptions options);

    /// Returns the slot of `life` and allocates one if needed. Ends any other life of the same
    /// engine. `isFollowed` states whether the life's event stream is read. Returns `kNoHolder` if
    /// `maxLives` lives are in use, or if a later life of the engine has already replaced `life`,
    /// as after a delayed report.
    HolderSlot beginLife(EngineLife life, bool isFollowed);

    /// Ends the life; all claims for it become invalid immediately. Unknown slots are ignored.
    void endLife(HolderSlot slot);

    /// Returns the slot of the engine's current life, or `kNoHolder`.
    HolderSlot slotOfEngine(std::uint64_t engine) const;

    /// Returns true if and only if `slot` refers to a life that has not ended.
    bool isLive(HolderSlot slot) const { return slot < lives_.size() && lives_[slot].isCurrent; }

    /// Returns the life that `slot` refers to; `isLive(slot)` must be true.
    const EngineLife &lifeOf(HolderSlot slot) const { return lives_[slot].id; }

    /// Applies one event of the life's stream. An event with a number above `nextEvent()` is
    /// applied too, and the life then needs a snapshot.
    EventOutcome applyEvent(HolderSlot slot, const CacheEvent &event, TimePoint now);

    /// Returns true if and only if events of the life were missed, so that a snapshot is needed.
    bool needsSnapshot(HolderSlot slot) const;

    /// Returns the number of the next event to read from the life's stream.
    std::uint64_t nextEvent(HolderSlot slot) const;

    /// Replaces the blocks of the life with `blocks`, the state after event `number`. The caller
    /// continues to read events from `nextEvent()`. Returns false and changes nothing if the
    /// snapshot is older than the missing events or if the slot refers to no current life.
    bool applySnapshot(HolderSlot slot, std::uint64_t number, std::span<const std::uint64_t> blocks,
                       TimePoint now);

    /// Records that a request with `chain` was sent to the life, which will then cache its blocks.
    void recordPlacement(HolderSlot slot, std::span<const std::uint64_t> chain, TimePoint now);

    /// Finds the lives that hold a prefix of `chain`, in no particular order, and returns the part
    /// of `out` that it has filled. The prefix of a life ends at the first entry that does not list
    /// the life. An entry that is full of other lives does not end it, because the life may have
    /// been displaced from that entry. Lives that do not fit into `out` are not listed.
    std::span<PrefixHolder> findHolders(std::span<const std::uint64_t> chain, TimePoint now,
                                        std::span<PrefixHolder> out) const;

    /// Compares the claim for a request with the hit that the engine reported, both in blocks.
    /// Removes the claims that were wrong and adds the blocks that were hit.
    void recordHit(HolderSlot slot, std::span<const std::uint64_t> chain, std::uint32_t claimed,
                   std::uint32_t reported, TimePoint now);

    /// Returns the expected number of hit blocks: the claim scaled by the error measured for its
    /// life.
    double expectedBlocks(PrefixHolder claim) const;

    /// Returns the hit error summed over all lives.
    const HitError &hitError() const { return hitError_; }

    /// Examines up to `entries` entries and removes ended lives and expired claims.
    /// `applyEvent()` and `recordPlacement()` also do this for a few entries.
    void sweep(std::size_t entries, TimePoint now);

    /// Returns the number of entries.
    std::size_t size() const { return size_; }
    /// Returns the number of entries that were evicted to bound the memory.
    std::size_t evictions() const { return evictions_; }
    /// Returns the approximate memory use of the index.
    std::size_t memoryBytes() const;

private:
    struct Entry
    {
        std::uint64_t hash = 0; ///< 0 marks a free position.
        std::array<HolderSlot, kMaxHoldersPerEntry> holders{};
        std::uint16_t stamp = 0; ///< Seconds, modulo 65,536, of the last report.
    };
    static_assert(sizeof(Entry) == 16);

    struct Life
    {
        EngineLife id;
        bool isCurrent = false;
        bool isFollowed = false;
        bool isReplaced = false; ///< Another life of the engine replaced it; it cannot begin again.
        bool needsSnapshot = false;
        std::uint64_t nextEvent = 1;
        std::uint64_t lastMissing = 0;  ///< Last missed event; valid if a snapshot is needed.
        std::uint64_t endedInRound = 0; ///< Value of `sweepRound_` at the end of the life.
        double claimed = 0;             ///< Decayed sum of claimed blocks.
        double reported = 0;            ///< Decayed sum of claimed blocks that were hit.
    };

    std::size_t homePosition(std::uint64_t hash) const;
    std::size_t nextPosition(std::size_t position) const
    {
        return position + 1 == table_.size() ? 0 : position + 1;
    }
    std::optional<std::size_t> find(std::uint64_t hash) const;
    bool isValidHolder(HolderSlot slot, std::uint16_t stamp, std::uint16_t now) const;
    void insert(std::uint64_t hash, HolderSlot slot, TimePoint now);
    void remove(std::uint64_t hash, HolderSlot slot);
    void removeAll(HolderSlot slot);
    void eraseAt(std::size_t position);
    void removeEndedHolders(Entry &entry) const;
    void evictOne(std::uint16_t now);
    void grow();
    void finishSweepRound();
    HolderSlot allocateSlot(EngineLife life);
    bool wasReplaced(EngineLife life) const;

    BlockIndexOptions options_;
    std::size_t maxTableSize_;
    std::vector<Entry> table_;
    std::size_t size_ = 0;
    std::size_t evictions_ = 0;
    std::size_t sweepPosition_ = 0;
    std::size_t evictPosition_ = 0;
    std::uint64_t sweepRound_ = 0;
    std::vector<Life> lives_;
    std::vector<HolderSlot> freeSlots_;
    std::vector<HolderSlot> endedSlots_;
    std::unordered_map<std::uint64_t, HolderSlot> slotOfEngine_;
    HitError hitError_;
};

/// Returns the number of blocks that `holders` lists for `slot`, or 0 if it is not listed.
std::uint32_t claimedBlocks(std::span<const PrefixHolder> holders, HolderSlot slot);

} // namespace chervilfield::prefix

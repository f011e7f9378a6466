#include "prefix/block_index.h"

#include <algorithm>

namespace chervilfield::prefix {

namespace {

// The table grows by a quarter when 85% of it is in use. It is at least 68% full afterwards, so an
// entry uses at most 16 / 0.68 = 23.5 bytes.
constexpr double kMaxLoadFactor = 0.85;
constexpr std::size_t kGrowthDivisor = 4;
constexpr std::size_t kMinTableSize = 64;

// Number of neighbouring entries compared to evict one. Hashing makes them a random sample; eight
// approximate least-recently-used order well enough and span only two or three cache lines.
constexpr std::size_t kEvictionSampleSize = 8;

// Number of entries that a lookup prefetches ahead, to hide the latency of main memory.
constexpr std::size_t kPrefetchDistance = 6;

/// Returns the hash as it is stored; 0 marks a free position and is replaced by 1.
std::uint64_t toStoredHash(std::uint64_t hash)
{
    return hash == 0 ? 1 : hash;
}

/// Returns the time in seconds, modulo 65,536.
std::uint16_t stampOf(TimePoint now)
{
    using std::chrono::duration_cast;
    using std::chrono::seconds;
    return static_cast<std::uint16_t>(duration_cast<seconds>(now.time_since_epoch()).count());
}

/// Returns the age of a stamp in seconds.
std::uint16_t ageOf(std::uint16_t stamp, std::uint16_t now)
{
    const auto age = static_cast<std::uint16_t>(now - stamp);
    // Stamps wrap around after 65,536 s; a difference in the upper half means that the stamp is
    // slightly ahead of `now`.
    return age < 0x8000U ? age : 0;
}

/// Returns the table size at which `blocks` entries do not exceed the maximum load factor.
std::size_t tableSizeFor(std::size_t blocks)
{
    return std::max(kMinTableSize,
                    static_cast<std::size_t>(static_cast<double>(blocks) / kMaxLoadFactor) + 1);
}

} // namespace

BlockIndex::BlockIndex(BlockIndexOptions options)
    : options_(options), maxTableSize_(tableSizeFor(std::max<std::size_t>(options.maxBlocks, 1)))
{
    options_.maxBlocks = std::max<std::size_t>(options_.maxBlocks, 1);
    options_.maxLives = std::clamp<std::size_t>(options_.maxLives, 1, 0xffff);
    table_.resize(std::min(kMinTableSize, maxTableSize_));
    lives_.resize(1); // Slot 0 is kNoHolder.
}

HolderSlot BlockIndex::beginLife(EngineLife life, bool isFollowed)
{
    if (const HolderSlot current = slotOfEngine(life.engine); current != kNoHolder) {
        if (lives_[current].id == life) {
            lives_[current].isFollowed = lives_[current].isFollowed || isFollowed;
            return current;
        }
        if (wasReplaced(life))
            return kNoHolder;
        endLife(current);
        lives_[current].isReplaced = true;
    }
    const HolderSlot slot = allocateSlot(life);
    if (slot != kNoHolder)
        lives_[slot].isFollowed = isFollowed;
    return slot;
}

HolderSlot BlockIndex::allocateSlot(EngineLife life)
{
    HolderSlot slot = kNoHolder;
    if (freeSlots_.empty() && lives_.size() > options_.maxLives && !endedSlots_.empty()) {
        for (Entry &entry : table_)
            removeEndedHolders(entry);
        freeSlots_.swap(endedSlots_);
    }
    if (!freeSlots_.empty() && lives_.size() > options_.maxLives) {
        slot = freeSlots_.front(); // The oldest one, so that records of recent lives are kept.
        freeSlots_.erase(freeSlots_.begin());
    } else if (lives_.size() <= options_.maxLives) {
        slot = static_cast<HolderSlot>(lives_.size());
        lives_.emplace_back();
    } else {
        return kNoHolder;
    }
    lives_[slot] = Life{ .id = life, .isCurrent = true };
    slotOfEngine_[life.engine] = slot;
    return slot;
}

bool BlockIndex::wasReplaced(EngineLife life) const
{
    // Records of ended lives are kept until their slot is reused.
    return std::ranges::any_of(
            lives_, [&life](const Life &known) { return known.isReplaced && known.id == life; });
}

void BlockIndex::endLife(HolderSlot slot)
{
    if (!isLive(slot))
        return;
    lives_[slot].isCurrent = false;
    lives_[slot].endedInRound = sweepRound_;
    slotOfEngine_.erase(lives_[slot].id.engine);
    endedSlots_.push_back(slot);
}

HolderSlot BlockIndex::slotOfEngine(std::uint64_t engine) const
{
    const auto found = slotOfEngine_.find(engine);
    return found == slotOfEngine_.end() ? kNoHolder : found->second;
}

EventOutcome BlockIndex::applyEvent(HolderSlot slot, const CacheEvent &event, TimePoint now)
{
    if (!isLive(slot))
        return EventOutcome::UnknownLife;
    Life &life = lives_[slot];
    if (event.number < life.nextEvent)
        return EventOutcome::Repeated;
    const bool gap = event.number > life.nextEvent;
    if (gap) {
        life.needsSnapshot = true;
        life.lastMissing = event.number - 1;
    }
    life.nextEvent = event.number + 1;

    switch (event.kind) {
    case CacheEventKind::Stored:
        for (const std::uint64_t hash : event.blocks)
            insert(hash, slot, now);
        break;
    case CacheEventKind::Evicted:
        for (const std::uint64_t hash : event.blocks)
            remove(hash, slot);
        break;
    case CacheEventKind::Cleared:
        removeAll(slot);
        // A cleared cache does not depend on earlier events, so a snapshot is no longer needed.
        life.needsSnapshot = false;
        return EventOutcome::Applied;
    }
    sweep(options_.sweptEntriesPerChange * event.blocks.size(), now);
    return gap ? EventOutcome::Gap : EventOutcome::Applied;
}

bool BlockIndex::needsSnapshot(HolderSlot slot) const
{
    return isLive(slot) && lives_[slot].needsSnapshot;
}

std::uint64_t BlockIndex::nextEvent(HolderSlot slot) const
{
    return isLive(slot) ? lives_[slot].nextEvent : 1;
}

bool BlockIndex::applySnapshot(HolderSlot slot, std::uint64_t number,
                               std::span<const std::uint64_t> blocks, TimePoint now)
{
    if (!isLive(slot))
        return false;
    Life &life = lives_[slot];
    const std::uint64_t minNumber = life.needsSnapshot ? life.lastMissing : life.nextEvent - 1;
    if (number < minNumber)
        return false;
    removeAll(slot);
    for (const std::uint64_t hash : blocks)
        insert(hash, slot, now);
    life.needsSnapshot = false;
    life.nextEvent = number + 1;
    return true;
}

void BlockIndex::recordPlacement(HolderSlot slot, std::span<const std::uint64_t> chain,
                                 TimePoint now)
{
    if (!isLive(slot))
        return;
    for (const std::uint64_t hash : chain)
        insert(hash, slot, now);
    sweep(options_.sweptEntriesPerChange * chain.size(), now);
}

std::span<PrefixHolder> BlockIndex::findHolders(std::span<const std::uint64_t> chain, TimePoint now,
                                                std::span<PrefixHolder> out) const
{
    const std::uint16_t stamp = stampOf(now);
    std::size_t count = 0;
    std::size_t active = 0; // Every entry so far lists out[0, active) or is full.
    bool mayStart = true;   // All entries so far were full, so any life may hold their blocks.
    for (std::size_t i = 0; i < chain.size() && (mayStart || active > 0); ++i) {
        if (i + kPrefetchDistance < chain.size())
            __builtin_prefetch(&table_[homePosition(toStoredHash(chain[i + kPrefetchDistance]))]);
        const std::optional<std::size_t> position = find(toStoredHash(chain[i]));
        if (!position)
            break;
        const Entry &entry = table_[*position];
        const auto depth = static_cast<std::uint32_t>(i + 1);
        std::size_t validHolders = 0;
        for (const HolderSlot slot : entry.holders) {
            if (!isValidHolder(slot, entry.stamp, stamp))
                continue;
            ++validHolders;
            PrefixHolder *const end = out.data() + active;
            PrefixHolder *const known = std::find_if(
                    out.data(), end, [slot](const PrefixHolder &h) { return h.slot == slot; });
            if (known != end) {
                known->blocks = depth;
            } else if (mayStart && count < out.size()) {
                out[count++] = { slot, depth };
                active = count;
            }
        }
        if (validHolders < kMaxHoldersPerEntry) {
            mayStart = false;
            const auto firstInterrupted =
                    std::partition(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(active),
                                   [depth](const PrefixHolder &h) { return h.blocks == depth; });
            active = static_cast<std::size_t>(firstInterrupted - out.begin());
        }
    }
    return out.first(count);
}

void BlockIndex::recordHit(HolderSlot slot, std::span<const std::uint64_t> chain,
                           std::uint32_t claimed, std::uint32_t reported, TimePoint now)
{
    ++hitError_.requests;
    hitError_.claimed += claimed;
    hitError_.reported += reported;
    hitError_.overclaimed += claimed > reported ? claimed - reported : 0;
    hitError_.underclaimed += reported > claimed ? reported - claimed : 0;
    if (!isLive(slot))
        return;

    Life &life = lives_[slot];
    const double retained =
            options_.correctionWindowBlocks / (options_.correctionWindowBlocks + claimed);
    life.claimed = life.claimed * retained + claimed;
    life.reported = life.reported * retained + std::min(claimed, reported);

    const std::size_t hit = std::min<std::size_t>(reported, chain.size());
    for (std::size_t i = 0; i < hit; ++i)
        insert(chain[i], slot, now);
    const std::size_t end = std::min<std::size_t>(claimed, chain.size());
    for (std::size_t i = hit; i < end; ++i)
        remove(chain[i], slot);
}

double BlockIndex::expectedBlocks(PrefixHolder claim) const
{
    if (!isLive(claim.slot))
        return 0;
    // Initial correct blocks that are assumed, so that one early error does not reduce the claims
    // of a life to nothing.
    constexpr double kPriorBlocks = 8;
    const Life &life = lives_[claim.slot];
    return claim.blocks * (life.reported + kPriorBlocks) / (life.claimed + kPriorBlocks);
}

void BlockIndex::sweep(std::size_t entries, TimePoint now)
{
    const std::uint16_t stamp = stampOf(now);
    const auto maxAge = static_cast<std::uint16_t>(
            std::min<std::chrono::seconds::rep>(options_.maxAge.count(), 0x7fff));
    for (std::size_t i = 0; i < entries; ++i) {
        Entry &entry = table_[sweepPosition_];
        if (entry.hash != 0) {
            removeEndedHolders(entry);
            if (entry.holders[0] == kNoHolder || ageOf(entry.stamp, stamp) > maxAge) {
                // May move a later entry to this position, which is examined next.
                eraseAt(sweepPosition_);
                continue;
            }
        }
        sweepPosition_ = nextPosition(sweepPosition_);
        if (sweepPosition_ == 0)
            finishSweepRound();
    }
}

void BlockIndex::finishSweepRound()
{
    ++sweepRound_;
    // Every entry has been cleared of an ended life after one complete round since its end.
    std::erase_if(endedSlots_, [this](HolderSlot slot) {
        const bool isCleared = lives_[slot].endedInRound + 2 <= sweepRound_;
        if (isCleared)
            freeSlots_.push_back(slot);
        return isCleared;
    });
}

std::size_t BlockIndex::memoryBytes() const
{
    return sizeof(*this) + table_.capacity() * sizeof(Entry) + lives_.capacity() * sizeof(Life)
           + (freeSlots_.capacity() + endedSlots_.capacity()) * sizeof(HolderSlot)
           + slotOfEngine_.size() * (sizeof(std::uint64_t) * 2 + sizeof(void *) * 2)
           + slotOfEngine_.bucket_count() * sizeof(void *);
}

std::size_t BlockIndex::homePosition(std::uint64_t hash) const
{
    // Maps the hash to [0, size) without a division, for any table size (Lemire 2019).
    __extension__ using Wide = unsigned __int128;
    return static_cast<std::size_t>((static_cast<Wide>(hash) * table_.size()) >> 64U);
}

std::optional<std::size_t> BlockIndex::find(std::uint64_t hash) const
{
    for (std::size_t position = homePosition(hash); table_[position].hash != 0;
         position = nextPosition(position)) {
        if (table_[position].hash == hash)
            return position;
    }
    return std::nullopt;
}

bool BlockIndex::isValidHolder(HolderSlot slot, std::uint16_t stamp, std::uint16_t now) const
{
    if (slot == kNoHolder || !lives_[slot].isCurrent)
        return false;
    const std::chrono::seconds limit =
            lives_[slot].isFollowed ? options_.maxAge : options_.maxPlacementAge;
    return ageOf(stamp, now) <= limit.count();
}

void BlockIndex::insert(std::uint64_t hash, HolderSlot slot, TimePoint now)
{
    const std::uint16_t stamp = stampOf(now);
    const std::uint64_t storedHash = toStoredHash(hash);
    std::optional<std::size_t> position = find(storedHash);
    if (!position) {
        if (size_ >= options_.maxBlocks)
            evictOne(stamp);
        else if (static_cast<double>(size_ + 1)
                 > kMaxLoadFactor * static_cast<double>(table_.size()))
            grow();
        position = homePosition(storedHash);
        while (table_[*position].hash != 0)
            position = nextPosition(*position);
        table_[*position] = { .hash = storedHash, .holders = { slot }, .stamp = stamp };
        ++size_;
        return;
    }
    Entry &entry = table_[*position];
    removeEndedHolders(entry);
    entry.stamp = stamp;
    // Holders are stored in the order of their last report; the first is the oldest and is
    // displaced when the entry is full.
    auto known = std::ranges::find(entry.holders, slot);
    if (known == entry.holders.end())
        known = std::ranges::find(entry.holders, kNoHolder);
    if (known == entry.holders.end())
        known = entry.holders.begin();
    *known = slot;
    auto used = std::ranges::find(entry.holders, kNoHolder);
    std::rotate(known, known + 1, used);
}

void BlockIndex::remove(std::uint64_t hash, HolderSlot slot)
{
    const std::optional<std::size_t> position = find(toStoredHash(hash));
    if (!position)
        return;
    Entry &entry = table_[*position];
    const auto rest = std::remove(entry.holders.begin(), entry.holders.end(), slot);
    std::fill(rest, entry.holders.end(), kNoHolder);
    if (entry.holders[0] == kNoHolder)
        eraseAt(*position);
}

void BlockIndex::removeAll(HolderSlot slot)
{
    // Entries without a holder remain until the sweep, so that this takes one sequential pass.
    for (Entry &entry : table_) {
        const auto rest = std::remove(entry.holders.begin(), entry.holders.end(), slot);
        std::fill(rest, entry.holders.end(), kNoHolder);
    }
}

void BlockIndex::removeEndedHolders(Entry &entry) const
{
    const auto rest = std::remove_if(entry.holders.begin(), entry.holders.end(),
                                     [this](HolderSlot slot) { return !lives_[slot].isCurrent; });
    std::fill(rest, entry.holders.end(), kNoHolder);
}

void BlockIndex::eraseAt(std::size_t position)
{
    std::size_t hole = position;
    for (std::size_t from = nextPosition(hole); table_[from].hash != 0; from = nextPosition(from)) {
        const std::size_t home = homePosition(table_[from].hash);
        const bool stays =
                hole < from ? (hole < home && home <= from) : (hole < home || home <= from);
        if (stays)
            continue;
        table_[hole] = table_[from];
        // The entry may move from a position that the sweep has not reached to one that it has
        // passed. Ended lives are therefore removed here; otherwise the entry could still refer to
        // one when its slot is reused.
        removeEndedHolders(table_[hole]);
        hole = from;
    }
    table_[hole] = Entry{};
    --size_;
}

void BlockIndex::evictOne(std::uint16_t now)
{
    std::optional<std::size_t> oldest;
    for (std::size_t seen = 0; seen < kEvictionSampleSize;
         evictPosition_ = nextPosition(evictPosition_)) {
        const Entry &entry = table_[evictPosition_];
        if (entry.hash == 0)
            continue;
        ++seen;
        if (!oldest || entry.holders[0] == kNoHolder
            || ageOf(entry.stamp, now) > ageOf(table_[*oldest].stamp, now))
            oldest = evictPosition_;
        if (entry.holders[0] == kNoHolder)
            break;
    }
    eraseAt(*oldest);
    ++evictions_;
}

void BlockIndex::grow()
{
    std::vector<Entry> old;
    old.swap(table_);
    const std::size_t grownSize = old.size() + old.size() / kGrowthDivisor;
    table_.resize(std::min(std::max(grownSize, kMinTableSize), maxTableSize_));
    size_ = 0;
    for (Entry &entry : old) {
        if (entry.hash == 0)
            continue;
        removeEndedHolders(entry);
        if (entry.holders[0] == kNoHolder)
            continue;
        std::size_t position = homePosition(entry.hash);
        while (table_[position].hash != 0)
            position = nextPosition(position);
        table_[position] = entry;
        ++size_;
    }
    sweepPosition_ = 0;
    evictPosition_ = 0;
    freeSlots_.insert(freeSlots_.end(), endedSlots_.begin(), endedSlots_.end());
    endedSlots_.clear();
}

std::uint32_t claimedBlocks(std::span<const PrefixHolder> holders, HolderSlot slot)
{
    const auto found = std::ranges::find(holders, slot, &PrefixHolder::slot);
    return found == holders.end() ? 0 : found->blocks;
}

} // namespace chervilfield::prefix

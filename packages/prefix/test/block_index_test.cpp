#include "prefix/block_index.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <vector>

namespace chervilfield::prefix {

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

using Chain = std::vector<std::uint64_t>;

std::uint32_t claimFor(const BlockIndex &index, HolderSlot slot, const Chain &chain,
                       TimePoint now = kStart)
{
    std::array<PrefixHolder, 16> out;
    return claimedBlocks(index.findHolders(chain, now, out), slot);
}

// Spreads small numbers over the 64-bit range, as a block hash does.
std::uint64_t blockHash(std::uint64_t number)
{
    return (number + 1) * 0x9e3779b97f4a7c15ULL;
}

} // namespace

class BlockIndexTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BlockIndexTest);
    CPPUNIT_TEST(findsLongestPrefix);
    CPPUNIT_TEST(detectsGapsAndResynchronises);
    CPPUNIT_TEST(agreesWithModel);
    CPPUNIT_TEST(recoversFromLostEvents);
    CPPUNIT_TEST(forgetsEndedLives);
    CPPUNIT_TEST(refusesReplacedLives);
    CPPUNIT_TEST(clearsMovedEntries);
    CPPUNIT_TEST(keepsMemoryBounded);
    CPPUNIT_TEST(correctsWrongClaims);
    CPPUNIT_TEST(ignoresOldClaims);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests the claimed prefix length for several cache contents. Guards against counting blocks
    // after an evicted one, which the engine cannot use, and against losing a long claim because a
    // popular first block has more holders than an entry can store.
    void findsLongestPrefix()
    {
        struct Row
        {
            const char *name;
            std::vector<Chain> held; ///< By engine 1, 2, ...; reported in this order.
            std::vector<std::uint32_t> expected;
        };
        const Chain chain{ 10, 20, 30, 40 };
        const Row rows[] = {
            { "nothing held", { {} }, { 0 } },
            { "all held", { chain }, { 4 } },
            { "hole in the middle", { { 10, 30, 40 } }, { 1 } },
            { "first block missing", { { 20, 30 } }, { 0 } },
            { "different depths", { { 10 }, { 10, 20, 30 }, { 10, 20 } }, { 1, 3, 2 } },
            { "displaced from a full entry",
              { { 10, 20, 30 }, { 10 }, { 10 }, { 10 } },
              { 3, 1, 1, 1 } },
            { "first block alone, displaced", { { 10 }, { 10 }, { 10 }, { 10 } }, { 0, 1, 1, 1 } },
        };
        for (const Row &row : rows) {
            BlockIndex index;
            std::vector<HolderSlot> slots;
            for (std::size_t i = 0; i < row.held.size(); ++i) {
                slots.push_back(index.beginLife({ i, 1 }, true));
                index.applyEvent(slots[i], { 1, CacheEventKind::Stored, row.held[i] }, kStart);
            }
            for (std::size_t i = 0; i < slots.size(); ++i)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected[i],
                                             claimFor(index, slots[i], chain));
        }
    }

    // Tests the result of duplicate, missing and clearing events and of snapshots. Guards against
    // entries that stay wrong after lost events, and against accepting a snapshot that is too old
    // to include them.
    void detectsGapsAndResynchronises()
    {
        const Chain chain{ 1, 2, 3 };
        BlockIndex index;
        const HolderSlot slot = index.beginLife({ 7, 1 }, true);
        const auto apply = [&](std::uint64_t number, CacheEventKind kind, const Chain &blocks) {
            return index.applyEvent(slot, { number, kind, blocks }, kStart);
        };
        CPPUNIT_ASSERT(apply(1, CacheEventKind::Stored, chain) == EventOutcome::Applied);
        CPPUNIT_ASSERT(apply(1, CacheEventKind::Evicted, chain) == EventOutcome::Repeated);
        CPPUNIT_ASSERT(apply(5, CacheEventKind::Evicted, { 3 }) == EventOutcome::Gap);
        CPPUNIT_ASSERT(index.needsSnapshot(slot));
        CPPUNIT_ASSERT(!index.applySnapshot(slot, 3, Chain{ 1 }, kStart));
        CPPUNIT_ASSERT(index.applySnapshot(slot, 4, Chain{ 1, 3 }, kStart));
        CPPUNIT_ASSERT(!index.needsSnapshot(slot));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, index.nextEvent(slot));
        CPPUNIT_ASSERT_EQUAL(1U, claimFor(index, slot, chain));
        CPPUNIT_ASSERT(apply(8, CacheEventKind::Cleared, {}) == EventOutcome::Applied);
        CPPUNIT_ASSERT(!index.needsSnapshot(slot));
        CPPUNIT_ASSERT_EQUAL(0U, claimFor(index, slot, chain));
    }

    // Tests that the index equals a simple model after random insertions and removals. Guards
    // against lost or spurious entries, in particular where probe sequences overlap.
    void agreesWithModel()
    {
        const bool holds = rc::check("index equals a map of sets", [] {
            BlockIndex index;
            std::map<std::uint64_t, std::set<HolderSlot>> model;
            std::vector<HolderSlot> slots;
            for (std::uint64_t engine = 0; engine < kMaxHoldersPerEntry; ++engine)
                slots.push_back(index.beginLife({ engine, 1 }, true));
            std::map<HolderSlot, std::uint64_t> numbers;
            const int steps = *rc::gen::inRange(1, 400);
            for (int i = 0; i < steps; ++i) {
                const HolderSlot slot = *rc::gen::elementOf(slots);
                // Few distinct high bits, so that home positions collide.
                const auto hash = *rc::gen::inRange<std::uint64_t>(0, 120) << 50U;
                const bool store = *rc::gen::inRange(0, 3) > 0;
                const auto kind = store ? CacheEventKind::Stored : CacheEventKind::Evicted;
                index.applyEvent(slot, { ++numbers[slot], kind, { &hash, 1 } }, kStart);
                if (store)
                    model[hash].insert(slot);
                else
                    model[hash].erase(slot);
            }
            for (const auto &[hash, holders] : model) {
                for (const HolderSlot slot : slots)
                    RC_ASSERT(claimFor(index, slot, { hash }) == holders.count(slot));
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that the index equals the engine's cache after lost, repeated and reordered events,
    // once the snapshots that it asks for are applied. Guards against a loss that the index does
    // not detect, which leaves it different from the cache.
    void recoversFromLostEvents()
    {
        const bool holds = rc::check("the index equals the cache after resynchronisation", [] {
            BlockIndex index;
            const HolderSlot slot = index.beginLife({ 1, 1 }, true);
            std::set<std::uint64_t> cache;
            std::vector<std::pair<CacheEventKind, std::uint64_t>> log;
            const auto snapshot = [&] {
                return index.applySnapshot(slot, log.size(), Chain(cache.begin(), cache.end()),
                                           kStart);
            };
            const auto deliver = [&](std::uint64_t number) {
                const auto &[kind, hash] = log[number - 1];
                index.applyEvent(slot, { number, kind, { &hash, 1 } }, kStart);
            };
            const int steps = *rc::gen::inRange(1, 150);
            for (int i = 0; i < steps; ++i) {
                const std::uint64_t hash = blockHash(*rc::gen::inRange<std::uint64_t>(0, 30));
                const bool store = !cache.contains(hash);
                log.emplace_back(store ? CacheEventKind::Stored : CacheEventKind::Evicted, hash);
                if (store)
                    cache.insert(hash);
                else
                    cache.erase(hash);
                const int delivery = *rc::gen::inRange(0, 8);
                if (delivery > 1) // One event in four is lost.
                    deliver(log.size());
                if (delivery == 7)
                    deliver(*rc::gen::inRange<std::uint64_t>(1, log.size() + 1));
                if (index.needsSnapshot(slot) && *rc::gen::inRange(0, 4) == 0)
                    RC_ASSERT(snapshot());
            }
            log.emplace_back(CacheEventKind::Evicted, blockHash(1'000));
            deliver(log.size()); // Reveals a loss at the end of the sequence.
            if (index.needsSnapshot(slot))
                RC_ASSERT(snapshot());
            for (std::uint64_t block = 0; block < 30; ++block)
                RC_ASSERT(claimFor(index, slot, { blockHash(block) })
                          == cache.count(blockHash(block)));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that only blocks of current lives are claimed. Guards against a claim for an ended
    // life, also after a later life has reused its slot.
    void forgetsEndedLives()
    {
        const bool holds = rc::check("only the current life's blocks are claimed", [] {
            constexpr std::uint64_t kEngines = 4;
            BlockIndex index({ .maxBlocks = 200, .maxLives = 6 });
            std::map<std::uint64_t, std::uint64_t> lives;
            std::map<HolderSlot, std::set<std::uint64_t>> stored;
            const int steps = *rc::gen::inRange(1, 200);
            for (int i = 0; i < steps; ++i) {
                const auto engine = *rc::gen::inRange<std::uint64_t>(0, kEngines);
                if (*rc::gen::inRange(0, 4) == 0)
                    stored.erase(index.slotOfEngine(engine)), ++lives[engine];
                const HolderSlot slot = index.beginLife({ engine, lives[engine] }, true);
                RC_ASSERT(slot != kNoHolder);
                Chain blocks;
                for (int b = 0; b < 8; ++b)
                    blocks.push_back(blockHash(*rc::gen::inRange<std::uint64_t>(0, 400)));
                index.recordPlacement(slot, blocks, kStart);
                stored[slot].insert(blocks.begin(), blocks.end());
            }
            for (std::uint64_t block = 0; block < 400; ++block) {
                std::array<PrefixHolder, 8> out;
                const std::uint64_t hash = blockHash(block);
                for (const PrefixHolder &holder : index.findHolders({ &hash, 1 }, kStart, out)) {
                    RC_ASSERT(index.isLive(holder.slot));
                    RC_ASSERT(stored[holder.slot].count(hash) == 1);
                }
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that a replaced life cannot begin again, but an ended one can. Guards against a delayed
    // report of an engine's previous life that ends the current one.
    void refusesReplacedLives()
    {
        BlockIndex index;
        const HolderSlot former = index.beginLife({ 1, 1 }, true);
        const HolderSlot current = index.beginLife({ 1, 2 }, true);
        CPPUNIT_ASSERT(!index.isLive(former));
        CPPUNIT_ASSERT_EQUAL(kNoHolder, index.beginLife({ 1, 1 }, true));
        CPPUNIT_ASSERT(index.isLive(current));
        // An engine that was only unreachable returns with the same life.
        index.endLife(current);
        CPPUNIT_ASSERT(index.beginLife({ 1, 2 }, true) != kNoHolder);
    }

    // Tests that an entry moved by an erasure is cleared of ended lives. Guards against an erasure
    // that moves an entry past the sweep position, so that it still refers to an ended life when
    // the life's slot is reused.
    void clearsMovedEntries()
    {
        constexpr std::size_t kTableSize = 64; // Size of a new table.
        constexpr std::uint64_t kHome = 10;
        const std::uint64_t first = (kHome << 58U) | 1U;
        const std::uint64_t second = (kHome << 58U) | 2U; // Stored at the position after the first.
        BlockIndex index({ .maxLives = 2, .sweptEntriesPerChange = 0 });
        const HolderSlot other = index.beginLife({ 1, 1 }, true);
        const HolderSlot ended = index.beginLife({ 2, 1 }, true);
        index.recordPlacement(other, Chain{ first }, kStart);
        index.recordPlacement(ended, Chain{ second }, kStart);
        index.sweep(kHome + 2, kStart);
        index.endLife(ended);
        index.sweep(kTableSize - (kHome + 2) + kHome + 1, kStart);
        index.applyEvent(other, { 1, CacheEventKind::Evicted, { &first, 1 } }, kStart);
        index.sweep(kTableSize - kHome, kStart);
        const HolderSlot later = index.beginLife({ 3, 1 }, true);
        CPPUNIT_ASSERT_EQUAL(ended, later);
        CPPUNIT_ASSERT_EQUAL(0U, claimFor(index, later, { second }));
    }

    // Tests the number of entries, their memory and the entries kept after three times the maximum
    // was inserted. Guards against unbounded growth and against evicting recent entries before old
    // ones.
    void keepsMemoryBounded()
    {
        constexpr std::size_t kMaxBlocks = 10'000;
        BlockIndex index({ .maxBlocks = kMaxBlocks });
        const HolderSlot slot = index.beginLife({ 1, 1 }, true);
        TimePoint now = kStart;
        std::uint64_t number = 0;
        for (std::uint64_t i = 0; i < 3 * kMaxBlocks; ++i, now += std::chrono::milliseconds(10)) {
            const std::uint64_t hash = blockHash(i);
            index.applyEvent(slot, { ++number, CacheEventKind::Stored, { &hash, 1 } }, now);
            CPPUNIT_ASSERT(index.size() <= kMaxBlocks);
        }
        const double perBlock = static_cast<double>(index.memoryBytes()) / kMaxBlocks;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(perBlock), perBlock <= 24);
        std::size_t recent = 0;
        for (std::uint64_t i = 3 * kMaxBlocks - 1000; i < 3 * kMaxBlocks; ++i)
            recent += claimFor(index, slot, { blockHash(i) }, now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(recent), recent >= 950);
    }

    // Tests that reported hits remove wrong claims and scale expected blocks. Guards against a
    // router that keeps sending requests to an engine for blocks that it has evicted.
    void correctsWrongClaims()
    {
        const Chain chain{ 1, 2, 3, 4 };
        BlockIndex index;
        const HolderSlot slot = index.beginLife({ 1, 1 }, true);
        index.recordPlacement(slot, chain, kStart);
        index.recordHit(slot, chain, 4, 1, kStart);
        CPPUNIT_ASSERT_EQUAL(1U, claimFor(index, slot, chain));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, index.hitError().overclaimed);
        for (int i = 0; i < 100; ++i)
            index.recordHit(slot, chain, 4, 2, kStart);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, index.expectedBlocks({ slot, 4 }), 0.2);
        for (int i = 0; i < 400; ++i)
            index.recordHit(slot, chain, 4, 4, kStart);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, index.expectedBlocks({ slot, 4 }), 0.2);
    }

    // Tests the maximum age of claims with and without an event stream. Guards against placements
    // that never expire on engines whose eviction events this daemon does not receive.
    void ignoresOldClaims()
    {
        struct Row
        {
            bool isFollowed;
            std::chrono::seconds age;
            std::uint32_t expected;
        };
        const Row rows[] = {
            { false, std::chrono::seconds(30), 1 },
            { false, std::chrono::seconds(31), 0 },
            { true, std::chrono::seconds(600), 1 },
            { true, std::chrono::seconds(601), 0 },
        };
        for (const Row &row : rows) {
            BlockIndex index;
            const HolderSlot slot = index.beginLife({ 1, 1 }, row.isFollowed);
            index.recordPlacement(slot, Chain{ 5 }, kStart);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(row.age.count()), row.expected,
                                         claimFor(index, slot, { 5 }, kStart + row.age));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BlockIndexTest);

} // namespace chervilfield::prefix

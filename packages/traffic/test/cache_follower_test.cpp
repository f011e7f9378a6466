#include "traffic/cache_follower.h"

#include "base/hash.h"
#include "prefix/chain.h"
#include "traffic_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace chervilfield::traffic {

using boost::asio::yield_context;

namespace {

constexpr std::uint32_t kBlocks = 8;

std::string prompt()
{
    std::string text;
    while (text.size() < kBlocks * prefix::kBlockBytes)
        text += "row " + std::to_string(text.size()) + '\n';
    text.resize(kBlocks * prefix::kBlockBytes);
    return text;
}

std::uint64_t seedOf(std::string_view customer)
{
    return prefix::chainSeed({ .customer = customer, .model = "m", .weights = "v1" });
}

std::vector<std::uint64_t> chainOf(std::string_view customer)
{
    return prefix::blockChain(prompt(), seedOf(customer));
}

// Fills the engine's cache with a request of the customer that another instance sends.
void cachePrompt(TrafficFixture &fixture, std::size_t engine, std::string_view customer,
                 const std::string &requestId, const yield_context &yield)
{
    const boost::json::object body{ { "request_id", requestId },
                                    { "prompt", prompt() },
                                    { "max_tokens", 1 },
                                    { "cache_salt", base::toHex(seedOf(customer)) } };
    const auto response = fixture.sendToEngine(
            engine,
            { .method = "POST", .target = "/v1/completions", .body = boost::json::serialize(body) },
            yield);
    CPPUNIT_ASSERT_EQUAL(200, response.status);
}

// Sends the prompt to the entry instance and returns the cached tokens that the answer reports.
std::int64_t cachedTokens(TrafficFixture &fixture, std::string_view apiKey,
                          const yield_context &yield)
{
    const boost::json::object body{ { "model", "m" }, { "prompt", prompt() }, { "max_tokens", 2 } };
    const auto response =
            fixture.send({ .method = "POST",
                           .target = "/v1/completions",
                           .headers = { { "Authorization", "Bearer " + std::string(apiKey) } },
                           .body = boost::json::serialize(body) },
                         yield);
    CPPUNIT_ASSERT_MESSAGE("no response", response.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response->body, 200, response->status);
    return boost::json::parse(response->body)
            .at("usage")
            .at("prompt_tokens_details")
            .at("cached_tokens")
            .as_int64();
}

// Returns the blocks that the index lists for the customer's prompt, by engine.
std::map<routing::TargetId, std::uint32_t> listedBlocks(TrafficFixture &fixture,
                                                        std::string_view customer)
{
    std::map<routing::TargetId, std::uint32_t> result;
    for (const auto &holder : fixture.router.cacheIndex().holders(chainOf(customer)).listed)
        result[holder.target] = holder.blocks;
    return result;
}

bool hasSample(const TrafficFixture &fixture, const std::string &sample)
{
    return fixture.metrics.exposition().find('\n' + sample + '\n') != std::string::npos;
}

} // namespace

class CacheFollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CacheFollowerTest);
    CPPUNIT_TEST(findsPromptCachedByAnotherInstance);
    CPPUNIT_TEST(repairsLostEvents);
    CPPUNIT_TEST(removesBlocksOfEndedLife);
    CPPUNIT_TEST(rejectsSnapshotOfReplacedLife);
    CPPUNIT_TEST(acceptsSnapshotAfterRestartedNumbering);
    CPPUNIT_TEST(silentEngineDelaysNoOtherEngine);
    CPPUNIT_TEST(separatesCustomers);
    CPPUNIT_TEST(removesBlocksOfUnfollowedEngines);
    CPPUNIT_TEST_SUITE_END();

    // Tests that a request goes to the engine that caches its prompt, wherever that engine is in
    // the order of the prompt's homes. Guards against recomputing a cached prompt because the
    // router does not know the holder or computes other block hashes than the engine.
    void findsPromptCachedByAnotherInstance()
    {
        constexpr std::size_t kEngines = 3;
        for (std::size_t holder = 0; holder < kEngines; ++holder) {
            TrafficFixture fixture(kEngines);
            CacheFollower follower(fixture.context, fixture.router, fixture.metrics, {});
            fixture.run([&](const yield_context &yield) {
                for (std::size_t i = 0; i < kEngines; ++i)
                    follower.poll(fixture.engine(i), yield);
                cachePrompt(fixture, holder, "c", "other-instance", yield);
                for (std::size_t i = 0; i < kEngines; ++i)
                    follower.poll(fixture.engine(i), yield);
                const std::map<routing::TargetId, std::uint32_t> expected{
                    { fixture.engine(holder).id, kBlocks }
                };
                CPPUNIT_ASSERT(expected == listedBlocks(fixture, "c"));
                CPPUNIT_ASSERT_EQUAL(std::int64_t{ kBlocks * prefix::kBlockTokens },
                                     cachedTokens(fixture, kTestKey, yield));
            });
            const prefix::HitError error = fixture.router.cacheIndex().hitError();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kBlocks }, error.claimed);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kBlocks }, error.reported);
            CPPUNIT_ASSERT(hasSample(fixture, "chervilfield_cache_events_total 8"));
            CPPUNIT_ASSERT(hasSample(fixture, "chervilfield_cache_event_gaps_total 0"));
            CPPUNIT_ASSERT(hasSample(fixture, "chervilfield_cache_resynchronisations_total 3"));
        }
    }

    // Tests that the follower reads a snapshot after lost events. Guards against blocks that stay
    // unknown, also if the last events are lost, which no later event reveals.
    void repairsLostEvents()
    {
        for (const std::string &loss : { std::string("0.5"), std::string("1") }) {
            TrafficFixture fixture(1);
            CacheFollower follower(fixture.context, fixture.router, fixture.metrics, {});
            fixture.run([&](const yield_context &yield) {
                follower.poll(fixture.engine(0), yield);
                fixture.injectFault(0, R"({"eventLoss":)" + loss + '}', yield);
                cachePrompt(fixture, 0, "c", "other-instance", yield);
                follower.poll(fixture.engine(0), yield);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(loss, kBlocks,
                                             listedBlocks(fixture, "c")[fixture.engine(0).id]);
                follower.poll(fixture.engine(0), yield);
            });
            CPPUNIT_ASSERT(hasSample(fixture, "chervilfield_cache_event_gaps_total 1"));
            CPPUNIT_ASSERT(hasSample(fixture, "chervilfield_cache_resynchronisations_total 2"));
        }
    }

    // Tests that the blocks of a crashed engine are removed, whether the follower or a request
    // finds the new life first. Guards against listing them for the next life, whose cache is
    // empty.
    void removesBlocksOfEndedLife()
    {
        for (const bool followerFirst : { true, false }) {
            TrafficFixture fixture(1);
            CacheFollower follower(fixture.context, fixture.router, fixture.metrics, {});
            fixture.run([&](const yield_context &yield) {
                cachePrompt(fixture, 0, "c", "other-instance", yield);
                follower.poll(fixture.engine(0), yield);
                CPPUNIT_ASSERT_EQUAL(kBlocks, listedBlocks(fixture, "c")[fixture.engine(0).id]);
                fixture.injectFault(0, R"({"crash":true})", yield);
                if (followerFirst) {
                    follower.poll(fixture.engine(0), yield);
                    CPPUNIT_ASSERT(listedBlocks(fixture, "c").empty());
                }
                CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, cachedTokens(fixture, kTestKey, yield));
                CPPUNIT_ASSERT(listedBlocks(fixture, "c").empty());
                // The request has filled the cache of the new life.
                follower.poll(fixture.engine(0), yield);
                CPPUNIT_ASSERT_EQUAL(kBlocks, listedBlocks(fixture, "c")[fixture.engine(0).id]);
            });
            // Blocks listed for the old life must not count as an error of the new one.
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                                 fixture.router.cacheIndex().hitError().claimed);
        }
    }

    // Tests that a snapshot of a replaced life is rejected. Guards against restoring an ended life
    // from a snapshot that was requested before a crash and arrives after it.
    void rejectsSnapshotOfReplacedLife()
    {
        constexpr routing::TargetId kEngine = 7;
        const std::vector<std::uint64_t> chain{ 11, 12 };
        const targets::CacheSnapshot oldSnapshot{ .life = 1, .nextNumber = 3, .blocks = chain };
        for (const bool followedBefore : { false, true }) {
            CacheIndex index;
            if (followedBefore)
                CPPUNIT_ASSERT(index.applySnapshot(kEngine, {}, oldSnapshot));
            const FollowPosition before = index.position(kEngine);
            index.recordLife(kEngine, 2);
            CPPUNIT_ASSERT(!index.applySnapshot(kEngine, before, oldSnapshot));
            CPPUNIT_ASSERT(index.holders(chain).listed.empty());
            CPPUNIT_ASSERT(!index.position(kEngine).nextEvent.has_value());
            CPPUNIT_ASSERT(index.applySnapshot(kEngine, before, { .life = 2, .nextNumber = 1 }));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, *index.position(kEngine).life);
        }
    }

    // Tests that a snapshot is accepted from an engine that restarts its event numbers within a
    // life. Guards against ignoring all further events of such an engine.
    void acceptsSnapshotAfterRestartedNumbering()
    {
        constexpr routing::TargetId kEngine = 7;
        const std::vector<std::uint64_t> chain{ 11 };
        CacheIndex index;
        CPPUNIT_ASSERT(
                index.applySnapshot(kEngine, {}, { .life = 1, .nextNumber = 9, .blocks = chain }));
        CPPUNIT_ASSERT(!index.applyEvents(kEngine, { .life = 1, .nextNumber = 2 }));
        const FollowPosition before = index.position(kEngine);
        CPPUNIT_ASSERT(index.applySnapshot(kEngine, before, { .life = 1, .nextNumber = 2 }));
        CPPUNIT_ASSERT(index.holders(chain).listed.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, *index.position(kEngine).nextEvent);
    }

    // Tests that an engine that accepts connections but never answers does not delay the polls of
    // the others. Guards against polling the engines one after another.
    void silentEngineDelaysNoOtherEngine()
    {
        constexpr std::chrono::milliseconds kSilence{ 3000 };
        TrafficFixture fixture(1);
        using boost::asio::ip::tcp;
        const tcp::acceptor silent(fixture.context,
                                   { boost::asio::ip::make_address("127.0.0.1"), 0 });
        const TargetInfo silentEngine{ .id = 7,
                                       .name = "silent",
                                       .address = { "127.0.0.1", silent.local_endpoint().port() } };
        const auto engines = [&] { return std::vector{ silentEngine, fixture.engine(0) }; };
        CacheFollower follower(
                fixture.context, fixture.router, fixture.metrics, engines,
                { .pollInterval = std::chrono::milliseconds(20), .requestTimeout = kSilence });
        bool ended = false;
        fixture.run([&](const yield_context &yield) {
            const auto deadline = std::chrono::steady_clock::now() + kSilence;
            net::spawnCoroutine(fixture.context, "[test]", [&](const yield_context &inner) {
                follower.run(inner);
                ended = true;
            });
            cachePrompt(fixture, 0, "c", "other-instance", yield);
            boost::asio::steady_timer timer(fixture.context);
            const auto pause = [&] {
                timer.expires_after(std::chrono::milliseconds(10));
                timer.async_wait(yield);
            };
            while (listedBlocks(fixture, "c").empty()
                   && std::chrono::steady_clock::now() < deadline)
                pause();
            CPPUNIT_ASSERT_EQUAL(kBlocks, listedBlocks(fixture, "c")[fixture.engine(0).id]);
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() < deadline);
            follower.stop();
            while (!ended && std::chrono::steady_clock::now() < deadline + kTestTimeout)
                pause();
            CPPUNIT_ASSERT_MESSAGE("the follower did not stop", ended);
        });
    }

    // Tests that a request is never matched with blocks of another customer. Guards against block
    // hashes that do not depend on the customer.
    void separatesCustomers()
    {
        TrafficFixture fixture(1);
        CacheFollower follower(fixture.context, fixture.router, fixture.metrics, {});
        fixture.run([&](const yield_context &yield) {
            cachePrompt(fixture, 0, "c", "other-instance", yield);
            follower.poll(fixture.engine(0), yield);
            CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, listedBlocks(fixture, "c").size());
            CPPUNIT_ASSERT(listedBlocks(fixture, "d").empty());
            CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, cachedTokens(fixture, kOtherKey, yield));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                                 fixture.router.cacheIndex().hitError().claimed);
        });
    }

    // Tests that the blocks of engines that are no longer followed are removed. Guards against
    // outdated entries after another daemon has taken over an engine.
    void removesBlocksOfUnfollowedEngines()
    {
        TrafficFixture fixture(2);
        CacheFollower follower(fixture.context, fixture.router, fixture.metrics, {});
        fixture.run([&](const yield_context &yield) {
            for (std::size_t i = 0; i < 2; ++i) {
                cachePrompt(fixture, i, "c", "other-instance", yield);
                follower.poll(fixture.engine(i), yield);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, listedBlocks(fixture, "c").size());
            fixture.router.cacheIndex().keepOnly({ fixture.engine(1).id });
            const std::map<routing::TargetId, std::uint32_t> expected{ { fixture.engine(1).id,
                                                                         kBlocks } };
            CPPUNIT_ASSERT(expected == listedBlocks(fixture, "c"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CacheFollowerTest);

} // namespace chervilfield::traffic

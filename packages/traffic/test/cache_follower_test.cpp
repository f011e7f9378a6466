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

// Fills the engine's cache in the same way as another instance that serves the customer.
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
std::map<routing::TargetId, std::uint32_t> listed(TrafficFixture &fixture,
                                                  std::string_view customer)
{
    std::map<routing::TargetId, std::uint32_t> result;
    for (const auto &holder : fixture.router.cacheIndex().holders(chainOf(customer)).listed)
        result[holder.target] = holder.blocks;
    return result;
}

bool shows(const TrafficFixture &fixture, const std::string &sample)
{
    return fixture.metrics.exposition().find('\n' + sample + '\n') != std::string::npos;
}

} // namespace

class CacheFollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CacheFollowerTest);
    CPPUNIT_TEST(findsPromptCachedThroughAnotherPath);
    CPPUNIT_TEST(repairsLostEvents);
    CPPUNIT_TEST(forgetsEndedLife);
    CPPUNIT_TEST(acceptsNoSnapshotOfReplacedLife);
    CPPUNIT_TEST(readsAgainAfterNumberingAnew);
    CPPUNIT_TEST(silentEngineDelaysNoOther);
    CPPUNIT_TEST(separatesCustomers);
    CPPUNIT_TEST(forgetsEnginesOfOtherFollowers);
    CPPUNIT_TEST_SUITE_END();

    // Guards against recomputing a long prompt that an engine holds, wherever that engine is in the
    // order of the prompt's homes, and against hashes that differ between engine and router.
    void findsPromptCachedThroughAnotherPath()
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
                CPPUNIT_ASSERT(expected == listed(fixture, "c"));
                CPPUNIT_ASSERT_EQUAL(std::int64_t{ kBlocks * prefix::kBlockTokens },
                                     cachedTokens(fixture, kTestKey, yield));
            });
            const prefix::HitError error = fixture.router.cacheIndex().hitError();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kBlocks }, error.claimed);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kBlocks }, error.reported);
            CPPUNIT_ASSERT(shows(fixture, "chervilfield_cache_events_total 8"));
            CPPUNIT_ASSERT(shows(fixture, "chervilfield_cache_event_gaps_total 0"));
            CPPUNIT_ASSERT(shows(fixture, "chervilfield_cache_resynchronisations_total 3"));
        }
    }

    // Guards against blocks that stay unknown after lost events, in the middle of the events or
    // with the last ones, which no later event reveals.
    void repairsLostEvents()
    {
        for (const std::string &loss : { std::string("0.5"), std::string("1") }) {
            TrafficFixture fixture(1);
            CacheFollower follower(fixture.context, fixture.router, fixture.metrics, {});
            fixture.run([&](const yield_context &yield) {
                follower.poll(fixture.engine(0), yield);
                fixture.control(0, R"({"eventLoss":)" + loss + '}', yield);
                cachePrompt(fixture, 0, "c", "other-instance", yield);
                follower.poll(fixture.engine(0), yield);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(loss, kBlocks,
                                             listed(fixture, "c")[fixture.engine(0).id]);
                follower.poll(fixture.engine(0), yield);
            });
            CPPUNIT_ASSERT(shows(fixture, "chervilfield_cache_event_gaps_total 1"));
            CPPUNIT_ASSERT(shows(fixture, "chervilfield_cache_resynchronisations_total 2"));
        }
    }

    // Guards against claims of a crashed engine that its next life, with an empty cache, inherits,
    // whether the follower or a request meets the new life first.
    void forgetsEndedLife()
    {
        for (const bool followerFirst : { true, false }) {
            TrafficFixture fixture(1);
            CacheFollower follower(fixture.context, fixture.router, fixture.metrics, {});
            fixture.run([&](const yield_context &yield) {
                cachePrompt(fixture, 0, "c", "other-instance", yield);
                follower.poll(fixture.engine(0), yield);
                CPPUNIT_ASSERT_EQUAL(kBlocks, listed(fixture, "c")[fixture.engine(0).id]);
                fixture.control(0, R"({"crash":true})", yield);
                if (followerFirst) {
                    follower.poll(fixture.engine(0), yield);
                    CPPUNIT_ASSERT(listed(fixture, "c").empty());
                }
                CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, cachedTokens(fixture, kTestKey, yield));
                CPPUNIT_ASSERT(listed(fixture, "c").empty());
                // The request has filled the cache of the new life.
                follower.poll(fixture.engine(0), yield);
                CPPUNIT_ASSERT_EQUAL(kBlocks, listed(fixture, "c")[fixture.engine(0).id]);
            });
            // No claim of the old life may count as an error of the new one.
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                                 fixture.router.cacheIndex().hitError().claimed);
        }
    }

    // Guards against a snapshot that was requested before a crash, arrives after it and brings back
    // the ended life.
    void acceptsNoSnapshotOfReplacedLife()
    {
        constexpr routing::TargetId kEngine = 7;
        const std::vector<std::uint64_t> chain{ 11, 12 };
        const targets::CacheSnapshot old{ .life = 1, .nextNumber = 3, .blocks = chain };
        for (const bool followedBefore : { false, true }) {
            CacheIndex index;
            if (followedBefore)
                CPPUNIT_ASSERT(index.applySnapshot(kEngine, {}, old));
            const FollowPosition before = index.position(kEngine);
            index.recordLife(kEngine, 2);
            CPPUNIT_ASSERT(!index.applySnapshot(kEngine, before, old));
            CPPUNIT_ASSERT(index.holders(chain).listed.empty());
            CPPUNIT_ASSERT(!index.position(kEngine).nextEvent.has_value());
            CPPUNIT_ASSERT(index.applySnapshot(kEngine, before, { .life = 2, .nextNumber = 1 }));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, *index.position(kEngine).life);
        }
    }

    // Guards against ignoring an engine for good that numbers its events anew within a life.
    void readsAgainAfterNumberingAnew()
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

    // Guards against an engine that accepts connections and never answers, which would stop the
    // following of the others if engines were polled one after another.
    void silentEngineDelaysNoOther()
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
                { .pollInterval = std::chrono::milliseconds(20), .timeout = kSilence });
        bool ended = false;
        fixture.run([&](const yield_context &yield) {
            const auto answerDue = std::chrono::steady_clock::now() + kSilence;
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
            while (listed(fixture, "c").empty() && std::chrono::steady_clock::now() < answerDue)
                pause();
            CPPUNIT_ASSERT_EQUAL(kBlocks, listed(fixture, "c")[fixture.engine(0).id]);
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() < answerDue);
            follower.stop();
            while (!ended && std::chrono::steady_clock::now() < answerDue + kTestTimeout)
                pause();
            CPPUNIT_ASSERT_MESSAGE("the follower did not stop", ended);
        });
    }

    // Guards against holders of one customer's blocks that a request of another customer gets.
    void separatesCustomers()
    {
        TrafficFixture fixture(1);
        CacheFollower follower(fixture.context, fixture.router, fixture.metrics, {});
        fixture.run([&](const yield_context &yield) {
            cachePrompt(fixture, 0, "c", "other-instance", yield);
            follower.poll(fixture.engine(0), yield);
            CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, listed(fixture, "c").size());
            CPPUNIT_ASSERT(listed(fixture, "d").empty());
            CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, cachedTokens(fixture, kOtherKey, yield));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                                 fixture.router.cacheIndex().hitError().claimed);
        });
    }

    // Guards against claims that age unnoticed after other daemons have taken over an engine.
    void forgetsEnginesOfOtherFollowers()
    {
        TrafficFixture fixture(2);
        CacheFollower follower(fixture.context, fixture.router, fixture.metrics, {});
        fixture.run([&](const yield_context &yield) {
            for (std::size_t i = 0; i < 2; ++i) {
                cachePrompt(fixture, i, "c", "other-instance", yield);
                follower.poll(fixture.engine(i), yield);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, listed(fixture, "c").size());
            fixture.router.cacheIndex().keepOnly({ fixture.engine(1).id });
            const std::map<routing::TargetId, std::uint32_t> expected{ { fixture.engine(1).id,
                                                                         kBlocks } };
            CPPUNIT_ASSERT(expected == listed(fixture, "c"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CacheFollowerTest);

} // namespace chervilfield::traffic

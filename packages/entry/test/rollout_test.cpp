#include "entry/rollout.h"

#include "fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chervilfield::entry {

using std::chrono::milliseconds;

namespace {

// Engines that load weights in 20 ms and refuse orders with a fencing token below a minimum.
class FakeEngines : public fleet::EngineControl
{
public:
    explicit FakeEngines(boost::asio::io_context &context) : context_(context) {}

    std::map<std::string, std::uint64_t> weights; ///< Loaded version by engine id.
    std::vector<std::string> orders; ///< Ids of the ordered engines, in the sequence of the orders.
    std::set<std::uint64_t> fencingTokens;
    std::uint64_t minFencingToken = 0;
    std::size_t loading = 0;    ///< Number of loads in progress.
    std::size_t maxLoading = 0; ///< Highest value of `loading`.
    bool dropsReplies = false;  ///< Orders take effect, but their outcome is `Undecided`.

    std::optional<fleet::EngineState> state(const fleet::Target &target, boost::asio::yield_context,
                                            std::error_code &) override
    {
        return fleet::EngineState{ .weights = { { "m", weights[target.id] } } };
    }

    fleet::OrderOutcome load(const fleet::Target &target, const fleet::LoadOrder &order,
                             boost::asio::yield_context) override
    {
        if (order.fencingToken < minFencingToken)
            return fleet::OrderOutcome::StaleFence;
        orders.push_back(target.id);
        fencingTokens.insert(order.fencingToken);
        maxLoading = std::max(maxLoading, ++loading);
        auto timer = std::make_shared<boost::asio::steady_timer>(context_, milliseconds(20));
        timer->async_wait([this, timer, id = target.id, version = order.version](const auto &) {
            weights[id] = version;
            --loading;
        });
        return dropsReplies ? fleet::OrderOutcome::Undecided : fleet::OrderOutcome::Accepted;
    }

private:
    boost::asio::io_context &context_;
};

// Returns a view with one engine for each of the given weight versions; the desired one is 3.
fleet::ViewPtr makeView(const std::vector<std::uint64_t> &weights)
{
    std::vector<fleet::Target> targets;
    for (std::size_t i = 0; i < weights.size(); ++i)
        targets.push_back({ .id = "e" + std::to_string(i),
                            .pool = "p",
                            .startedAt = 1,
                            .weights = { { "m", weights[i] } } });
    const fleet::WeightsHistory history{ { "m", { { 3, {} } } } };
    return std::make_shared<const fleet::View>(nullptr, targets, history, 1);
}

struct Fixture
{
    explicit Fixture(std::vector<std::uint64_t> versions) : view(makeView(versions))
    {
        for (std::size_t i = 0; i < versions.size(); ++i)
            engines.weights["e" + std::to_string(i)] = versions[i];
    }

    std::unique_ptr<Rollout> makeRollout(const std::string &instance)
    {
        RolloutOptions options{ .instance = instance,
                                .tickInterval = milliseconds(2),
                                .standbyDelay = milliseconds(60),
                                .statePollInterval = milliseconds(5),
                                .retryDelay = milliseconds(5),
                                .leaseReadInterval = milliseconds(5),
                                .leaseIdleTimeout = milliseconds(50) };
        options.lease.duration = milliseconds(150);
        auto rollout = std::make_unique<Rollout>(
                context, store, engines, log,
                Rollout::Hooks{ .view = [this] { return view; },
                                .liveInstances = [this] { return live; },
                                .progress = [](const LoadTask &, bool) {} },
                options);
        rollout->start();
        return rollout;
    }

    bool isDone() const
    {
        return std::ranges::all_of(engines.weights, [](const auto &e) { return e.second == 3; });
    }

    boost::asio::io_context context;
    FakeStore store;
    FakeEngines engines{ context };
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    fleet::ViewPtr view;
    std::vector<std::string> live{ "a", "b" };
};

} // namespace

class RolloutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutTest);
    CPPUNIT_TEST(oldestWeightsFirst);
    CPPUNIT_TEST(onlyOneInstanceSendsOrders);
    CPPUNIT_TEST(standbyTakesOver);
    CPPUNIT_TEST(noOrderWithoutStore);
    CPPUNIT_TEST(refusedFencingTokenIsNotReused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that engines with the oldest weights load first, two at a time. Guards against engines
    // that never catch up because new versions are set quickly, and against so many parallel loads
    // that the other engines cannot carry the traffic.
    void oldestWeightsFirst()
    {
        Fixture f({ 2, 2, 1, 2, 2, 2, 1, 2, 2, 3 });
        const auto rollout = f.makeRollout("a");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.isDone(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), f.engines.orders.size());
        const std::set<std::string> first{ f.engines.orders[0], f.engines.orders[1] };
        CPPUNIT_ASSERT(first == std::set<std::string>({ "e2", "e6" }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.engines.maxLoading);
    }

    // Tests that one of two instances sends all orders. Guards against duplicate orders from
    // instances that both see the same pending loads.
    void onlyOneInstanceSendsOrders()
    {
        Fixture f(std::vector<std::uint64_t>(10, 1));
        const auto first = f.makeRollout("a");
        const auto second = f.makeRollout("b");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.isDone(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), f.engines.orders.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.engines.fencingTokens.size());
    }

    // Tests that the second instance takes over if the first one never acts. Guards against engines
    // that keep old weights because the first instance has stopped.
    void standbyTakesOver()
    {
        Fixture f(std::vector<std::uint64_t>(10, 1));
        const auto second = f.makeRollout("b");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.isDone(); }));
    }

    // Tests that no order is sent while the store is unreachable. Guards against orders from an
    // instance that cannot read or write the lease and so may not hold it.
    void noOrderWithoutStore()
    {
        Fixture f(std::vector<std::uint64_t>(10, 1));
        f.store.isUnreachable = true;
        const auto rollout = f.makeRollout("a");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.store.refusedCalls >= 5; }));
        CPPUNIT_ASSERT(f.engines.orders.empty());
        f.store.isUnreachable = false;
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.isDone(); }));
    }

    // Tests that an instance uses a higher fencing token after a refusal. Guards against a rollout
    // that repeats a refused token for ever, as happens if engines have seen higher tokens than the
    // lease row holds.
    void refusedFencingTokenIsNotReused()
    {
        Fixture f(std::vector<std::uint64_t>(10, 1));
        f.engines.minFencingToken = 5;
        const auto rollout = f.makeRollout("a");
        CPPUNIT_ASSERT(runUntil(f.context, [&] { return f.isDone(); }));
        CPPUNIT_ASSERT(*f.engines.fencingTokens.begin() >= 5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

} // namespace chervilfield::entry

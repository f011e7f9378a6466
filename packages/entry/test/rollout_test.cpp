#include "entry/rollout.h"

#include "fake_store.h"

#include <boost/algorithm/string/join.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chervilfield::entry {

using std::chrono::milliseconds;

namespace {

// Fates of the orders and calls to engines.
struct Faults
{
    bool losesReplies = false; ///< The outcome of all orders is `Undecided`.
    /// Time after which orders are executed if nothing else has changed the order count.
    milliseconds orderDelay{ 0 };
    std::size_t lostOrders = 0;          ///< Orders to each engine that are never executed.
    std::set<std::string> silentEngines; ///< Ids of the engines that do not respond.
    std::set<std::string> busyEngines;   ///< Ids of the engines that first execute another order.
};

// Engines that load weights in 20 ms and refuse orders with a fencing token below a minimum.
class FakeEngines : public fleet::EngineControl
{
public:
    explicit FakeEngines(boost::asio::io_context &context) : context_(context) {}

    std::map<std::string, std::uint64_t> weights; ///< Loaded version by engine id.
    std::vector<std::string> orders; ///< Ids of the ordered engines, in the sequence of the orders.
    std::set<std::uint64_t> fencingTokens;
    std::uint64_t minFencingToken = 0;
    std::set<std::string> loading; ///< Ids of the engines that load.
    std::size_t maxLoading = 0;    ///< Highest size of `loading`.
    Faults faults;

    /// Starts the other orders of `Faults::busyEngines`, which take 20 ms and load no weights.
    void executeOtherOrders()
    {
        for (const std::string &id : faults.busyEngines)
            execute(id, { .version = weights[id] });
    }

    std::optional<fleet::EngineState> state(const fleet::Target &target,
                                            boost::asio::yield_context yield,
                                            std::error_code &error) override
    {
        if (faults.silentEngines.contains(target.id)) {
            waitFor(kCallTimeout, yield);
            error = base::Result::TargetFailed;
            return std::nullopt;
        }
        return fleet::EngineState{ .isBusy = loading.contains(target.id),
                                   .acceptedOrderCount = acceptedOrders_[target.id],
                                   .weights = { { "m", weights[target.id] } } };
    }

    fleet::OrderOutcome load(const fleet::Target &target, const fleet::LoadOrder &order,
                             boost::asio::yield_context yield) override
    {
        if (order.fencingToken < minFencingToken)
            return fleet::OrderOutcome::StaleFence;
        orders.push_back(target.id);
        fencingTokens.insert(order.fencingToken);
        const auto count = static_cast<std::size_t>(std::ranges::count(orders, target.id));
        if (count > faults.lostOrders) {
            if (faults.orderDelay == milliseconds(0))
                execute(target.id, order);
            else
                after(faults.orderDelay, [this, id = target.id, order] { execute(id, order); });
        }
        if (!faults.losesReplies)
            return fleet::OrderOutcome::Accepted;
        waitFor(kCallTimeout, yield);
        return fleet::OrderOutcome::Undecided;
    }

private:
    static constexpr milliseconds kCallTimeout{ 10 };

    void after(milliseconds time, std::function<void()> action)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(context_, time);
        timer->async_wait([timer, action = std::move(action)](const auto &) { action(); });
    }

    void waitFor(milliseconds time, boost::asio::yield_context yield)
    {
        boost::asio::steady_timer timer(context_, time);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }

    void execute(const std::string &id, const fleet::LoadOrder &order)
    {
        if (acceptedOrders_[id] != order.expectedOrderCount || loading.contains(id))
            return;
        ++acceptedOrders_[id];
        loading.insert(id);
        maxLoading = std::max(maxLoading, loading.size());
        after(milliseconds(20), [this, id, version = order.version] {
            weights[id] = version;
            loading.erase(id);
        });
    }

    boost::asio::io_context &context_;
    std::map<std::string, std::uint64_t> acceptedOrders_; ///< Order count by engine id.
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
                                .maxStateAge = milliseconds(10),
                                .retryDelay = milliseconds(5),
                                .leaseReadInterval = milliseconds(5),
                                .leaseIdleTimeout = milliseconds(50) };
        options.lease.duration = milliseconds(150);
        auto rollout = std::make_unique<Rollout>(
                context, store, engines, log,
                Rollout::Hooks{ .view = [this] { return view; },
                                .liveInstances = [this] { return live; },
                                .progress =
                                        [this](const LoadTask &task, LoadStage stage) {
                                            if (stage == LoadStage::Begun)
                                                announced.insert(task.target.id);
                                            else
                                                announced.erase(task.target.id);
                                            maxAnnounced = std::max(maxAnnounced, announced.size());
                                        } },
                options);
        rollout->start();
        return rollout;
    }

    bool isDone() const
    {
        return std::ranges::all_of(engines.weights, [this](const auto &e) {
            return e.second == 3 || engines.faults.silentEngines.contains(e.first);
        });
    }

    boost::asio::io_context context;
    FakeStore store;
    FakeEngines engines{ context };
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    fleet::ViewPtr view;
    std::vector<std::string> live{ "a", "b" };
    std::set<std::string> announced; ///< Ids of the engines that are announced as loading.
    std::size_t maxAnnounced = 0;    ///< Highest size of `announced`.
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
    CPPUNIT_TEST(unansweredCallsDelayOtherEngines);
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

    // Guards against engines that keep old weights because others hold up the rollout.
    void unansweredCallsDelayOtherEngines()
    {
        struct Row
        {
            std::string name;
            Faults faults;
            std::size_t maxLoading; ///< Highest permitted number of engines that load at once.
        };
        constexpr std::size_t kEngines = 10;
        const Row rows[] = {
            { "no faults", {}, 2 },
            { "answers lost", { .losesReplies = true }, 2 },
            { "answers lost, orders late",
              { .losesReplies = true, .orderDelay = milliseconds(1500) },
              kEngines },
            { "first orders lost", { .losesReplies = true, .lostOrders = 2 }, 2 },
            { "engines silent", { .silentEngines = { "e0", "e1", "e2", "e3" } }, 2 },
            { "engines busy with other orders", { .busyEngines = { "e0", "e1", "e2" } }, 3 },
            { "engines silent, first orders lost",
              { .losesReplies = true,
                .lostOrders = 1,
                .silentEngines = { "e0", "e3", "e4", "e5", "e9" } },
              2 },
        };
        std::vector<std::string> failed;
        for (const Row &row : rows) {
            Fixture f(std::vector<std::uint64_t>(kEngines, 1));
            f.engines.faults = row.faults;
            f.engines.executeOtherOrders();
            const auto rollout = f.makeRollout("a");
            const bool isDone = runUntil(f.context, [&] { return f.isDone(); });
            const bool areWithdrawn = runUntil(f.context, [&] { return f.announced.empty(); });
            if (!isDone || !areWithdrawn || f.engines.maxLoading > row.maxLoading
                || f.maxAnnounced > 2 || f.engines.fencingTokens.size() != 1)
                failed.push_back(row.name);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), boost::algorithm::join(failed, "; "));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

} // namespace chervilfield::entry

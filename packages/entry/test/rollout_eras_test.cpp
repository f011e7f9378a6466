#include "entry/rollout.h"

#include "fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chervilfield::entry {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLeaseDuration{ 100 };
constexpr std::size_t kEngines = 16;

// Engines that load weights in 15 ms, so that the lease is renewed before all have. Records the
// fencing tokens of all orders.
class FakeEngines : public fleet::EngineControl
{
public:
    struct Order
    {
        std::string holder;
        std::uint64_t fence = 0;
        std::chrono::steady_clock::time_point sentAt = std::chrono::steady_clock::now();
    };

    std::map<std::string, std::uint64_t> weights;
    std::vector<Order> orders;
    bool isFailing = false; ///< Orders fail, so that they are repeated.

    std::optional<fleet::EngineState> state(const fleet::Target &target, boost::asio::yield_context,
                                            std::error_code &) override
    {
        return fleet::EngineState{ .isBusy = false,
                                   .acceptedOrderCount = counts_[target.id],
                                   .weights = { { "m", weights[target.id] } } };
    }

    fleet::OrderOutcome load(const fleet::Target &target, const fleet::LoadOrder &order,
                             boost::asio::yield_context yield) override
    {
        orders.push_back({ order.leaseHolder, order.fencingToken });
        if (isFailing)
            return fleet::OrderOutcome::Rejected;
        boost::asio::steady_timer timer(yield.get_executor(), milliseconds(15));
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        ++counts_[target.id];
        weights[target.id] = order.version;
        return fleet::OrderOutcome::Accepted;
    }

    // Returns true if each order has a token that is at least as high as those before, and each
    // token belongs to one holder.
    bool areExclusive() const
    {
        std::map<std::uint64_t, std::string> holders;
        for (std::size_t i = 0; i < orders.size(); ++i) {
            if (i > 0 && orders[i].fence < orders[i - 1].fence)
                return false;
            if (holders.try_emplace(orders[i].fence, orders[i].holder).first->second
                != orders[i].holder)
                return false;
        }
        return true;
    }

private:
    std::map<std::string, std::uint64_t> counts_;
};

// An instance with a context of its own, so that it can be stopped.
struct Instance
{
    Instance(const std::string &name, FakeStore &store, FakeEngines &engines,
             const fleet::ViewPtr &view, milliseconds leaseDuration = kLeaseDuration)
        : rollout(context, store, engines, log,
                  { .view = [view] { return view; },
                    .liveInstances =
                            [] {
                                return std::vector<std::string>{ "a", "b" };
                            },
                    .progress = [](const LoadTask &, LoadStage) {} },
                  { .instance = name,
                    .lease = { .duration = leaseDuration, .orderLifetime = milliseconds(20) },
                    .tickInterval = milliseconds(2),
                    .standbyDelay = milliseconds(60),
                    .statePollInterval = milliseconds(5),
                    .maxStateAge = milliseconds(10),
                    .retryDelay = milliseconds(5),
                    .leaseReadInterval = milliseconds(5),
                    .leaseIdleTimeout = milliseconds(60) })
    {
        rollout.start();
    }

    boost::asio::io_context context;
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    Rollout rollout;
};

struct Fixture
{
    Fixture()
    {
        std::vector<fleet::Target> targets;
        for (std::size_t i = 0; i < kEngines; ++i) {
            targets.push_back({ .id = "e" + std::to_string(i),
                                .pool = "p",
                                .startedAt = 1,
                                .weights = { { "m", 1 } } });
            engines.weights[targets.back().id] = 1;
        }
        const fleet::WeightsHistory history{ { "m", { { 3, {} } } } };
        view = std::make_shared<const fleet::View>(nullptr, targets, history, 1);
        a = std::make_unique<Instance>("a", store, engines, view);
        b = std::make_unique<Instance>("b", store, engines, view);
    }

    bool isDone() const
    {
        return std::ranges::all_of(engines.weights,
                                   [](const auto &entry) { return entry.second == 3; });
    }
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            for (Instance *each : { a.get(), b.get() }) {
                if (each != stopped)
                    each->context.run_for(milliseconds(1));
            }
        }
        return true;
    }
    void putLease(const std::string &holder, std::uint64_t fence)
    {
        store.put("leases", "weights",
                  leases::encodeLease({ .holder = holder,
                                        .fence = fence,
                                        .times = { .duration = kLeaseDuration } }));
    }
    std::optional<leases::LeaseRow> lease() const
    {
        std::error_code error;
        return leases::decodeLease(store.valueOf("leases", "weights"), error);
    }

    FakeStore store;
    FakeEngines engines;
    fleet::ViewPtr view;
    std::unique_ptr<Instance> a;
    std::unique_ptr<Instance> b;
    Instance *stopped = nullptr;
};

// A step of the protocol at which the store is restored.
struct Step
{
    std::string name;
    std::function<void(Fixture &, std::function<void()>)> install;
    bool isWrite = false;
};

std::vector<Step> makeSteps()
{
    const auto afterOrders = [](std::size_t count) {
        return [count](Fixture &f, const std::function<void()> &restore) {
            CPPUNIT_ASSERT(f.runUntil([&] { return f.engines.orders.size() >= count; }));
            restore();
        };
    };
    const auto whileHeld = [](std::function<void()> FakeStore::*callback) {
        return [callback](Fixture &f, const std::function<void()> &restore) {
            CPPUNIT_ASSERT(f.runUntil([&] { return !f.engines.orders.empty(); }));
            // The next call of the holder is a renewal.
            f.store.*callback = restore;
            CPPUNIT_ASSERT(f.runUntil([&] { return !(f.store.*callback); }));
        };
    };
    return {
        { "before the first read",
          [](Fixture &f, const std::function<void()> &restore) { f.store.beforeRead = restore; } },
        { "after the first read",
          [](Fixture &f, const std::function<void()> &restore) { f.store.onRead = restore; } },
        { "before the first write",
          [](Fixture &f, const std::function<void()> &restore) { f.store.beforeWrite = restore; },
          true },
        { "after the first write",
          [](Fixture &f, const std::function<void()> &restore) { f.store.onWrite = restore; },
          true },
        { "after the first order", afterOrders(1) },
        { "after some orders", afterOrders(5) },
        { "before a renewal", whileHeld(&FakeStore::beforeWrite), true },
        { "after a renewal", whileHeld(&FakeStore::onWrite), true },
    };
}

// The row of the lease in the restored copy.
struct Copy
{
    std::string name;
    std::string holder;
    bool hasRow;
};

const Copy kCopies[] = { { "no row", "", false },
                         { "released row", "", true },
                         { "row of a lost instance", "x", true },
                         { "row of a", "a", true },
                         { "row of b", "b", true } };

// Checks the orders to the engines if the store is restored at the step. With `losesHolder`, the
// holder stops then; with `losesReplies`, the writes after the restoration get no answer.
void check(const Step &step, const Copy &copy, bool losesHolder, bool losesReplies)
{
    const std::string name = step.name + ", " + copy.name + (losesHolder ? ", holder stops" : "")
                             + (losesReplies ? ", no answer" : "");
    Fixture f;
    if (copy.hasRow)
        f.putLease(copy.holder, 4);
    const FakeStore older = f.store;
    step.install(f, [&] {
        f.store.restore(older);
        f.store.dropsWriteReplies = losesReplies;
    });
    CPPUNIT_ASSERT_MESSAGE(name, f.runUntil([&] { return f.store.currentEra() == 1; }));
    f.runUntil([rounds = 0]() mutable { return ++rounds > 3; });
    f.store.dropsWriteReplies = false;
    if (losesHolder && !f.engines.orders.empty())
        f.stopped = f.engines.orders.back().holder == "a" ? f.a.get() : f.b.get();
    CPPUNIT_ASSERT_MESSAGE(name, f.runUntil([&] { return f.isDone(); }));
    CPPUNIT_ASSERT_MESSAGE(name, f.engines.areExclusive());
    // A holder that was stopped has no valid lease when it resumes.
    f.stopped = nullptr;
    f.runUntil([rounds = 0]() mutable { return ++rounds > 5; });
    CPPUNIT_ASSERT_MESSAGE(name, f.engines.areExclusive());
}

} // namespace

class RolloutErasTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutErasTest);
    CPPUNIT_TEST(leaseStaysExclusive);
    CPPUNIT_TEST(renewalThatHitsAnotherRowDoesNotCount);
    CPPUNIT_TEST(lostHolderKeepsItsTime);
    CPPUNIT_TEST(holderWritesItsLeaseAgain);
    CPPUNIT_TEST(fencesIncreaseAcrossEras);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two holders of the lease, and against a fencing token that was used before,
    // if the store is restored at any step of the protocol; and against a rollout that stops.
    void leaseStaysExclusive()
    {
        for (const Step &step : makeSteps()) {
            for (const Copy &copy : kCopies) {
                for (const bool losesHolder : { false, true }) {
                    for (const bool losesReplies : { false, true }) {
                        // One kind of fault at a time, and only restored rows that differ in it.
                        const bool isOwnRow = copy.holder == "a" || copy.holder == "b";
                        if ((losesHolder && losesReplies)
                            || (isOwnRow && (losesHolder || losesReplies))
                            || (losesReplies && !step.isWrite))
                            continue;
                        check(step, copy, losesHolder, losesReplies);
                    }
                }
            }
        }
    }

    // Guards against a holder that renews the row of another one, because that has by chance the
    // version that its own row had in the previous era.
    void renewalThatHitsAnotherRowDoesNotCount()
    {
        for (const bool isStoreLost : { false, true }) {
            Fixture f;
            f.stopped = f.b.get();
            f.engines.isFailing = true;
            f.putLease("", 4);
            const FakeStore older = f.store;
            std::chrono::steady_clock::time_point takenAt;
            f.store.onWrite = [&] { takenAt = std::chrono::steady_clock::now(); };
            CPPUNIT_ASSERT(f.runUntil([&] { return !f.engines.orders.empty(); }));
            const std::uint64_t fence = leases::minFence(1, older.currentVersion());
            f.store.beforeWrite = [&] {
                f.store.restore(older);
                f.putLease("x", fence);
                f.store.onWrite = [&] { f.store.isUnreachable = isStoreLost; };
            };
            CPPUNIT_ASSERT(f.runUntil([&] { return f.store.currentEra() == 1; }));
            if (isStoreLost) {
                // The lease is neither renewed nor taken again.
                CPPUNIT_ASSERT(f.runUntil([&] {
                    return std::chrono::steady_clock::now() - takenAt > 3 * kLeaseDuration;
                }));
                CPPUNIT_ASSERT(f.engines.orders.back().sentAt - takenAt <= kLeaseDuration);
                f.store.isUnreachable = false;
            }
            f.engines.isFailing = false;
            CPPUNIT_ASSERT(f.runUntil([&] { return f.isDone(); }));
            CPPUNIT_ASSERT(f.engines.areExclusive());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), f.store.currentEra());
            CPPUNIT_ASSERT(f.lease() && f.lease()->fence > fence);
        }
    }

    // Guards against a second holder: the store confirmed the lease to an instance and lost it, and
    // the write of another one, which read the row before, takes effect in the next era.
    void lostHolderKeepsItsTime()
    {
        for (const bool hasRow : { false, true }) {
            for (const bool isAnswered : { false, true }) {
                Fixture f;
                f.stopped = f.b.get();
                if (hasRow)
                    f.putLease("", 4);
                const FakeStore older = f.store;
                std::chrono::steady_clock::time_point lostAt;
                f.store.beforeWrite = [&] {
                    f.putLease("x", 5);
                    lostAt = std::chrono::steady_clock::now();
                    f.store.restore(older);
                    f.store.dropsWriteReplies = !isAnswered;
                    f.store.onWrite = [&] {
                        f.store.beforeRead = [&] { f.store.dropsWriteReplies = false; };
                    };
                };
                CPPUNIT_ASSERT(f.runUntil([&] { return f.isDone(); }));
                CPPUNIT_ASSERT(f.engines.orders.front().sentAt - lostAt >= kLeaseDuration);
                CPPUNIT_ASSERT(f.engines.orders.front().fence > 5);
            }
        }
    }

    // Guards against a rollout that pauses until the lease has expired, although its holder was not
    // lost.
    void holderWritesItsLeaseAgain()
    {
        constexpr milliseconds kLongLease{ 1000 };
        Fixture f;
        f.stopped = f.b.get();
        f.a = std::make_unique<Instance>("a", f.store, f.engines, f.view, kLongLease);
        f.engines.isFailing = true;
        const FakeStore older = f.store;
        CPPUNIT_ASSERT(f.runUntil([&] { return !f.engines.orders.empty(); }));
        f.store.restore(older);
        const auto restoredAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(f.runUntil([&] { return f.lease().has_value(); }));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - restoredAt < kLongLease * 9 / 10);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), f.lease()->holder);
        CPPUNIT_ASSERT(f.lease()->fence > leases::firstFence(1));
    }

    // Guards against a token below one that was issued before the store was restored, also if the
    // restored row has a lower one.
    void fencesIncreaseAcrossEras()
    {
        for (const std::uint64_t fence : { 0, 4, 1'000'000 }) {
            Fixture f;
            const FakeStore older = f.store;
            f.putLease("", fence);
            CPPUNIT_ASSERT(f.runUntil([&] { return !f.engines.orders.empty(); }));
            CPPUNIT_ASSERT_EQUAL(fence + 1, f.engines.orders.back().fence);
            std::uint64_t highest = fence + 1;
            for (int i = 0; i < 3; ++i) {
                f.store.restore(older);
                const std::size_t orders = f.engines.orders.size();
                for (auto &[id, version] : f.engines.weights)
                    version = 1;
                f.a = std::make_unique<Instance>("a", f.store, f.engines, f.view);
                f.b = std::make_unique<Instance>("b", f.store, f.engines, f.view);
                CPPUNIT_ASSERT(f.runUntil([&] { return f.engines.orders.size() > orders; }));
                CPPUNIT_ASSERT(f.engines.orders.back().fence > highest);
                highest = f.engines.orders.back().fence;
                CPPUNIT_ASSERT(f.runUntil([&] { return f.isDone(); }));
            }
            CPPUNIT_ASSERT(f.engines.areExclusive());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutErasTest);

} // namespace chervilfield::entry

#include "leases/lease.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <utility>

namespace chervilfield::leases {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

template<class T>
T drawInRange(T low, T high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(low, high));
}

constexpr ClockBounds kClocks{ .maxRateError = 0.05, .maxWallOffset = milliseconds(200) };

struct Write
{
    LeaseRow row;
    std::uint64_t ifVersion = 0;
    SteadyTime sentAt;
    WallTime sentAtWall;
    std::optional<bool> applied; ///< Absent until the write reaches the store.
    std::uint64_t newVersion = 0;
};

/// Instance is a process that competes for the lease. Its clock errors are within the bounds.
struct Instance
{
    std::string life;
    double rate = 1.0;
    milliseconds wallError{ 0 };
    std::optional<Observation> observation;
    std::optional<LeaseRow> seen; ///< Row as last read.
    std::optional<Write> write;   ///< Write in flight.
    std::optional<HeldLease> heldLease;
};

struct Order
{
    OrderGuard guard;
    std::uint64_t leaseToken = 0; ///< Fencing token of the lease that authorized the order.
};

/// LeaseSimulation models one engine or slot, the row of its lease, and instances that are paused
/// at any point.
class LeaseSimulation
{
public:
    LeaseSimulation(FencingMode mode, milliseconds effectDuration) : mode_(mode)
    {
        times_ = { .duration = milliseconds(1000),
                   .orderLifetime = milliseconds(300),
                   .effectDuration = effectDuration };
        for (int i = 0; i < 3; ++i) {
            Instance &instance = instances_.emplace_back();
            instance.life = std::to_string(i);
            instance.rate = 1.0 + drawInRange(-50, 51) / 1000.0;
            instance.wallError = milliseconds(drawInRange(-100, 101));
        }
        engineWallError_ = milliseconds(drawInRange(-100, 101));
    }

    void step()
    {
        now_ += milliseconds(drawInRange(0, 40) == 0 ? drawInRange(0, 4000) : drawInRange(0, 100));
        Instance &instance = instances_[drawInRange<std::size_t>(0, instances_.size())];
        const int choice = drawInRange(0, 6);
        if (choice == 0)
            deliverOrder();
        else if (instance.write)
            instance.write->applied ? endWrite(instance) : applyWrite(instance);
        else if (!instance.heldLease && choice < 4)
            read(instance);
        else if (!instance.heldLease || choice == 1)
            startWrite(instance);
        else if (choice == 2)
            release(instance);
        else
            authorizeOrder(instance);
    }

    int takeovers() const { return takeovers_; }

private:
    SteadyTime steady(const Instance &instance) const
    {
        const auto ticks = static_cast<double>(microseconds(now_).count()) * instance.rate;
        return SteadyTime(microseconds(static_cast<std::int64_t>(ticks)));
    }
    WallTime wall(milliseconds error) const { return WallTime(now_ + error); }

    void read(Instance &instance)
    {
        instance.seen = row_;
        instance.observation = observe(instance.observation, version_, steady(instance));
    }

    void startWrite(Instance &instance)
    {
        if (instance.write || !instance.observation)
            return;
        const SteadyTime now = steady(instance);
        std::optional<LeaseRow> row;
        std::uint64_t ifVersion = instance.observation->version;
        if (instance.heldLease) {
            row = instance.heldLease->row;
            ifVersion = instance.heldLease->version;
        } else if (!instance.seen
                   || canTake(*instance.seen, *instance.observation, mode_, kClocks, now)) {
            row = takenRow(instance.seen, { instance.life, "e", times_ });
        }
        if (row)
            instance.write = Write{ *row, ifVersion, now, wall(instance.wallError), {}, 0 };
    }

    void applyWrite(Instance &instance)
    {
        if (!instance.write || instance.write->applied)
            return;
        Write &write = *instance.write;
        write.applied = write.ifVersion == version_;
        if (!*write.applied)
            return;
        row_ = write.row;
        write.newVersion = ++version_;
    }

    void endWrite(Instance &instance)
    {
        if (!instance.write || !instance.write->applied)
            return;
        const Write write = *std::exchange(instance.write, std::nullopt);
        if (!*write.applied) {
            instance.heldLease.reset();
        } else if (instance.heldLease) {
            recordRenewal(*instance.heldLease, write.newVersion, write.sentAt, write.sentAtWall);
        } else {
            instance.heldLease =
                    HeldLease{ write.row, write.newVersion, write.sentAt, write.sentAtWall, {} };
        }
    }

    void authorizeOrder(Instance &instance)
    {
        if (!instance.heldLease)
            return;
        const auto guard =
                authorize(*instance.heldLease, kClocks, steady(instance), wall(instance.wallError));
        if (guard)
            orders_.push_back({ *guard, instance.heldLease->row.fence });
    }

    /// Releases the lease at once, unless an order of the holder may still be applied.
    void release(Instance &instance)
    {
        if (!instance.heldLease || instance.write)
            return;
        const auto row = releasedRow(*instance.heldLease, steady(instance));
        if (!row || instance.heldLease->version != version_)
            return;
        row_ = *row;
        ++version_;
        instance.heldLease.reset();
    }

    /// Delivers an order after an arbitrary delay: its sender or the network may have been paused.
    void deliverOrder()
    {
        if (orders_.empty())
            return;
        const std::size_t i = drawInRange<std::size_t>(0, orders_.size());
        const Order order = orders_[i];
        orders_.erase(orders_.begin() + static_cast<std::ptrdiff_t>(i));
        if (wall(engineWallError_) >= order.guard.expires)
            return;
        if (mode_ == FencingMode::Enforced && order.guard.fence < highestToken_)
            return;
        RC_ASSERT(order.leaseToken >= highestToken_);
        if (order.leaseToken > highestToken_) {
            RC_ASSERT(now_ >= effectEnds_);
            ++takeovers_;
        }
        highestToken_ = order.leaseToken;
        effectEnds_ = now_ + times_.effectDuration;
    }

    FencingMode mode_;
    LeaseTimes times_;
    milliseconds now_{ 10'000 };
    milliseconds engineWallError_{ 0 };
    std::vector<Instance> instances_;
    std::optional<LeaseRow> row_;
    std::uint64_t version_ = 0;
    std::vector<Order> orders_;
    std::uint64_t highestToken_ = 0;
    milliseconds effectEnds_{ 0 };
    int takeovers_ = 0;
};

HeldLease makeHeldLease(const LeaseTimes &times)
{
    return { .row = { "a", 7, times, "e" },
             .version = 3,
             .sentAt = SteadyTime(milliseconds(1000)),
             .sentAtWall = WallTime(milliseconds(5000)),
             .busyUntil = {} };
}

} // namespace

class LeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseTest);
    CPPUNIT_TEST(oldHolderNeverActsAfterNewOne);
    CPPUNIT_TEST(waitCoversTheLatestOrder);
    CPPUNIT_TEST(guardIsBoundedByTheLease);
    CPPUNIT_TEST(renewalRestartsObservation);
    CPPUNIT_TEST(rowsSurviveEncoding);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that no order of an old holder is applied after one of its successor. Guards against an
    // order of a holder that was paused past its lease: on engines that check the fencing token, on
    // engines that ignore it, and on slots, whose orders have a lasting effect.
    void oldHolderNeverActsAfterNewOne()
    {
        struct Row
        {
            std::string name;
            FencingMode mode;
            milliseconds effectDuration;
        };
        const Row rows[] = {
            { "engine that checks the fencing token", FencingMode::Enforced, milliseconds(0) },
            { "engine that ignores the fencing token", FencingMode::Ignored, milliseconds(0) },
            { "load slot", FencingMode::Ignored, milliseconds(700) },
        };
        for (const Row &row : rows) {
            int takeovers = 0;
            const bool holds = rc::check(row.name, [&row, &takeovers] {
                constexpr int kSimulations = 10;
                constexpr int kSteps = 500;
                for (int i = 0; i < kSimulations; ++i) {
                    LeaseSimulation simulation(row.mode, row.effectDuration);
                    for (int step = 0; step < kSteps; ++step)
                        simulation.step();
                    takeovers += std::max(0, simulation.takeovers() - 1);
                }
            });
            CPPUNIT_ASSERT_MESSAGE(row.name, holds);
            constexpr int kMinTakeovers = 1000;
            CPPUNIT_ASSERT_MESSAGE(row.name + ": too few takeovers " + std::to_string(takeovers),
                                   takeovers > kMinTakeovers);
        }
    }

    // Tests the time after which a row may be taken over. Guards against a takeover while an order
    // of the old holder can still be applied.
    void waitCoversTheLatestOrder()
    {
        struct Row
        {
            FencingMode mode;
            milliseconds effectDuration;
            milliseconds wait;
        };
        const Row rows[] = {
            { FencingMode::Enforced, milliseconds(0), milliseconds(3030) },
            { FencingMode::Ignored, milliseconds(0), milliseconds(4293) },
            { FencingMode::Ignored, milliseconds(2000), milliseconds(6313) },
            { FencingMode::Enforced, milliseconds(2000), milliseconds(6313) },
        };
        for (const Row &row : rows) {
            const LeaseRow lease{ "a", 1, { .effectDuration = row.effectDuration }, "e" };
            CPPUNIT_ASSERT_EQUAL(row.wait.count(), takeoverWait(lease, row.mode, {}).count());
            const Observation seen{ 1, SteadyTime() };
            const SteadyTime due = SteadyTime() + row.wait;
            CPPUNIT_ASSERT(!canTake(lease, seen, row.mode, {}, due - milliseconds(1)));
            CPPUNIT_ASSERT(canTake(lease, seen, row.mode, {}, due));
        }
    }

    // Tests that the lease bounds the expiry of an order and that a release waits for the orders.
    // Guards against an order that outlives the wait of the next holder because its sender was
    // paused between checking the lease and sending the order, or because its wall clock jumped.
    void guardIsBoundedByTheLease()
    {
        HeldLease heldLease = makeHeldLease({});
        const SteadyTime end = validUntil(heldLease, {});
        CPPUNIT_ASSERT(end == SteadyTime(milliseconds(3970)));
        const WallTime wall(milliseconds(6000));
        CPPUNIT_ASSERT(!authorize(heldLease, {}, end, wall));
        CPPUNIT_ASSERT(releasedRow(heldLease, end));
        const auto guard = authorize(heldLease, {}, end - milliseconds(1), wall);
        CPPUNIT_ASSERT(guard && guard->fence == 7);
        CPPUNIT_ASSERT(guard->expires == WallTime(milliseconds(7000)));
        CPPUNIT_ASSERT(authorize(heldLease, {}, end - milliseconds(1), WallTime::max())->expires
                       == WallTime(milliseconds(9000)));
        CPPUNIT_ASSERT(!releasedRow(heldLease, end));
        recordOrdersSettled(heldLease);
        CPPUNIT_ASSERT(releasedRow(heldLease, end)->holder.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), takenRow(heldLease.row, { "b", "e", {} }).fence);
    }

    // Tests that only a newer version of the row restarts the observation. Guards against a
    // takeover from a holder that renews its lease, and against stale reads.
    void renewalRestartsObservation()
    {
        const SteadyTime later(milliseconds(500));
        const Observation first = observe(std::nullopt, 4, SteadyTime());
        CPPUNIT_ASSERT(observe(first, 4, later).firstSeen == SteadyTime());
        CPPUNIT_ASSERT(observe(first, 5, later).firstSeen == later);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), observe(first, 3, later).version);
    }

    // Tests that a row survives encoding, that invalid text is refused, and that keys are escaped.
    // Guards against a holder that is lost between write and read, and against an engine that
    // shares the row of a slot.
    void rowsSurviveEncoding()
    {
        std::error_code error;
        const LeaseRow row = makeHeldLease({ .effectDuration = milliseconds(5) }).row;
        CPPUNIT_ASSERT(decodeLease(encodeLease(row), error) == row);
        for (const std::string text : { "", "{}", "{\"holder\":1}" }) {
            CPPUNIT_ASSERT(!decodeLease(text, error));
            CPPUNIT_ASSERT(error);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("leases/load-slots%2F0"), leaseKey("load-slots/0"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);

} // namespace chervilfield::leases

#include "../src/request_memory.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

namespace chervilfield::net::detail {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RequestMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestMemoryTest);
    CPPUNIT_TEST(smallRequestsFitBesideLargeOnes);
    CPPUNIT_TEST(costliestHolderIsClosedFirst);
    CPPUNIT_TEST(capacityIsNeverExceeded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against large requests that leave no memory for small ones.
    void smallRequestsFitBesideLargeOnes()
    {
        RequestMemory memory(1000, 10);
        const RequestMemory::Time now{};
        RequestLease large(memory, {});
        RequestLease next(memory, {});
        RequestLease small(memory, {});
        CPPUNIT_ASSERT(large.resize(750, now));
        CPPUNIT_ASSERT(!next.resize(11, now));
        CPPUNIT_ASSERT(small.resize(10, now));
        CPPUNIT_ASSERT(large.resize(0, now));
        CPPUNIT_ASSERT(next.resize(700, now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(710), memory.usedBytes());
    }

    // Tests which of two holders is closed for a third one that lacks memory. Guards against the
    // end of requests that are being served or that make progress, while stalled ones stay.
    void costliestHolderIsClosedFirst()
    {
        struct Holder
        {
            std::size_t bytes;
            HolderState state;
            milliseconds age;
        };
        struct Row
        {
            std::string name;
            Holder first;
            Holder second;
            std::string closed;
        };
        using enum HolderState;
        const Row rows[] = {
            { "larger", { 400, Receiving, seconds(2) }, { 300, Receiving, seconds(2) }, "first" },
            { "older", { 350, Receiving, seconds(2) }, { 350, Receiving, seconds(5) }, "second" },
            { "served", { 600, Serving, seconds(9) }, { 100, Receiving, seconds(2) }, "second" },
            { "all served", { 600, Serving, seconds(9) }, { 100, Serving, seconds(9) }, "" },
            { "idle", { 300, Idle, seconds(9) }, { 400, Receiving, seconds(2) }, "first" },
            { "young", { 700, Receiving, milliseconds(900) }, { 40, Idle, seconds(2) }, "second" },
            { "all young", { 700, Receiving, milliseconds(9) }, { 40, Idle, seconds(0) }, "" },
        };
        for (const Row &row : rows) {
            RequestMemory memory(1000, 1);
            const RequestMemory::Time now = RequestMemory::Time{} + seconds(100);
            std::string closed;
            RequestLease first(memory, [&] { closed += "first"; });
            RequestLease second(memory, [&] { closed += "second"; });
            first.resize(row.first.bytes, now);
            second.resize(row.second.bytes, now);
            first.setState(row.first.state, now - row.first.age);
            second.setState(row.second.state, now - row.second.age);
            RequestLease requester(memory, [&] { closed += "requester"; });
            requester.setState(Receiving, now);
            CPPUNIT_ASSERT_MESSAGE(row.name, !requester.resize(60, now));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.closed, closed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, closed == "first", first.isReclaimed());
        }
    }

    // Guards against an error of the sum, after which the process exceeds its memory or refuses
    // everything.
    void capacityIsNeverExceeded()
    {
        const bool holds = rc::check("the sum of all leases fits", [] {
            constexpr std::size_t kCapacity = 1000;
            RequestMemory memory(kCapacity, 50);
            RequestMemory::Time now{};
            std::vector<std::unique_ptr<RequestLease>> leases;
            std::vector<std::size_t> sizes;
            const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
                    rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange<std::size_t>(0, 1200)));
            for (const auto &[choice, size] : steps) {
                now += milliseconds(300);
                if (choice == 0 || leases.empty()) {
                    leases.push_back(std::make_unique<RequestLease>(memory, [] {}));
                    sizes.push_back(0);
                }
                const std::size_t index = size % leases.size();
                if (choice == 1) {
                    leases.erase(leases.begin() + static_cast<std::ptrdiff_t>(index));
                    sizes.erase(sizes.begin() + static_cast<std::ptrdiff_t>(index));
                } else if (leases[index]->resize(size, now)) {
                    sizes[index] = size;
                }
                std::size_t sum = 0;
                for (const std::size_t entry : sizes)
                    sum += entry;
                RC_ASSERT(memory.usedBytes() == sum);
                RC_ASSERT(sum <= kCapacity);
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestMemoryTest);

} // namespace chervilfield::net::detail

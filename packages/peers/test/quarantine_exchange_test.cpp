#include "peers/quarantine_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <random>

namespace chervilfield::peers {

using membership::Member;
using membership::MemberState;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{ 50 };
const QuarantineExchange::Clock::time_point kStart{ std::chrono::hours(1) };

std::vector<Member> makeMembers(std::size_t count)
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < count; ++i)
        members.push_back({ .name = "e" + std::to_string(i), .peerAddress = std::to_string(i) });
    return members;
}

quarantine::CrashReport makeReport(std::size_t requests, std::size_t partsPerRequest)
{
    quarantine::CrashReport report{ .run = { "engine", 7 }, .suspects = {} };
    for (std::size_t i = 0; i < requests; ++i)
        report.suspects.push_back({ i, std::vector<quarantine::PartKey>(partsPerRequest, ~i) });
    return report;
}

// Records what one exchange sends.
struct Recorder
{
    std::vector<std::pair<std::string, Datagram>> sent;
    double bytes = 0;

    QuarantineExchange::Send sender()
    {
        return [this](const std::string &to, const Datagram &datagram) {
            const auto encoded = encode(datagram);
            CPPUNIT_ASSERT(encoded && decode(*encoded));
            bytes += static_cast<double>(encoded->size()) + 28;
            sent.emplace_back(to, datagram);
        };
    }

    template<typename T>
    std::map<std::string, int> countByReceiver() const
    {
        std::map<std::string, int> counts;
        for (const auto &[to, datagram] : sent)
            counts[to] += std::holds_alternative<T>(datagram) ? 1 : 0;
        std::erase_if(counts, [](const auto &entry) { return entry.second == 0; });
        return counts;
    }
};

// A deployment in which every instance but the first one has a quarantine, and in which datagrams
// arrive at once or are lost.
class Deployment
{
public:
    Deployment(std::size_t count, double loss, int requestCount, std::uint64_t seed)
        : members_(makeMembers(count)), loss_(loss), random_(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            exchanges_.push_back(std::make_unique<QuarantineExchange>(
                    members_[i].name,
                    [this, i](const std::string &to, const auto &datagram) {
                        deliver(i, std::stoul(to), datagram);
                    },
                    random_(),
                    QuarantineExchangeOptions{ .requestCount = i == 0 ? requestCount : 0 }));
        }
    }

    // Returns the time until the first instance knows the quarantine.
    std::optional<milliseconds> timeToLearn(milliseconds limit)
    {
        // The instances started at different times.
        std::vector<milliseconds> offsets;
        for (std::size_t i = 0; i < exchanges_.size(); ++i)
            offsets.push_back(kTick * static_cast<int>(random_() % 20));
        for (milliseconds elapsed{ -1000 }; elapsed <= limit; elapsed += kTick) {
            isConnected_ = elapsed.count() >= 0;
            for (std::size_t i = 0; i < exchanges_.size(); ++i) {
                if (i == 0 && !isConnected_)
                    continue;
                if (elapsed >= offsets[i] - milliseconds(1000))
                    exchanges_[i]->tick(members_, known(i), kStart + elapsed);
            }
            if (hasLearned_)
                return elapsed;
        }
        return std::nullopt;
    }

private:
    static std::vector<SharedQuarantine> known(std::size_t instance)
    {
        if (instance == 0)
            return {};
        return { { { 42, std::chrono::minutes(9) }, false } };
    }

    void deliver(std::size_t from, std::size_t to, const Datagram &datagram)
    {
        const bool isLost = std::uniform_real_distribution<>(0, 1)(random_) < loss_;
        if (isLost || (!isConnected_ && (from == 0 || to == 0)))
            return;
        const auto &message = std::get<QuarantinedParts>(datagram);
        if (to == 0 && !message.parts.empty())
            hasLearned_ = true;
        exchanges_[to]->receive(std::to_string(from), message, kStart);
    }

    std::vector<Member> members_;
    double loss_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<QuarantineExchange>> exchanges_;
    bool isConnected_ = false;
    bool hasLearned_ = false;
};

} // namespace

class QuarantineExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineExchangeTest);
    CPPUNIT_TEST(announcementsReachAllLiveMembersTwice);
    CPPUNIT_TEST(largeReportsAreSplit);
    CPPUNIT_TEST(innocentPartsAreSentOnceAndTogether);
    CPPUNIT_TEST(evidenceStaysWithinBandwidth);
    CPPUNIT_TEST(instancesLearnQuarantinesInTime);
    CPPUNIT_TEST(nothingIsPushedWithoutQuarantines);
    CPPUNIT_TEST(memberWithLiftedQuarantineIsCorrected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that crash reports and new quarantines go to every member that is not dead, at once and
    // again after a pause. Guards against an instance that misses a quarantine with one datagram.
    void announcementsReachAllLiveMembersTwice()
    {
        auto members = makeMembers(5);
        members[1].state = MemberState::Suspect;
        members[2].state = MemberState::Leaving;
        members[3].state = MemberState::Dead;
        Recorder recorder;
        QuarantineExchange exchange("e0", recorder.sender(), 1, { .requestCount = 0 });
        exchange.announceCrash(members, makeReport(2, 2), kStart);
        exchange.announceQuarantines(members, { { { 1, milliseconds(9) }, false } }, kStart);
        using Counts = std::map<std::string, int>;
        const Counts once{ { "1", 1 }, { "2", 1 }, { "4", 1 } };
        const Counts twice{ { "1", 2 }, { "2", 2 }, { "4", 2 } };
        CPPUNIT_ASSERT(recorder.countByReceiver<quarantine::CrashReport>() == once);
        CPPUNIT_ASSERT(recorder.countByReceiver<QuarantinedParts>() == once);
        for (milliseconds elapsed{ 0 }; elapsed < milliseconds(900); elapsed += kTick)
            exchange.tick(members, {}, kStart + elapsed);
        CPPUNIT_ASSERT(recorder.countByReceiver<quarantine::CrashReport>() == twice);
        CPPUNIT_ASSERT(recorder.countByReceiver<QuarantinedParts>() == twice);
    }

    // Tests that a report of any size is sent in valid datagrams that hold every request. Guards
    // against reports that are lost because they exceed a datagram.
    void largeReportsAreSplit()
    {
        struct Row
        {
            std::string name;
            std::size_t requests;
            std::size_t partsPerRequest;
            std::size_t datagrams;
            std::size_t sentPartsPerRequest;
        };
        const Row rows[] = {
            { "no request", 0, 0, 1, 0 },
            { "one datagram", kMaxSuspectRequests, 2, 1, 2 },
            { "many requests", kMaxSuspectRequests + 1, 1, 2, 1 },
            { "many parts", 3, kMaxSuspectParts / 2, 2, kMaxSuspectParts / 2 },
            { "requests without parts", 100, 0, 5, 0 },
            { "request with too many parts", 2, kMaxSuspectParts + 9, 2, kMaxSuspectParts },
        };
        for (const Row &row : rows) {
            Recorder recorder;
            QuarantineExchange exchange("e0", recorder.sender(), 1);
            exchange.announceCrash(makeMembers(2), makeReport(row.requests, row.partsPerRequest),
                                   kStart);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.datagrams, recorder.sent.size());
            std::vector<quarantine::SuspectRequest> suspects;
            for (const auto &[to, datagram] : recorder.sent) {
                const auto &report = std::get<quarantine::CrashReport>(datagram);
                suspects.insert(suspects.end(), report.suspects.begin(), report.suspects.end());
            }
            const auto expected = makeReport(row.requests, row.sentPartsPerRequest).suspects;
            CPPUNIT_ASSERT_MESSAGE(row.name, suspects == expected);
        }
    }

    // Tests that innocent parts are collected until the next tick and that each is sent once.
    // Guards against one datagram per request at a busy instance.
    void innocentPartsAreSentOnceAndTogether()
    {
        Recorder recorder;
        QuarantineExchange exchange("e0", recorder.sender(), 1, { .requestCount = 0 });
        const auto members = makeMembers(2);
        std::vector<quarantine::PartKey> parts(kMaxInnocentParts + 20);
        for (std::size_t i = 0; i < parts.size(); ++i)
            parts[i] = i;
        exchange.addInnocent(parts, kStart);
        exchange.addInnocent(parts, kStart);
        for (int tick = 0; tick < 4; ++tick)
            exchange.tick(members, {}, kStart + tick * kTick);
        std::set<quarantine::PartKey> received;
        for (const auto &[to, datagram] : recorder.sent) {
            for (const auto part : std::get<InnocentParts>(datagram).parts)
                CPPUNIT_ASSERT(received.insert(part).second);
        }
        CPPUNIT_ASSERT_EQUAL(parts.size(), received.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), recorder.sent.size());
    }

    // Tests that evidence stays within the bandwidth limit and that quarantines are sent even when
    // the limit is used up. Guards against floods when many engines crash at once.
    void evidenceStaysWithinBandwidth()
    {
        constexpr int kSeconds = 10;
        for (const std::size_t count : { 2U, 74U, 360U }) {
            Recorder recorder;
            QuarantineExchange exchange("e0", recorder.sender(), 1);
            const auto members = makeMembers(count);
            for (int tick = 0; tick < kSeconds * 20; ++tick) {
                const auto now = kStart + tick * kTick;
                exchange.announceCrash(members, makeReport(20, 3), now);
                const std::vector<quarantine::PartKey> innocent(
                        100, static_cast<quarantine::PartKey>(tick));
                exchange.addInnocent(innocent, now);
                exchange.tick(members, {}, now);
            }
            const QuarantineExchangeOptions options;
            // The requests at the start are not evidence.
            const double requestBytes = 9 * 50;
            CPPUNIT_ASSERT(recorder.bytes <= options.maxBurstBytes + requestBytes
                                                     + options.maxBytesPerSecond * kSeconds);
            recorder.sent.clear();
            exchange.announceQuarantines(members, { { { 1, milliseconds(9) }, false } },
                                         kStart + std::chrono::seconds(kSeconds));
            CPPUNIT_ASSERT_EQUAL(count - 1, recorder.sent.size());
        }
    }

    // Tests how soon an instance that has started, or was cut off and asks nobody, knows the
    // quarantines of the others. Guards against an instance that sends quarantined parts to engines
    // long after the others have stopped.
    void instancesLearnQuarantinesInTime()
    {
        struct Row
        {
            std::string name;
            std::size_t count;
            double loss;
            int requestCount;
            milliseconds limit;
            int minInTime; ///< Of 100 trials.
        };
        const Row rows[] = {
            { "started, two instances", 2, 0, 3, milliseconds(0), 100 },
            { "started, 74 instances", 74, 0, 3, milliseconds(0), 100 },
            { "started, datagrams lost", 74, 0.2, 3, milliseconds(1000), 99 },
            { "was cut off, seven instances", 7, 0, 0, milliseconds(2000), 98 },
            { "was cut off, 74 instances", 74, 0, 0, milliseconds(2000), 98 },
            { "was cut off, datagrams lost", 74, 0.2, 0, milliseconds(3000), 98 },
        };
        for (const Row &row : rows) {
            int inTime = 0;
            for (std::uint64_t seed = 0; seed < 100; ++seed) {
                Deployment deployment(row.count, row.loss, row.requestCount, seed);
                inTime += deployment.timeToLearn(row.limit) ? 1 : 0;
            }
            CPPUNIT_ASSERT_MESSAGE(row.name + ": " + std::to_string(inTime),
                                   inTime >= row.minInTime);
        }
    }

    // Tests that an instance without quarantines sends only its requests at the start, and answers
    // no request. Guards against traffic and loops of requests while there is nothing to share.
    void nothingIsPushedWithoutQuarantines()
    {
        Recorder recorder;
        QuarantineExchange exchange("e0", recorder.sender(), 1);
        for (int tick = 0; tick < 200; ++tick) {
            // The other members become known after a second.
            exchange.tick(makeMembers(tick < 20 ? 1 : 8), {}, kStart + tick * kTick);
            exchange.receive("1", {}, kStart + tick * kTick);
            const bool isFirstRequestDue = tick >= 20;
            CPPUNIT_ASSERT_EQUAL(isFirstRequestDue, !recorder.sent.empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(9), recorder.sent.size());
    }

    // Tests which pushed quarantines are answered with the fact that the part is innocent. Guards
    // against a lifted quarantine that spreads again from a member that missed its end.
    void memberWithLiftedQuarantineIsCorrected()
    {
        struct Row
        {
            std::string name;
            bool isOwnFinding;
            quarantine::PartKey pushedPart;
            milliseconds elapsed;
            bool isCorrected;
        };
        const QuarantineExchangeOptions options;
        const Row rows[] = {
            { "own finding", true, 5, milliseconds(100), true },
            { "finding of another member", false, 5, milliseconds(100), true },
            { "other part", true, 6, milliseconds(100), false },
            { "shortly before its end", false, 5, options.innocentLifetime - kTick, true },
            { "too old", false, 5, options.innocentLifetime, false },
        };
        for (const Row &row : rows) {
            Recorder recorder;
            QuarantineExchange exchange("e0", recorder.sender(), 1, { .requestCount = 0 });
            const std::vector<quarantine::PartKey> parts{ 5 };
            if (row.isOwnFinding)
                exchange.addInnocent(parts, kStart);
            else
                exchange.receive(InnocentParts{ parts }, kStart);
            const QuarantinedParts pushed{ { { { row.pushedPart, milliseconds(9) }, false } } };
            exchange.receive("1", pushed, kStart + row.elapsed);
            const bool isCorrected = recorder.sent.size() == 1 && recorder.sent[0].first == "1"
                                     && recorder.sent[0].second == Datagram(InnocentParts{ parts });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isCorrected, isCorrected);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isCorrected, !recorder.sent.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineExchangeTest);

} // namespace chervilfield::peers

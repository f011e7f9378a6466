#include "streams/relay.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chervilfield::streams {

namespace {

constexpr std::size_t kNoLimit = 1'000'000;

template<class T>
T draw(T low, T high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(low, high));
}

std::string tokenAt(std::uint64_t offset)
{
    return "t" + std::to_string(offset) + std::string(offset % 7, '.');
}

/// A caller that reads one answer through a relay from engines behind a faulty network.
struct Session
{
    std::uint64_t length = draw<std::uint64_t>(0, 40);
    std::uint64_t first = draw<std::uint64_t>(0, length + 1);
    Relay relay{ first, { .maxBufferedBytes = 60, .maxBufferedTokens = draw<std::size_t>(1, 12) } };
    std::vector<bool> ended; ///< Per attempt: cancelled, replaced, failed or finished.
    std::vector<Token> delivered;
    bool terminated = false;

    void start()
    {
        ended.push_back(false);
        relay.startAttempt("e", std::to_string(ended.size()));
    }

    /// An attempt reports a random token: tokens may be lost, repeated and out of order. An ended
    /// attempt reports wrong text, which must not reach the caller.
    void report(std::size_t attempt)
    {
        const std::uint64_t offset = draw<std::uint64_t>(0, length + 1);
        if (offset < length) {
            relay.accept(attempt, offset, ended[attempt] ? "wrong" : tokenAt(offset));
        } else if (!ended[attempt]) {
            relay.finish(attempt, length);
            ended[attempt] = true;
        } else {
            relay.finish(attempt, draw<std::uint64_t>(0, length + 5));
        }
    }

    void deliver()
    {
        for (const Token &token : relay.take(draw<std::size_t>(0, 30)))
            delivered.push_back(token);
        if (relay.claimTerminator()) {
            RC_ASSERT(!terminated);
            terminated = true;
        }
    }

    void step()
    {
        const std::size_t attempt = draw<std::size_t>(0, ended.size());
        switch (draw(0, 12)) {
        case 0:
            start();
            break;
        case 1:
            ended[attempt] = true;
            relay.end(attempt);
            break;
        case 2:
            ended.assign(ended.size(), true);
            ended[attempt] = false;
            relay.endOthers(attempt);
            ended[attempt] = !relay.attempt(attempt).active;
            break;
        case 3:
            deliver();
            break;
        default:
            report(attempt);
        }
    }

    /// A last attempt produces everything from the resume point.
    void complete()
    {
        start();
        const std::size_t attempt = ended.size() - 1;
        for (std::uint64_t offset = relay.resumeFrom(); offset < length; ++offset) {
            while (relay.accept(attempt, offset, tokenAt(offset)) == AcceptResult::Full)
                deliver();
        }
        relay.finish(attempt, length);
        while (!terminated && relay.isComplete())
            deliver();
    }

    void check() const
    {
        std::uint64_t next = first;
        for (const Token &token : delivered) {
            RC_ASSERT(token.offset == next);
            RC_ASSERT(token.text == tokenAt(next));
            ++next;
        }
        RC_ASSERT(!terminated || next == length);
    }
};

void runSession()
{
    Session session;
    session.start();
    const int steps = draw(0, 100);
    for (int i = 0; i < steps; ++i) {
        session.step();
        RC_ASSERT(session.relay.bufferedBytes() <= 60U + tokenAt(6).size());
    }
    session.check();
    session.complete();
    session.check();
    RC_ASSERT(session.terminated);
    RC_ASSERT(session.delivered.size() == session.length - session.first);
}

} // namespace

class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(callerReceivesTheAnswer);
    CPPUNIT_TEST(bufferIsBounded);
    CPPUNIT_TEST(contradictionsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream with a gap, a repetition or text of a replaced attempt, and against a
    // terminator that is missing, doubled or too early.
    void callerReceivesTheAnswer()
    {
        const bool holds = rc::check("delivered is a prefix, terminated if and only if whole", [] {
            constexpr int kSessions = 100;
            for (int i = 0; i < kSessions; ++i)
                runSession();
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against memory that grows with a slow caller, and against a full buffer that blocks
    // the token the caller waits for.
    void bufferIsBounded()
    {
        Relay relay(0, { .maxBufferedBytes = 4, .maxBufferedTokens = 10 });
        const std::size_t attempt = relay.startAttempt("e", "1");
        CPPUNIT_ASSERT(relay.accept(attempt, 1, "bbbb") == AcceptResult::Accepted);
        CPPUNIT_ASSERT(relay.accept(attempt, 2, "c") == AcceptResult::Full);
        CPPUNIT_ASSERT(relay.take(kNoLimit).empty());
        CPPUNIT_ASSERT(relay.accept(attempt, 0, "a") == AcceptResult::Accepted);
        CPPUNIT_ASSERT(relay.accept(attempt, 2, "c") == AcceptResult::Full);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), relay.take(1).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), relay.take(1).size());
        CPPUNIT_ASSERT(relay.accept(attempt, 2, "c") == AcceptResult::Accepted);
    }

    // Guards against ending a stream at a length that an engine misreported.
    void contradictionsAreRejected()
    {
        Relay relay(2);
        const std::size_t first = relay.startAttempt("e", "1");
        const std::size_t second = relay.startAttempt("f", "1");
        const std::size_t third = relay.startAttempt("g", "1");
        CPPUNIT_ASSERT(relay.finish(first, 1) == AcceptResult::Diverged);
        CPPUNIT_ASSERT(relay.accept(second, 4, "e") == AcceptResult::Accepted);
        CPPUNIT_ASSERT(relay.finish(second, 4) == AcceptResult::Diverged);
        CPPUNIT_ASSERT(relay.finish(third, 5) == AcceptResult::Accepted);
        const std::size_t fourth = relay.startAttempt("h", "1");
        CPPUNIT_ASSERT(relay.accept(fourth, 5, "f") == AcceptResult::Diverged);
        CPPUNIT_ASSERT(!relay.hasActiveAttempt());
        CPPUNIT_ASSERT(!relay.claimTerminator());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace chervilfield::streams

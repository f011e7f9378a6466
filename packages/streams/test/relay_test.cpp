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

/// A caller that reads one answer through a assembler from engines behind a faulty network.
struct Session
{
    std::uint64_t length = draw<std::uint64_t>(0, 40);
    std::uint64_t first = draw<std::uint64_t>(0, length + 1);
    StreamAssembler assembler{
        first, { .maxBufferedBytes = 60, .maxBufferedTokens = draw<std::size_t>(1, 12) }
    };
    std::vector<bool> ended; ///< Per attempt: cancelled, replaced, failed or finished.
    std::vector<Token> delivered;
    bool terminated = false;

    void start()
    {
        ended.push_back(false);
        assembler.startAttempt("e", std::to_string(ended.size()));
    }

    /// An attempt reports a random token: tokens may be lost, repeated and out of order. An ended
    /// attempt reports wrong text, which must not reach the caller.
    void report(std::size_t attempt)
    {
        const std::uint64_t offset = draw<std::uint64_t>(0, length + 1);
        if (offset < length) {
            assembler.accept(attempt, offset, ended[attempt] ? "wrong" : tokenAt(offset));
        } else if (!ended[attempt]) {
            assembler.acceptEnd(attempt, length);
            ended[attempt] = true;
        } else {
            assembler.acceptEnd(attempt, draw<std::uint64_t>(0, length + 5));
        }
    }

    void deliver()
    {
        for (const Token &token : assembler.take(draw<std::size_t>(0, 30)))
            delivered.push_back(token);
        if (assembler.claimTerminator()) {
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
            assembler.endAttempt(attempt);
            break;
        case 2:
            ended.assign(ended.size(), true);
            ended[attempt] = false;
            assembler.endOtherAttempts(attempt);
            ended[attempt] = !assembler.attempt(attempt).active;
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
        for (std::uint64_t offset = assembler.resumeOffset(); offset < length; ++offset) {
            while (assembler.accept(attempt, offset, tokenAt(offset)) == AcceptResult::Full)
                deliver();
        }
        assembler.acceptEnd(attempt, length);
        while (!terminated && assembler.isComplete())
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
        RC_ASSERT(session.assembler.bufferedBytes() <= 60U + tokenAt(6).size());
    }
    session.check();
    session.complete();
    session.check();
    RC_ASSERT(session.terminated);
    RC_ASSERT(session.delivered.size() == session.length - session.first);
}

} // namespace

class StreamAssemblerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamAssemblerTest);
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
        StreamAssembler assembler(0, { .maxBufferedBytes = 4, .maxBufferedTokens = 10 });
        const std::size_t attempt = assembler.startAttempt("e", "1");
        CPPUNIT_ASSERT(assembler.accept(attempt, 1, "bbbb") == AcceptResult::Accepted);
        CPPUNIT_ASSERT(assembler.accept(attempt, 2, "c") == AcceptResult::Full);
        CPPUNIT_ASSERT(assembler.take(kNoLimit).empty());
        CPPUNIT_ASSERT(assembler.accept(attempt, 0, "a") == AcceptResult::Accepted);
        CPPUNIT_ASSERT(assembler.accept(attempt, 2, "c") == AcceptResult::Full);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), assembler.take(1).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), assembler.take(1).size());
        CPPUNIT_ASSERT(assembler.accept(attempt, 2, "c") == AcceptResult::Accepted);
    }

    // Guards against ending a stream at a length that an engine misreported.
    void contradictionsAreRejected()
    {
        StreamAssembler assembler(2);
        const std::size_t first = assembler.startAttempt("e", "1");
        const std::size_t second = assembler.startAttempt("f", "1");
        const std::size_t third = assembler.startAttempt("g", "1");
        CPPUNIT_ASSERT(assembler.acceptEnd(first, 1) == AcceptResult::Diverged);
        CPPUNIT_ASSERT(assembler.accept(second, 4, "e") == AcceptResult::Accepted);
        CPPUNIT_ASSERT(assembler.acceptEnd(second, 4) == AcceptResult::Diverged);
        CPPUNIT_ASSERT(assembler.acceptEnd(third, 5) == AcceptResult::Accepted);
        const std::size_t fourth = assembler.startAttempt("h", "1");
        CPPUNIT_ASSERT(assembler.accept(fourth, 5, "f") == AcceptResult::Diverged);
        CPPUNIT_ASSERT(!assembler.hasActiveAttempt());
        CPPUNIT_ASSERT(!assembler.claimTerminator());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamAssemblerTest);

} // namespace chervilfield::streams

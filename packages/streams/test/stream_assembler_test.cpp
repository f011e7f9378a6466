#include "streams/stream_assembler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chervilfield::streams {

namespace {

constexpr std::size_t kNoLimit = 1'000'000;

/// Returns a uniformly distributed value of [low, high). The generator size is fixed, because
/// rapidcheck starts with small sizes, for which it narrows the range.
template<class T>
T draw(T low, T high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(low, high));
}

/// Returns the text of the token at `offset`; lengths vary.
std::string tokenAt(std::uint64_t offset)
{
    return "t" + std::to_string(offset) + std::string(offset % 7, '.');
}

/// Simulation of a caller that reads one answer from engines behind a faulty network.
struct StreamSimulation
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

    /// Reports a random token or the end from an attempt: tokens may be lost, repeated and out of
    /// order. An ended attempt reports wrong text or a random length, which must not reach the
    /// caller.
    void reportRandomEvent(std::size_t attempt)
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

    /// Takes tokens for the caller and claims the terminator, at most once.
    void deliver()
    {
        for (const Token &token : assembler.take(draw<std::size_t>(0, 30)))
            delivered.push_back(token);
        if (assembler.claimTerminator()) {
            RC_ASSERT(!terminated);
            terminated = true;
        }
    }

    void runRandomStep()
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
            ended[attempt] = !assembler.attempt(attempt).isActive;
            break;
        case 3:
            deliver();
            break;
        default:
            reportRandomEvent(attempt);
        }
    }

    /// Starts a last attempt, which produces everything from the resume offset.
    void finishWithoutFaults()
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

    /// Checks that the delivered tokens follow one another from `first`, and that the terminator is
    /// claimed only after the last one.
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

void runSimulation()
{
    StreamSimulation simulation;
    simulation.start();
    const int steps = draw(0, 100);
    for (int i = 0; i < steps; ++i) {
        simulation.runRandomStep();
        RC_ASSERT(simulation.assembler.bufferedBytes() <= 60U + tokenAt(6).size());
    }
    simulation.check();
    simulation.finishWithoutFaults();
    simulation.check();
    RC_ASSERT(simulation.terminated);
    RC_ASSERT(simulation.delivered.size() == simulation.length - simulation.first);
}

} // namespace

class StreamAssemblerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamAssemblerTest);
    CPPUNIT_TEST(callerReceivesCompleteAnswer);
    CPPUNIT_TEST(bufferIsBounded);
    CPPUNIT_TEST(contradictionsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that the caller receives the answer in order when attempts are lost, repeated and
    // replaced. Guards against a stream with a gap, a repetition or text of a replaced attempt, and
    // against a terminator that is missing, repeated or too early.
    void callerReceivesCompleteAnswer()
    {
        const bool holds =
                rc::check("delivered tokens are a prefix, terminated if and only if complete", [] {
                    constexpr int kSimulations = 100;
                    for (int i = 0; i < kSimulations; ++i)
                        runSimulation();
                });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that tokens are not accepted beyond the buffer limits, except the next one for the
    // caller. Guards against memory that grows with a slow caller, and against a full buffer that
    // blocks the stream.
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

    // Tests that an attempt that contradicts the known tokens or length becomes inactive. Guards
    // against ending a stream at a length that an engine misreported.
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

#include "relay_fixture.h"

namespace chervilfield::relay {

namespace {

// Response that a caller receives after a request to a `RawTarget`.
struct Expected
{
    int status;
    std::string body;
    bool isComplete;
    std::size_t otherSends; ///< Requests that reach the second target.
    bool hasFault;
};

const Expected kAnswered{ 200, "whole", true, 0, false };
const Expected kAnsweredWithFault{ 200, "whole", true, 0, true };
const Expected kRetried{ 200, "whole", true, 1, true };
const Expected kFailed{ 502, "target-failed", true, 0, true };
const Expected kTimedOut{ 502, "route-timeout", true, 0, true };
const Expected kStreamed{ 200, event(1) + event(2) + event(3), true, 0, false };
const Expected kResumed{ 200, event(1) + event(2) + event(3), true, 1, true };
const Expected kInterrupted{ 200, event(1), false, 0, true };

struct RawRow
{
    std::string name;
    fleet::RequestKind kind;
    RawResponse raw;
    Expected expected;
    bool isResumable = false;
    milliseconds maxTime = kMaxTime; ///< From the start of the scenario to its end.
};

constexpr auto kIdempotent = fleet::RequestKind::Idempotent;
constexpr auto kOrder = fleet::RequestKind::NonIdempotent;
constexpr auto kStream = fleet::RequestKind::Stream;
const std::string kHead = "HTTP/1.1 200 OK\r\nId: own\r\nSigned: 1\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kStreamHead = kHead + "Content-Type: text/event-stream\r\n";

using enum RawResponse::Ending;

std::vector<RawRow> answersThatEndWithTheConnection()
{
    return {
        { "answer", kIdempotent, { kHead + "\r\nwhole" }, kAnswered },
        { "order", kOrder, { kHead + "\r\nwhole" }, kAnswered },
        { "answer, reset", kIdempotent, { kHead + "\r\npart", Reset, "" }, kRetried },
        { "order, reset", kOrder, { kHead + "\r\npart", Reset, "" }, kFailed },
    };
}

std::vector<RawRow> streamsThatEndWithTheConnection()
{
    const std::string head = kStreamHead + "\r\n";
    const std::string all = event(1) + event(2) + event(3);
    const Expected incomplete{ 200, all, false, 0, true };
    return {
        { "stream", kStream, { head + all }, kStreamed },
        { "stream, reset", kStream, { head + all, Reset, "" }, incomplete },
        { "stream, reset, resumable", kStream, { head + event(1), Reset, "" }, kResumed, true },
    };
}

std::vector<RawRow> streamsThatEndWithinAnEvent()
{
    const std::string half = event(1) + event(2).substr(0, 5);
    const std::string unframed = kStreamHead + "\r\n" + half;
    const std::string noBlankLine = kStreamHead + "\r\n" + event(1) + "id: 2\ndata: e2\n";
    const std::string length = std::to_string(half.size());
    std::ostringstream chunk;
    chunk << std::hex << half.size() << "\r\n" << half << "\r\n0\r\n\r\n";
    const std::string chunked = kStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk.str();
    const std::string framed = kStreamHead + "Content-Length: " + length + "\r\n\r\n" + half;
    return {
        { "ends inside an event", kStream, { unframed }, kInterrupted },
        { "ends inside an event, resumable", kStream, { unframed }, kResumed, true },
        { "ends before the blank line", kStream, { noBlankLine }, kInterrupted },
        { "chunks end inside an event", kStream, { chunked }, kInterrupted },
        { "chunks end inside an event, resumable", kStream, { chunked }, kResumed, true },
        { "length ends inside an event", kStream, { framed }, kInterrupted },
    };
}

std::vector<RawRow> endlessAnswers()
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nId: own\r\n\r\n";
    const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    const std::string whole = kHead + "Content-Length: 5\r\n\r\nwhole";
    return {
        { "no HTTP", kIdempotent, { "", Flood, "garbage" }, kRetried },
        { "order, no HTTP", kOrder, { "", Flood, "garbage" }, kFailed },
        { "header line", kOrder, { kHead + "A: ", Flood, "a" }, kFailed },
        { "header lines", kOrder, { kHead, Flood, "A: a\r\n" }, kFailed },
        { "header line, drip", kOrder, { kHead + "A: ", Drip, "a" }, kTimedOut },
        { "interim responses", kOrder, { "", Flood, interim }, kFailed },
        { "body", kIdempotent, { kHead + "\r\n", Flood, "x" }, kRetried },
        { "order, body", kOrder, { kHead + "\r\n", Flood, "x" }, kFailed },
        { "order, body, drip", kOrder, { kHead + "\r\n", Drip, "x" }, kTimedOut },
        { "order, chunks", kOrder, { kChunkedHead, Flood, chunk }, kFailed },
        { "order, trailers", kOrder, { kChunkedHead + "0\r\n", Flood, "A: a\r\n" }, kFailed },
        { "bytes after the response", kOrder, { whole, Flood, "x" }, kAnsweredWithFault },
    };
}

std::vector<RawRow> answersWithInvalidStatus()
{
    std::vector<RawRow> rows;
    for (const std::string status : { "000", "099", "600", "999", "" }) {
        for (const std::string version : { "HTTP/1.0 ", "HTTP/1.1 " }) {
            const std::string head = version + status + " X\r\nId: own\r\nSigned: 1\r\n";
            const std::string name = version + status;
            const std::string whole = head + "Content-Length: 5\r\n\r\nwhole";
            rows.push_back({ name, kIdempotent, { whole }, kRetried });
            rows.push_back({ name + ", order", kOrder, { whole }, kFailed });
            rows.push_back({ name + ", order, no length", kOrder, { head + "\r\nx" }, kFailed });
        }
    }
    return rows;
}

// Checks all rows before it fails, so that one run shows every faulty row.
void check(const std::vector<RawRow> &rows)
{
    constexpr std::size_t kMaxBytes = 24U << 20U; // Includes the kernel's buffers.
    std::string failures;
    for (const RawRow &row : rows) {
        const auto start = std::chrono::steady_clock::now();
        const auto second = row.kind == kStream ? Behaviour::StreamsAll : Behaviour::Answers;
        const Outcome outcome = runScenario({ .name = row.name,
                                              .kind = row.kind,
                                              .targets = { Behaviour::Answers, second },
                                              .isResumable = row.isResumable,
                                              .raw = row.raw });
        const auto expect = [&](const std::string &what, bool isTrue) {
            if (!isTrue)
                failures += row.name + ": " + what + '\n';
        };
        const Expected &expected = row.expected;
        const auto elapsed =
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
        expect("status " + std::to_string(outcome.status), outcome.status == expected.status);
        expect("body " + outcome.body, outcome.body == expected.body);
        expect("end", outcome.isComplete == expected.isComplete);
        expect("retries", outcome.sends.back() == expected.otherSends);
        expect("connections", outcome.rawConnections == 1);
        expect("open connection", outcome.rawOpenConnections == 0);
        expect("bytes " + std::to_string(outcome.rawBytes), outcome.rawBytes <= kMaxBytes);
        expect("fault", outcome.hasFault == expected.hasFault);
        expect("stall " + std::to_string(outcome.maxStall.count()) + " ms",
               outcome.maxStall < milliseconds(200));
        expect("time " + std::to_string(elapsed.count()) + " ms", elapsed < row.maxTime);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
}

} // namespace

class RawResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RawResponseTest);
    CPPUNIT_TEST(unframedResponsesAreCompleteOrInterrupted);
    CPPUNIT_TEST(invalidStatusIsNoAnswer);
    CPPUNIT_TEST(endlessAnswersAreAbandoned);
    CPPUNIT_TEST(endlessRefusalsAreAbandoned);
    CPPUNIT_TEST(endlessEventsAreAbandoned);
    CPPUNIT_TEST(endlessAnswersShareMemory);
    CPPUNIT_TEST(largeAnswerFitsSharedMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests responses that end with their connection, or within an event. Guards against complete
    // responses that are refused, and incomplete ones that look complete.
    void unframedResponsesAreCompleteOrInterrupted()
    {
        check(answersThatEndWithTheConnection());
        check(streamsThatEndWithTheConnection());
        check(streamsThatEndWithinAnEvent());
    }

    // Guards against a status that no caller can interpret and that reaches it as an answer.
    void invalidStatusIsNoAnswer() { check(answersWithInvalidStatus()); }

    // Tests targets that send bytes without end. Guards against memory that grows with them,
    // connections that outlast the request, and a thread that is kept from other requests.
    void endlessAnswersAreAbandoned() { check(endlessAnswers()); }

    // Tests endless bodies of refusals. Guards against requests that are held past their timeout.
    void endlessRefusalsAreAbandoned()
    {
        const std::string refusal = "HTTP/1.1 503 Busy\r\nId: own\r\nNot-Run: 1\r\n\r\n";
        check(std::vector<RawRow>{
                { "refusal", kIdempotent, { refusal, Flood, "x" }, kRetried },
                { "refusal, drip", kIdempotent, { refusal, Drip, "x" }, kRetried },
        });
    }

    // Tests events without an end. Guards against memory and search time that grow with them.
    void endlessEventsAreAbandoned()
    {
        const std::string head = kStreamHead + "\r\n" + event(1) + "data: ";
        const std::string lines = kStreamHead + "\r\n" + event(1);
        const std::string firstChunk = "10\r\n" + event(1) + "\r\n";
        const std::string chunked = kStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + firstChunk;
        const std::string chunk = "100\r\n" + std::string(256, 'x') + "\r\n";
        std::vector<RawRow> rows{
            { "event", kStream, { head, Flood, "x" }, kInterrupted },
            { "lines of an event", kStream, { lines, Flood, "data: x\n" }, kInterrupted },
            { "small chunks of an event", kStream, { chunked, Flood, chunk }, kInterrupted },
        };
        for (RawRow &row : rows)
            row.maxTime = milliseconds(1000); // The size ends these rows before the deadline.
        rows.push_back({ "event, drip", kStream, { head, Drip, "x" }, kInterrupted });
        check(rows);
    }

    // Tests many responses without end at the same time. Guards against memory that grows with
    // their number, and ends the process with the requests of all other callers.
    void endlessAnswersShareMemory()
    {
        const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
        const std::string failure = "HTTP/1.1 500 Error\r\nId: own\r\nSigned: 1\r\n\r\n";
        struct Row
        {
            std::string name;
            fleet::RequestKind kind;
            RawResponse raw;
        };
        const Row rows[] = {
            { "body", kOrder, { kHead + "\r\n", Flood, "x" } },
            { "chunks", kOrder, { kChunkedHead, Flood, chunk } },
            { "large length", kOrder, { kHead + "Content-Length: 4000000\r\n\r\n", Flood, "x" } },
            { "failure", kOrder, { failure, Flood, "x" } },
            { "event", kStream, { kStreamHead + "\r\n" + event(1) + "data: ", Flood, "x" } },
        };
        // Includes the buffers and stacks of the connections, on both sides.
        constexpr std::size_t kMaxHeapBytes = 24U << 20U;
        std::string failures;
        for (const Row &row : rows) {
            const Outcome outcome = runScenario({ .name = row.name,
                                                  .kind = row.kind,
                                                  .targets = { Behaviour::Answers },
                                                  .raw = row.raw,
                                                  .parallelRequests = 40,
                                                  .responseMemoryBytes = 1U << 20U });
            if (outcome.maxHeapBytes > kMaxHeapBytes)
                failures += row.name + ": " + std::to_string(outcome.maxHeapBytes) + " bytes\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }

    // Guards against large answers that are refused although they fit.
    void largeAnswerFitsSharedMemory()
    {
        const std::string body(1'000'000, 'x');
        const std::string head = kHead + "Content-Length: " + std::to_string(body.size());
        const Outcome outcome = runScenario({ .name = "large answer",
                                              .kind = kOrder,
                                              .targets = { Behaviour::Answers },
                                              .raw = RawResponse{ head + "\r\n\r\n" + body },
                                              .responseMemoryBytes = body.size() });
        CPPUNIT_ASSERT(outcome.status == 200 && outcome.isComplete && outcome.body == body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RawResponseTest);

} // namespace chervilfield::relay

#include "relay_fixture.h"

#include <sstream>

namespace chervilfield::relay {

namespace {

// Whole response of the last target, every part of which is sent in turn.
struct Row
{
    std::string name;
    fleet::RequestKind kind;
    std::string response;
    std::string body; ///< What the caller receives of the whole response.
    /// An earlier target breaks its stream after the first event, and the response resumes it.
    bool isResumption = false;
};

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

Outcome receivePart(const Row &row, std::size_t size)
{
    Scenario scenario{ .name = row.name,
                       .kind = row.kind,
                       .targets = { Behaviour::Answers },
                       .maxTargets = 1,
                       .raw = RawResponse{ row.response.substr(0, size) } };
    if (row.isResumption) {
        scenario.targets = { Behaviour::StreamsHalf, Behaviour::Answers };
        scenario.maxTargets = 2;
        scenario.isResumable = true;
        scenario.rawIndex = 1;
    }
    return runScenario(scenario);
}

// Returns what is wrong with the response to the caller, empty if nothing is.
std::string fault(const Row &row, std::size_t size, const Outcome &outcome)
{
    const bool isAnswer = outcome.status == 200 && outcome.isComplete;
    if (size == row.response.size())
        return isAnswer && outcome.body == row.body ? "" : "whole response: " + outcome.body;
    if (isAnswer)
        return "looks complete: " + outcome.body;
    // A stream that has begun is interrupted; all else is reported as a failure.
    const bool isInterrupted =
            outcome.status == 200 && !outcome.body.empty() && row.body.starts_with(outcome.body);
    return isInterrupted || outcome.status == 502 ? "" : "status " + std::to_string(outcome.status);
}

} // namespace

class CutResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CutResponseTest);
    CPPUNIT_TEST(partsOfResponsesAreNoAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests targets that close the connection after each byte of their response. Guards against a
    // caller that gets a 200 with a short or empty body because its target stopped within the head.
    void partsOfResponsesAreNoAnswers()
    {
        constexpr auto kOrder = fleet::RequestKind::NonIdempotent;
        constexpr auto kIdempotent = fleet::RequestKind::Idempotent;
        constexpr auto kStream = fleet::RequestKind::Stream;
        const std::string head = "HTTP/1.1 200 OK\r\nId: own\r\nSigned: 1\r\n";
        const std::string sized = head + "Content-Length: 5\r\n\r\nwhole";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("wh")
                                    + chunk("ole") + "0\r\n\r\n";
        const std::string events = head + "Content-Type: text/event-stream\r\n";
        const std::string all = event(1) + event(2) + event(3);
        const std::string stream = events + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1))
                                   + chunk(event(2) + event(3)) + "0\r\n\r\n";
        const std::string rest = events + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(2))
                                 + chunk(event(3)) + "0\r\n\r\n";
        const Row rows[] = {
            { "order, length", kOrder, sized, "whole" },
            { "order, chunks", kOrder, chunked, "whole" },
            { "idempotent, length", kIdempotent, sized, "whole" },
            { "stream", kStream, stream, all },
            { "stream, length", kStream,
              events + "Content-Length: " + std::to_string(all.size()) + "\r\n\r\n" + all, all },
            { "resumed stream", kStream, rest, all, true },
        };
        std::string failures;
        for (const Row &row : rows) {
            for (std::size_t size = 0; size <= row.response.size(); ++size) {
                const std::string found = fault(row, size, receivePart(row, size));
                if (!found.empty())
                    failures += row.name + ", " + std::to_string(size) + " bytes: " + found + '\n';
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutResponseTest);

} // namespace chervilfield::relay

#include "membership/protocol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <variant>

namespace chervilfield::membership {

class RevisionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RevisionTest);
    CPPUNIT_TEST(revisionsAreOrderedByEra);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a revision of an earlier era of the store that counts as newer because its
    // number is higher, and against a later era that stays unnoticed.
    void revisionsAreOrderedByEra()
    {
        enum class Report { None, Revision, Era };
        struct Row
        {
            std::string name;
            std::uint64_t era;
            std::uint64_t revision;
            Report report;              ///< What is reported of a packet with these values.
            std::uint64_t announcedEra; ///< After these values are set as the own ones.
            std::uint64_t announced;
        };
        // The own values are era 2 and revision 10.
        const Row rows[] = {
            { "same", 2, 10, Report::None, 2, 10 },
            { "newer", 2, 11, Report::Revision, 2, 11 },
            { "older", 2, 9, Report::None, 2, 10 },
            { "earlier era", 1, 99, Report::None, 2, 10 },
            { "no era", 0, 99, Report::None, 2, 10 },
            { "later era", 3, 1, Report::Era, 3, 1 },
            { "later era, newer", 3, 99, Report::Era, 3, 99 },
        };
        for (const Row &row : rows) {
            Random random(1);
            const TimePoint now{ std::chrono::seconds(100) };
            State state = start({ .name = "a", .peerAddress = "127.0.0.1:1" }, {}, now, random);
            step(state, RevisionChanged{ .revision = 10, .storeEra = 2 }, now, random);
            Packet packet{ .sender = { .name = "b", .peerAddress = "127.0.0.1:2" } };
            packet.configurationRevision = row.revision;
            packet.storeEra = row.era;
            Report report = Report::None;
            for (const Output &output :
                 step(state, PacketReceived{ "127.0.0.1:2", packet }, now, random)) {
                if (const auto *newer = std::get_if<NewerRevision>(&output)) {
                    report = Report::Revision;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.revision, newer->revision);
                } else if (const auto *era = std::get_if<NewerEra>(&output)) {
                    report = Report::Era;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.era, era->storeEra);
                }
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, report == row.report);
            step(state, RevisionChanged{ .revision = row.revision, .storeEra = row.era }, now,
                 random);
            const auto outputs = step(state, Leave{}, now, random);
            const auto sent = std::ranges::find_if(outputs, [](const Output &output) {
                return std::holds_alternative<SendPacket>(output);
            });
            CPPUNIT_ASSERT_MESSAGE(row.name, sent != outputs.end());
            const Packet &announced = std::get<SendPacket>(*sent).packet;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.announcedEra, announced.storeEra);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.announced, announced.configurationRevision);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevisionTest);

} // namespace chervilfield::membership

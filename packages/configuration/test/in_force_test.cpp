#include "configuration/in_force.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace chervilfield::configuration {

class InForceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InForceTest);
    CPPUNIT_TEST(revisionNeverDecreases);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that random offers never lower the revision in force or skip a revision. Guards against
    // a daemon that reverts to an older configuration because a source is stale.
    void revisionNeverDecreases()
    {
        const bool holds = rc::check("random offers never lower the revision or skip one", [] {
            const auto entry = [](RevisionNumber number) {
                return Revision{ .number = number,
                                 .writeId = "w",
                                 .changes = { .upserts = { Pool{ .name = std::to_string(number) } },
                                              .deletes = {} } };
            };
            ConfigurationInForce inForce;
            for (int step = 0; step < 30; ++step) {
                const RevisionNumber before = inForce.current->revision();
                const auto first = *rc::gen::inRange<RevisionNumber>(1, 20);
                const auto count = *rc::gen::inRange<RevisionNumber>(0, 5);
                std::vector<Revision> entries;
                for (RevisionNumber number = first; number < first + count; ++number)
                    entries.push_back(entry(number));
                OfferOutcome outcome = OfferOutcome::NotNewer;
                if (*rc::gen::inRange(0, 4) == 0) {
                    std::vector<Revision> all;
                    for (RevisionNumber number = 1; number <= first; ++number)
                        all.push_back(entry(number));
                    const auto empty = std::make_shared<const Configuration>();
                    outcome = offerConfiguration(inForce, fold(empty, all).configuration);
                } else {
                    outcome = offerRevisions(inForce, entries);
                }
                const RevisionNumber after = inForce.current->revision();
                RC_ASSERT(after >= before);
                RC_ASSERT(outcome != OfferOutcome::Advanced || after > before);
                RC_ASSERT(inForce.highestKnown >= after);
                // Each revision adds one pool, so a skipped revision leaves a pool missing.
                RC_ASSERT(inForce.current->pools().size() == after);
                RC_ASSERT(recordKnownRevision(inForce, first) == (first > after));
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InForceTest);

} // namespace chervilfield::configuration

#include "orders/tickets.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::orders {

using base::Result;
using base::WorkStatus;

class TicketsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TicketsTest);
    CPPUNIT_TEST(repliesFollowTheState);
    CPPUNIT_TEST(ticketIsBoundToLifeAndCustomer);
    CPPUNIT_TEST(capacityAndLifetimeAreBounded);
    CPPUNIT_TEST_SUITE_END();

    static Identity identityOf(const std::string &ticket, const std::string &customer = "c")
    {
        return { IdentityKind::Ticket, customer, ticket };
    }

    static void assertReply(WorkStatus work, Result code, const Redemption &actual)
    {
        CPPUNIT_ASSERT(actual.reply);
        CPPUNIT_ASSERT(work == actual.reply->work);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(code), static_cast<int>(actual.reply->code));
    }

public:
    // Tests the reply to a second call with a ticket after each outcome of the first. Guards
    // against dispatching a ticket twice and against reporting an outcome that is not known.
    void repliesFollowTheState()
    {
        enum class Outcome { None, Answer, LargeAnswer, Lost, NotSent };
        struct Row
        {
            Outcome outcome;
            WorkStatus work;
            Result code;
        };
        const Row rows[] = {
            { Outcome::None, WorkStatus::Unknown, Result::OrderInProgress },
            { Outcome::Answer, WorkStatus::Ran, Result::Ok },
            { Outcome::LargeAnswer, WorkStatus::Ran, Result::TicketSpent },
            { Outcome::Lost, WorkStatus::Unknown, Result::OrderUndecided },
            { Outcome::NotSent, WorkStatus::NotRun, Result::OrderClosed },
        };
        for (const Row &row : rows) {
            TicketRegistry registry("life", { .maxStoredBodyBytes = 10 });
            const Identity identity = identityOf(*registry.issue("c", 7, {}));
            CPPUNIT_ASSERT(!registry.redeem(identity, "f", {}).reply);
            switch (row.outcome) {
            case Outcome::None:
                break;
            case Outcome::Answer:
                registry.recordAnswer(identity, { 200, "text/plain", "done" });
                break;
            case Outcome::LargeAnswer:
                registry.recordAnswer(identity, { 200, "text/plain", std::string(11, 'x') });
                break;
            case Outcome::Lost:
                registry.recordAnswerLost(identity);
                break;
            case Outcome::NotSent:
                registry.recordNotSent(identity);
                break;
            }
            assertReply(row.work, row.code, registry.redeem(identity, "f", {}));
            assertReply(row.work, row.code, registry.close(identity, "f", Result::Overloaded, {}));
            assertReply(WorkStatus::NotRun, Result::FingerprintMismatch,
                        registry.redeem(identity, "other", {}));
        }
    }

    // Tests that a ticket is valid only in the life that issued it, for its customer and until it
    // is closed. Guards against running an order again after a restart, under another customer's
    // ticket or for a copy of a refused call that arrives late.
    void ticketIsBoundToLifeAndCustomer()
    {
        TicketRegistry registry("life", {});
        TicketRegistry restarted("next", {});
        const std::string ticket = *registry.issue("c", 7, {});
        restarted.issue("c", 7, {});
        assertReply(WorkStatus::Unknown, Result::TicketUnknown,
                    restarted.redeem(identityOf(ticket), "f", {}));
        assertReply(WorkStatus::Unknown, Result::TicketUnknown,
                    registry.redeem(identityOf(ticket, "d"), "f", {}));
        assertReply(WorkStatus::Unknown, Result::TicketUnknown,
                    registry.redeem({ IdentityKind::Key, "c", ticket }, "f", {}));
        assertReply(WorkStatus::NotRun, Result::Overloaded,
                    registry.close(identityOf(ticket), "f", Result::Overloaded, {}));
        assertReply(WorkStatus::NotRun, Result::OrderClosed,
                    registry.redeem(identityOf(ticket), "f", {}));
    }

    // Tests the capacities and the removal of expired tickets. Guards against memory that grows
    // with the number of tickets ever issued.
    void capacityAndLifetimeAreBounded()
    {
        TicketRegistry registry("life", { .capacity = 3, .capacityPerCustomer = 2 });
        CPPUNIT_ASSERT(registry.issue("a", 1, {}) && registry.issue("a", 2, {}));
        CPPUNIT_ASSERT(!registry.issue("a", 3, {}));
        const std::string ticket = *registry.issue("b", 4, {});
        CPPUNIT_ASSERT(!registry.issue("c", 5, {}));
        const SteadyTime later = SteadyTime() + std::chrono::minutes(60);
        assertReply(WorkStatus::Unknown, Result::TicketUnknown,
                    registry.redeem(identityOf(ticket, "b"), "f", later));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), registry.size());
        CPPUNIT_ASSERT(registry.issue("a", 6, later));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketsTest);

} // namespace chervilfield::orders

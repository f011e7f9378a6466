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
    // Guards against a ticket that is dispatched twice or that reports more than is known.
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
            TicketRegistry book("life", { .maxStoredBodyBytes = 10 });
            const Identity identity = identityOf(*book.issue("c", 7, {}));
            CPPUNIT_ASSERT(!book.redeem(identity, "f", {}).reply);
            switch (row.outcome) {
            case Outcome::None:
                break;
            case Outcome::Answer:
                book.recordAnswer(identity, { 200, "text/plain", "done" });
                break;
            case Outcome::LargeAnswer:
                book.recordAnswer(identity, { 200, "text/plain", std::string(11, 'x') });
                break;
            case Outcome::Lost:
                book.recordAnswerLost(identity);
                break;
            case Outcome::NotSent:
                book.recordNotSent(identity);
                break;
            }
            assertReply(row.work, row.code, book.redeem(identity, "f", {}));
            assertReply(row.work, row.code, book.close(identity, "f", Result::Overloaded, {}));
            assertReply(WorkStatus::NotRun, Result::FingerprintMismatch,
                        book.redeem(identity, "other", {}));
        }
    }

    // Guards against running the order of an ended life, of another customer or of a late copy.
    void ticketIsBoundToLifeAndCustomer()
    {
        TicketRegistry book("life", {});
        TicketRegistry restarted("next", {});
        const std::string ticket = *book.issue("c", 7, {});
        restarted.issue("c", 7, {});
        assertReply(WorkStatus::Unknown, Result::TicketUnknown,
                    restarted.redeem(identityOf(ticket), "f", {}));
        assertReply(WorkStatus::Unknown, Result::TicketUnknown,
                    book.redeem(identityOf(ticket, "d"), "f", {}));
        assertReply(WorkStatus::Unknown, Result::TicketUnknown,
                    book.redeem({ IdentityKind::Key, "c", ticket }, "f", {}));
        assertReply(WorkStatus::NotRun, Result::Overloaded,
                    book.close(identityOf(ticket), "f", Result::Overloaded, {}));
        assertReply(WorkStatus::NotRun, Result::OrderClosed,
                    book.redeem(identityOf(ticket), "f", {}));
    }

    // Guards against memory that grows with the tickets ever issued.
    void capacityAndLifetimeAreBounded()
    {
        TicketRegistry book("life", { .capacity = 3, .capacityPerCustomer = 2 });
        CPPUNIT_ASSERT(book.issue("a", 1, {}) && book.issue("a", 2, {}));
        CPPUNIT_ASSERT(!book.issue("a", 3, {}));
        const std::string ticket = *book.issue("b", 4, {});
        CPPUNIT_ASSERT(!book.issue("c", 5, {}));
        const SteadyTime later = SteadyTime() + std::chrono::minutes(60);
        assertReply(WorkStatus::Unknown, Result::TicketUnknown,
                    book.redeem(identityOf(ticket, "b"), "f", later));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), book.size());
        CPPUNIT_ASSERT(book.issue("a", 6, later));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketsTest);

} // namespace chervilfield::orders

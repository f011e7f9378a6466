#include "orders/order_row.h"

#include "base/result.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::orders {

class OrderRowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderRowTest);
    CPPUNIT_TEST(rowsSurviveEncoding);
    CPPUNIT_TEST(damagedRowsAreRejected);
    CPPUNIT_TEST(onlyTheAnswerExpires);
    CPPUNIT_TEST_SUITE_END();

    static OrderRow makeRow()
    {
        return { .state = RowState::Ran,
                 .ownerLife = "life",
                 .fingerprint = "f",
                 .created = WallTime(std::chrono::milliseconds(5)),
                 .answerExpires = WallTime(std::chrono::milliseconds(9)),
                 .answer = Answer{ 201, "text/plain", "a\"\n" } };
    }

public:
    // Tests that a row is decoded as it was encoded, in every state. Guards against an answer that
    // changes between recording and replay.
    void rowsSurviveEncoding()
    {
        for (const RowState state :
             { RowState::Intent, RowState::Ran, RowState::Undecided, RowState::Closed }) {
            OrderRow row = makeRow();
            row.state = state;
            std::error_code error;
            CPPUNIT_ASSERT(decodeRow(encodeRow(row), error) == row);
            row.answer.reset();
            CPPUNIT_ASSERT(decodeRow(encodeRow(row), error) == row);
            CPPUNIT_ASSERT(!error);
        }
    }

    // Tests that a damaged row is reported as an error. Guards against taking it for an order that
    // has not run, which would run the order again.
    void damagedRowsAreRejected()
    {
        const std::string text = encodeRow(makeRow());
        const std::string damaged[] = { "",
                                        "[]",
                                        "{}",
                                        text.substr(1),
                                        std::string(text).replace(text.find("ran"), 3, "run"),
                                        std::string(text).replace(text.find("201"), 3, "\"\"") };
        for (const std::string &row : damaged) {
            std::error_code error;
            CPPUNIT_ASSERT_MESSAGE(row, !decodeRow(row, error));
            CPPUNIT_ASSERT_MESSAGE(row, error);
        }
    }

    // Tests that expiry removes the answer and keeps the row. Guards against losing the record that
    // an order ran, which would let a late attempt run it again.
    void onlyTheAnswerExpires()
    {
        OrderRow row = makeRow();
        CPPUNIT_ASSERT(!dropExpiredAnswer(row, WallTime(std::chrono::milliseconds(8))));
        CPPUNIT_ASSERT(row.answer);
        CPPUNIT_ASSERT(dropExpiredAnswer(row, WallTime(std::chrono::milliseconds(9))));
        CPPUNIT_ASSERT(row.state == RowState::Ran && !row.answer);
        CPPUNIT_ASSERT(!dropExpiredAnswer(row, WallTime::max()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderRowTest);

} // namespace chervilfield::orders

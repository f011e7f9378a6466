#include "base/result.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace chervilfield::base {

class ResultTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResultTest);
    CPPUNIT_TEST(codesAndNamesAreUnique);
    CPPUNIT_TEST(errorCodeKeepsResult);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two rows that callers could not tell apart.
    void codesAndNamesAreUnique()
    {
        std::set<Result> codes;
        std::set<std::string_view> names;
        for (const ResultInfo &row : resultTable()) {
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name), codes.insert(row.code).second);
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name), names.insert(row.name).second);
        }
    }

    // Guards against a foreign error that is reported under one of our numbers.
    void errorCodeKeepsResult()
    {
        struct Row
        {
            std::error_code error;
            Result expected;
        };
        const Row rows[] = {
            { Result::Overloaded, Result::Overloaded },
            { std::error_code(), Result::Ok },
            { std::make_error_code(std::errc::io_error), Result::Internal },
        };
        for (const Row &row : rows) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.error.message(), static_cast<int>(row.expected),
                                         static_cast<int>(toResult(row.error)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResultTest);

} // namespace chervilfield::base

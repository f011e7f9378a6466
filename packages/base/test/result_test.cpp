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
    // Tests that no two rows have the same code or name. Guards against results that callers cannot
    // distinguish.
    void codesAndNamesAreUnique()
    {
        std::set<Result> codes;
        std::set<std::string_view> names;
        for (const ResultInfo &row : resultTable()) {
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name), codes.insert(row.code).second);
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name), names.insert(row.name).second);
        }
    }

    // Tests the conversion from an error code. Guards against an error of another category that is
    // reported as the result with the same number.
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

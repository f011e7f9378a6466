#include "configuration/json.h"
#include "configuration/validation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::configuration {

class ValidationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ValidationTest);
    CPPUNIT_TEST(errorsAreReportedTogether);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that all errors of a change are reported together. Guards against accepting a change
    // that daemons cannot apply, and against a report that stops at the first error.
    void errorsAreReportedTogether()
    {
        struct Row
        {
            const char *document;
            std::vector<std::string> fields;
        };
        const std::string key(64, 'a');
        const std::string customers = R"([{"resource":"customer","name":"a","apiKeyHash":")" + key
                                      + R"("},{"resource":"customer","name":"b","apiKeyHash":")"
                                      + key + R"("}])";
        const Row rows[] = {
            { R"([{"resource":"pool","name":"p","model":"m","weights":"v"}])", {} },
            { R"([])", { "change:" } },
            { R"([{"resource":"pool","name":"p"}])", { "pool/p:model", "pool/p:weights" } },
            { R"([{"resource":"pool","name":"p q","kind":"service","adapter":"x"}])",
              { "pool/p q:name", "pool/p q:adapter" } },
            { R"([{"resource":"target","name":"t","address":"localhost:80","dataCentre":""}])",
              { "target/t:address", "target/t:dataCentre" } },
            { R"([{"resource":"target","name":"t","address":"10.0.0.1:0","dataCentre":"d"}])",
              { "target/t:address" } },
            { R"([{"resource":"target","name":"t","address":"10.0.0.1:80","dataCentre":"d"},
                  {"resource":"target","name":"u","address":"10.0.0.1:80","dataCentre":"d"}])",
              { "target/u:address" } },
            { R"([{"resource":"intent","name":"i"}])", { "intent/i:model" } },
            { R"([{"resource":"intent","name":"i","pathPrefix":"/v1/x","priority":10,
                   "deadlineMs":-1}])",
              { "intent/i:pathPrefix", "intent/i:priority", "intent/i:deadlineMs" } },
            { R"([{"resource":"intent","name":"i","pathPrefix":"/v1x"}])", {} },
            { R"([{"resource":"intent","name":"i","model":"m"},
                  {"resource":"intent","name":"i","model":"n"}])",
              { "intent/i:" } },
            { R"({"deletes":[{"resource":"pool","name":"gone"}]})", { "pool/gone:" } },
            { customers.c_str(), { "customer/b:apiKeyHash" } },
        };
        for (const Row &row : rows) {
            std::vector<ValidationError> errors;
            const auto changes = parseResources(row.document, errors);
            CPPUNIT_ASSERT_MESSAGE(row.document + toJson(errors), changes.has_value());
            std::vector<std::string> found;
            for (const ValidationError &error : validate(Configuration(), *changes))
                found.push_back(error.subject + ":" + error.field);
            CPPUNIT_ASSERT_MESSAGE(row.document, found == row.fields);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValidationTest);

} // namespace chervilfield::configuration

#include "daemon/settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::daemon {

namespace {

const std::string kMinimal = "[instance]\nname = 'a'\ndata_centre = 'd'\n"
                             "[platform]\naddress = '127.0.0.1:1'\n";
const std::string kEntry = "[entry]\nready = '127.0.0.1:2'\ndirectory = '127.0.0.1:3'\n"
                           "metrics = '127.0.0.1:4'\n";

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(errorsNameLineAndKey);
    CPPUNIT_TEST(allErrorsAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that an error names the position, the key and the expected value. Guards against
    // settings that are silently ignored or reported at a wrong position.
    void errorsNameLineAndKey()
    {
        struct Row
        {
            std::string text;
            std::string expected;
        };
        const Row rows[] = {
            { kMinimal, "" },
            { kMinimal + "[traffic]\nthreads = 4\n", "" },
            { kMinimal + "[traffic]\nthreads = 0\n",
              "f:7:11: traffic.threads: expected a whole number from 1 to 64" },
            { kMinimal + "[traffic]\nthreads = '4'\n",
              "f:7:11: traffic.threads: expected a whole number from 1 to 64" },
            { kMinimal + "[traffic]\nthread = 4\n", "f:7:1: traffic.thread: no such key" },
            { kMinimal + "[trafic]\nthreads = 4\n", "f:6:2: trafic: no such key" },
            { kMinimal + "[entries]\nttl = '5'\n",
              "f:7:7: entries.ttl: expected a duration from 100ms to 10m" },
            { kMinimal + "[listen]\ncallers = 'localhost:1'\n",
              "f:7:11: listen.callers: expected an address such as \"127.0.0.1:7400\"" },
            { kMinimal + kEntry, "" },
            { kMinimal + kEntry + "grace_s = 7.5\nlease_ms = 3000\n", "" },
            { kMinimal + kEntry + "memory_mb = 110\n", "" },
            { kMinimal + kEntry + "memory_mb = '110'\n",
              "f:10:13: entry.memory_mb: expected a number from 0 to 1000000" },
            { kMinimal + kEntry + "learn_performance = true\n", "" },
            { kMinimal + kEntry + "learn_performance = 1\n",
              "f:10:21: entry.learn_performance: expected true or false" },
            { kMinimal + kEntry + "max_fds = 3075\n", "" },
            { kMinimal + kEntry + "max_fds = -1\n",
              "f:10:11: entry.max_fds: expected a number from 0 to 10000000" },
            { kMinimal + kEntry + "max_fds = nan\n",
              "f:10:11: entry.max_fds: expected a number from 0 to 10000000" },
            { kMinimal + kEntry + "link_mbps = 10.0\n", "" },
            { kMinimal + kEntry + "link_mbps = 1e9\n",
              "f:10:13: entry.link_mbps: expected a number from 0 to 1000000" },
            { kMinimal + kEntry + "grace_s = '8s'\n",
              "f:10:11: entry.grace_s: expected a number that is not negative" },
            { kMinimal + "[entry]\nlease_ms = 3000\n",
              "f:0:0: entry.ready: this key is required: an address such as \"127.0.0.1:7400\"" },
            { "[instance]\nname = 'a'\n[platform]\naddress = '127.0.0.1:1'\n",
              "f:0:0: instance.data_centre: this key is required: a non-empty string" },
        };
        for (const Row &row : rows) {
            std::vector<SettingsError> errors;
            parseSettings(row.text, "f", errors);
            const std::string first = errors.empty() ? std::string() : toString(errors.front());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.text, row.expected, first);
        }
    }

    // Tests that every error in a file is reported. Guards against a check that stops at the first
    // one.
    void allErrorsAreReported()
    {
        std::vector<SettingsError> errors;
        parseSettings("[instance]\nname = 1\n[traffic]\nthreads = 0\nx = 1\n", "f", errors);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), errors.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace chervilfield::daemon

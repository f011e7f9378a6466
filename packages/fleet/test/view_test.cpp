#include "fleet/store_clock.h"
#include "fleet/view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <type_traits>

namespace chervilfield::fleet {

class ViewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ViewTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(indexBelongsToItsConfiguration);
    CPPUNIT_TEST(firstNewerVersionCounts);
    CPPUNIT_TEST(weightsAgeIncludesSuspendedTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests the lookup of routes by host and longest path prefix. Guards against requests that are
    // sent to the pool of another route.
    void longestPrefixWins()
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->routes = { { .name = "short", .host = "A.example", .prefix = "/x/" },
                                  { .name = "long", .host = "a.example", .prefix = "/x/y/" },
                                  { .name = "other", .host = "b.example", .prefix = "/" } };
        const View view(configuration, {}, {}, 1);
        struct Row
        {
            const char *host;
            const char *path;
            const char *route;
        };
        const Row rows[] = {
            { "a.example", "/x/z", "short" },    { "a.example", "/x/y/z", "long" },
            { "A.EXAMPLE:80", "/x/y/", "long" }, { "a.example", "/x/y", "short" },
            { "a.example", "/x", "" },           { "b.example", "/x/y/", "other" },
            { "c.example", "/x/", "" },
        };
        for (const Row &row : rows) {
            const Route *route = view.findRoute(row.host, row.path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.path, std::string(row.route),
                                         route == nullptr ? std::string() : route->name);
        }
    }

    // Guards against routes and customers of an earlier configuration after a change.
    void indexBelongsToItsConfiguration()
    {
        const auto makeConfiguration = [](const std::string &name) {
            auto configuration = std::make_shared<Configuration>();
            configuration->routes = { { .name = name, .host = "a", .prefix = "/" } };
            configuration->customers = { { .name = name, .keys = { "key-" + name } } };
            return configuration;
        };
        const auto first = makeConfiguration("first");
        const auto second = makeConfiguration("second");
        struct Row
        {
            std::shared_ptr<const Configuration> before;
            std::shared_ptr<const Configuration> after;
        };
        const Row rows[] = { { nullptr, first },
                             { first, first },
                             { first, second },
                             { second, first },
                             { first, nullptr } };
        for (const Row &row : rows) {
            const View before(row.before, {}, {}, 1);
            const View after(row.after, {}, {}, 2, &before);
            const Route *route = after.findRoute("a", "/");
            CPPUNIT_ASSERT_EQUAL(row.after != nullptr, route != nullptr);
            CPPUNIT_ASSERT(route == nullptr || route == &row.after->routes.front());
            for (const auto &configuration : { first, second }) {
                const Customer *customer =
                        after.findCustomer(configuration->customers.front().keys.front());
                CPPUNIT_ASSERT_EQUAL(configuration == row.after, customer != nullptr);
            }
        }
    }

    // Tests that the first later version determines when weights were replaced. Guards against an
    // engine that keeps old weights longer whenever a still newer version becomes desired.
    void firstNewerVersionCounts()
    {
        using std::chrono::seconds;
        const base::BootClock::time_point start{};
        const WeightsHistory history{
            { "m", { { 1, start }, { 3, start + seconds(5) }, { 4, start + seconds(9) } } }
        };
        const View view(nullptr, {}, history, 1);
        struct Row
        {
            std::uint64_t version;
            std::optional<base::BootClock::time_point> replacedAt;
        };
        const Row rows[] = {
            { 0, start },
            { 1, start + seconds(5) },
            { 2, start + seconds(5) },
            { 3, start + seconds(9) },
            { 4, std::nullopt },
        };
        for (const Row &row : rows)
            CPPUNIT_ASSERT(row.replacedAt == view.replacedAt("m", row.version));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), view.desiredWeights("m"));
        CPPUNIT_ASSERT(!view.replacedAt("unknown", 1).has_value());
    }

    // Guards against requests on replaced weights after a suspension, which the steady clock omits.
    void weightsAgeIncludesSuspendedTime()
    {
        CPPUNIT_ASSERT(
                (std::is_same_v<decltype(DesiredVersion::setAfter)::clock, base::BootClock>));
        CPPUNIT_ASSERT((std::is_same_v<StoreClock::TimePoint::clock, base::BootClock>));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewTest);

} // namespace chervilfield::fleet

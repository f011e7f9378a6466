#include "configuration/configuration.h"
#include "configuration/json.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::configuration {

namespace {

constexpr std::string_view kResources = R"([
  {"resource":"pool","name":"chat","labels":{"tier":"fast"},"selector":"role=chat",
   "model":"bordado-7b","weights":"v1"},
  {"resource":"pool","name":"desk","kind":"service","selector":"role=desk"},
  {"resource":"target","name":"e1","address":"127.0.0.1:7001","labels":{"role":"chat"},
   "dataCentre":"leon"},
  {"resource":"target","name":"e2","address":"127.0.0.1:7002","labels":{"role":"review"},
   "dataCentre":"leon"},
  {"resource":"target","name":"s1","address":"127.0.0.1:7003","kind":"service",
   "labels":{"role":"desk"},"dataCentre":"celaya","checksFencing":true},
  {"resource":"intent","name":"all","model":"bordado-7b","pools":""},
  {"resource":"intent","name":"large","model":"bordado-7b","customers":"size=large","pools":"tier"},
  {"resource":"intent","name":"orders","pathPrefix":"/orders","idempotent":false},
  {"resource":"intent","name":"status","pathPrefix":"/orders/status"}
])";

ConfigurationPtr sampleConfiguration()
{
    std::vector<ValidationError> errors;
    const auto changes = parseResources(kResources, errors);
    CPPUNIT_ASSERT_EQUAL(std::string("[]"), toJson(errors));
    return apply(Configuration(), 1, *changes);
}

Revision deletePool(RevisionNumber number, std::string pool)
{
    return { .number = number,
             .writeId = "w" + std::to_string(number),
             .changes = { .upserts = {}, .deletes = { { ResourceKind::Pool, std::move(pool) } } } };
}

} // namespace

class ConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(mostSpecificRouteWins);
    CPPUNIT_TEST(poolsResolveTheirTargets);
    CPPUNIT_TEST(customersAreFoundByKey);
    CPPUNIT_TEST(foldStopsAtGaps);
    CPPUNIT_TEST(diffListsEachDifference);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that the most specific matching intent routes a request. Guards against a request that
    // is routed by an intent for other customers or paths.
    void mostSpecificRouteWins()
    {
        const ConfigurationPtr configuration = sampleConfiguration();
        const Customer small{ .name = "small", .apiKeyHash = {}, .labels = {}, .weight = 1 };
        Customer large = small;
        large.labels = { { "size", "large" } };
        struct Row
        {
            const char *request;
            const Customer &customer;
            const char *expected;
        };
        const Row rows[] = {
            { "bordado-7b", small, "all" },
            { "bordado-7b", large, "large" },
            { "other", small, nullptr },
            { "", small, nullptr },
            { "/orders", small, "orders" },
            { "/orders/7", small, "orders" },
            { "/ordersheet", small, nullptr },
            { "/orders/status/7", small, "status" },
            { "/orders/statusx", small, "orders" },
            { "/", small, nullptr },
        };
        for (const Row &row : rows) {
            const std::string request = row.request;
            const Route *route = request.starts_with('/')
                                         ? configuration->findPathRoute(request, row.customer)
                                         : configuration->findModelRoute(request, row.customer);
            const std::string found = route == nullptr ? "none" : route->intent->name;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    request, std::string(row.expected == nullptr ? "none" : row.expected), found);
            if (route != nullptr)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(request, std::size_t(1), route->pools.size());
        }
    }

    // Tests that a pool has the targets of its kind that match its selector. Guards against model
    // requests that are sent to a service or to targets of another pool.
    void poolsResolveTheirTargets()
    {
        const ConfigurationPtr configuration = sampleConfiguration();
        const ResolvedPool *chat = configuration->findPool("chat");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chat->targets.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), chat->targets.front()->name);
        CPPUNIT_ASSERT(configuration->findPool("absent") == nullptr);
    }

    // Tests the lookup of 50 customers by API key hash. Guards against a key that identifies no
    // customer or another one.
    void customersAreFoundByKey()
    {
        ResourceSet resources;
        for (int i = 0; i < 50; ++i) {
            const std::string name = "customer-" + std::to_string(i);
            resources.customers.push_back(std::make_shared<const Customer>(Customer{
                    .name = name, .apiKeyHash = hashApiKey(name), .labels = {}, .weight = 1 }));
        }
        const Configuration configuration(1, std::move(resources));
        for (int i = 0; i < 50; ++i) {
            const std::string name = "customer-" + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL(name, configuration.findCustomer(hashApiKey(name))->name);
        }
        CPPUNIT_ASSERT(configuration.findCustomer(hashApiKey("nobody")) == nullptr);
    }

    // Tests that log entries are applied only up to the first gap and that the gap is reported.
    // Guards against a configuration that misses a change because its entry was not received.
    void foldStopsAtGaps()
    {
        struct Row
        {
            std::vector<RevisionNumber> offered;
            RevisionNumber expected;
            bool hasGap;
        };
        const Row rows[] = {
            { {}, 1, false },          { { 1 }, 1, false }, { { 2, 3 }, 3, false },
            { { 1, 2 }, 2, false },    { { 3 }, 1, true },  { { 2, 4 }, 2, true },
            { { 2, 2, 3 }, 3, false },
        };
        for (const Row &row : rows) {
            std::vector<Revision> entries;
            for (const RevisionNumber number : row.offered)
                entries.push_back(deletePool(number, number == 2 ? "chat" : "desk"));
            const FoldResult result = fold(sampleConfiguration(), entries);
            CPPUNIT_ASSERT_EQUAL(row.expected, result.configuration->revision());
            CPPUNIT_ASSERT_EQUAL(row.hasGap, result.hasGap);
            CPPUNIT_ASSERT_EQUAL(row.expected < 2,
                                 result.configuration->findPool("chat") != nullptr);
        }
    }

    // Tests that added, changed and removed resources are listed. Guards against a dry run that
    // shows fewer differences than the change makes.
    void diffListsEachDifference()
    {
        const ConfigurationPtr before = sampleConfiguration();
        Pool changed = *before->findPool("chat")->pool;
        changed.weights = "v2";
        const Pool added{ .name = "a-new",
                          .labels = {},
                          .selector = {},
                          .model = "m",
                          .weights = "v1",
                          .adapter = "" };
        const ConfigurationPtr after = apply(
                *before, 2,
                { .upserts = { changed, added }, .deletes = { { ResourceKind::Target, "e2" } } });
        std::string found;
        for (const Difference &difference : diff(*before, *after))
            found += toString(difference.id) + ":"
                     + std::to_string(static_cast<int>(difference.kind)) + " ";
        CPPUNIT_ASSERT_EQUAL(std::string("pool/a-new:0 pool/chat:1 target/e2:2 "), found);
        CPPUNIT_ASSERT(diff(*before, *before).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace chervilfield::configuration

#include "entry/row_fetcher.h"

#include "fake_store.h"
#include "throttled_link.h"

#include "base/hash.h"
#include "peers/exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chervilfield::entry {

using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kVersionPrefix = R"({"version":)";

// Returns a configuration document with random names, which compress as little as real ones.
std::string makeConfiguration(std::uint64_t version, int routes)
{
    std::mt19937_64 random(version);
    const auto name = [&random] { return base::toHex(random()).substr(0, 8); };
    std::string text = std::string(kVersionPrefix) + std::to_string(version) + R"(,"routes":[)";
    for (int i = 0; i < routes; ++i) {
        text += i == 0 ? "" : ",";
        text += R"({"name":"r-)" + name() + R"(","host":")" + name() + R"(.example","prefix":"/)"
                + name() + R"(/","kind":"streaming","timeout-ms":4000,"target-latency-ms":600,)"
                + R"("priority":0,"service":"huvo11a","max-attempts":1,"allow-anonymous":false,)"
                + R"("sticky":true,"resumable":false,"gap-aim-ms":1000})";
    }
    return text + "]}";
}

fleet::Deployment readTables(const fleet::TableReplicas &tables,
                             const std::shared_ptr<const fleet::Configuration> &)
{
    fleet::Deployment deployment;
    for (const auto &[key, row] : tables.at("deployment").rows()) {
        auto configuration = std::make_shared<fleet::Configuration>();
        configuration->version = std::stoull(row.value.substr(kVersionPrefix.size()));
        deployment.configuration = configuration;
    }
    for (const auto &[key, row] : tables.at("targets").rows())
        deployment.targets.push_back({ .id = key, .pool = row.value });
    return deployment;
}

// An instance that follows the store, or the peer behind a link.
struct Instance
{
    explicit Instance(boost::asio::io_context &ioContext, net::Address peerAddress = {})
        : context(ioContext), peer(std::move(peerAddress)),
          updater(context, store, schema, log,
                  { .published = [](const auto &) {},
                    .pollFollower =
                            [this](const std::string &table, const yield_context &yield) {
                                return poll(table, yield);
                            } },
                  { .longPollTimeout = milliseconds(100),
                    .pollInterval = milliseconds(600),
                    .maxCurrentAge = milliseconds(1500) }),
          fetcher(client, updater, log)
    {
        store.put("deployment", "configuration", makeConfiguration(1, 1));
        store.put("targets", "leaving", "pool");
        updater.start();
    }

    FollowerResult poll(const std::string &table, const yield_context &yield)
    {
        if (peer.port == 0)
            return FollowerResult::NotPolled;
        return fetcher.fetch(peer, table, yield) ? FollowerResult::UpToDate
                                                 : FollowerResult::Failed;
    }
    std::uint64_t configuration() const
    {
        const auto view = updater.view();
        return view->isComplete() ? view->configuration().version : 0;
    }
    bool hasTarget() const { return !updater.view()->targets().empty(); }

    boost::asio::io_context &context;
    net::Address peer;
    FakeStore store;
    fleet::DeploymentSchema schema{ .tables = { "deployment", "targets" },
                                    .targetTable = "targets",
                                    .readDeployment = readTables };
    base::EventLog log{ { .linesPerSecond = 0, .burst = 0 } };
    ViewUpdater updater;
    net::HttpClient client{ context.get_executor(), {} };
    RowFetcher fetcher;
};

struct LinkRow
{
    const char *name;
    double megabitsPerSecond; ///< Link of the instance that sends the rows.
    std::size_t receivers;    ///< Instances that copy from it.
    int routes;
};

// Two instances, with links like these, send the rows to the other 72 of the largest deployment.
constexpr std::array<LinkRow, 3> kLinkRows{ {
        { "one receiver", 10, 1, 1400 },
        { "half of the instances", 10, 36, 1400 },
        { "more routes, better link", 200, 36, 4200 },
} };

bool runFor(boost::asio::io_context &context, milliseconds limit,
            const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        context.run_for(milliseconds(1));
    }
    return true;
}

} // namespace

class RowFetcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RowFetcherTest);
    CPPUNIT_TEST(largeConfigurationArrivesOverNarrowLink);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a configuration that never arrives over a full link, and delays
    // deregistrations.
    void largeConfigurationArrivesOverNarrowLink()
    {
        for (const LinkRow &row : kLinkRows) {
            boost::asio::io_context context;
            Instance sender(context);
            net::HttpServer server(
                    { { &context, peers::makeExchangeHandler(
                                          { .exchangeTable = {},
                                            .entries =
                                                    [&](const peers::EntriesQuery &query) {
                                                        return sender.updater.entries(query);
                                                    } }) } },
                    {});
            std::error_code error;
            server.listen({ "127.0.0.1", 0 }, error);
            CPPUNIT_ASSERT(!error);
            const ThrottledLink link(context, server.localAddress(),
                                     row.megabitsPerSecond * 1e6 / 8);
            std::vector<std::unique_ptr<Instance>> receivers;
            for (std::size_t i = 0; i < row.receivers; ++i)
                receivers.push_back(std::make_unique<Instance>(context, link.address()));
            const auto all = [&](const std::function<bool(const Instance &)> &condition) {
                return std::ranges::all_of(
                        receivers, [&](const auto &receiver) { return condition(*receiver); });
            };
            CPPUNIT_ASSERT_MESSAGE(
                    row.name, runFor(context, milliseconds(5000), [&] {
                        return sender.hasTarget() && all([](const Instance &instance) {
                                   return instance.configuration() == 1 && instance.hasTarget();
                               });
                    }));
            // From here on, the receivers depend on the sender.
            for (const auto &receiver : receivers)
                receiver->store.isUnreachable = true;
            sender.store.put("deployment", "configuration", makeConfiguration(2, row.routes));
            sender.store.erase("targets", "leaving");
            constexpr milliseconds kMaxDelay{ 3000 };
            const auto startedAt = std::chrono::steady_clock::now();
            CPPUNIT_ASSERT_MESSAGE(
                    row.name, runFor(context, kMaxDelay, [&] {
                        return all([](const Instance &instance) { return !instance.hasTarget(); });
                    }));
            const auto left = std::chrono::duration_cast<milliseconds>(
                    startedAt + kMaxDelay - std::chrono::steady_clock::now());
            CPPUNIT_ASSERT_MESSAGE(row.name, runFor(context, left, [&] {
                                       return all([](const Instance &instance) {
                                           return instance.configuration() == 2;
                                       });
                                   }));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowFetcherTest);

} // namespace chervilfield::entry

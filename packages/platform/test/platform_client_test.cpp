#include "platform/platform_client.h"

#include "base/result.h"
#include "net/http_server.h"
#include "platform/platform_service.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace chervilfield::platform {

namespace asio = boost::asio;
using base::Result;
using std::chrono::milliseconds;

class PlatformClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformClientTest);
    CPPUNIT_TEST(writesAreConditional);
    CPPUNIT_TEST(outcomesOfLostResponsesAreFound);
    CPPUNIT_TEST(listIsOrderedAndBounded);
    CPPUNIT_TEST(outagesOfObjectsAndInstancesAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that a write succeeds only with the current version, and that a repeated write succeeds
    // without effect. Guards against two writers that both believe they created the same version.
    void writesAreConditional()
    {
        run([](PlatformClient &client, standins::PlatformService &, asio::yield_context yield) {
            struct Row
            {
                std::uint64_t ifVersion;
                const char *writeId;
                std::error_code expected;
                const char *stored;
            };
            const Row rows[] = {
                { 1, "early", Result::RevisionConflict, nullptr },
                { 0, "a", {}, "a" },
                { 0, "b", Result::RevisionConflict, "a" },
                { 0, "a", {}, "a" }, // Repeats the write that took effect.
                { 1, "c", {}, "c" },
                { 1, "d", Result::RevisionConflict, "c" },
            };
            for (const Row &row : rows) {
                std::error_code error;
                const auto stored = client.write({ .key = "leases/e 1+%",
                                                   .value = row.writeId,
                                                   .ifVersion = row.ifVersion,
                                                   .writeId = row.writeId },
                                                 yield, error);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.writeId, row.expected, error);
                if (row.stored != nullptr)
                    CPPUNIT_ASSERT_EQUAL(std::string(row.stored), stored->writeId);
            }
            std::error_code error;
            const auto row = client.read("leases/e 1+%", yield, error);
            CPPUNIT_ASSERT_EQUAL(std::string("c"), row->value);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), row->version);
            client.read("absent", yield, error);
            CPPUNIT_ASSERT_EQUAL(std::error_code(Result::NotFound), error);
        });
    }

    // Tests the outcome of writes whose response is lost or late. Guards against a write that is
    // reported as failed although it took effect, and against one that is reported as undecided
    // although the row shows its outcome.
    void outcomesOfLostResponsesAreFound()
    {
        struct Row
        {
            const char *name;
            std::function<void(standins::PlatformService &)> fault;
            const char *writeId;
            std::error_code expected;
        };
        const Row rows[] = {
            { "one answer lost", [](auto &service) { service.faults().loseAnswers = 1; }, "a", {} },
            { "answer lost, another's row",
              [](auto &service) {
                  service.store().write("k", 0, { .value = "x", .writeId = "other" });
                  service.faults().loseAnswers = 1;
              },
              "b", Result::RevisionConflict },
            { "answer lost, first read-back stale",
              [](auto &service) {
                  service.faults().loseAnswers = 1;
                  service.faults().staleReads = 1;
              },
              "c",
              {} },
            { "table down", [](auto &service) { service.faults().tableDown = true; }, "d",
              Result::WriteUndecided },
            { "writes take effect after the timeout",
              [](auto &service) { service.faults().delay = milliseconds(150); }, "f",
              Result::WriteUndecided },
            { "every answer lost and every read stale",
              [](auto &service) {
                  service.faults().loseAnswers = -1;
                  service.faults().staleReads = -1;
              },
              "e", Result::WriteUndecided },
        };
        for (const Row &row : rows) {
            run([&](PlatformClient &client, standins::PlatformService &service,
                    asio::yield_context yield) {
                row.fault(service);
                std::error_code error;
                client.write({ .key = "k", .value = "v", .writeId = row.writeId }, yield, error);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected, error);
            });
        }
    }

    // Tests that lists respect the prefix, the start and the limit, and are in order. Guards
    // against log entries that are read out of order or without a limit.
    void listIsOrderedAndBounded()
    {
        run([](PlatformClient &client, standins::PlatformService &service,
               asio::yield_context yield) {
            for (const char *key : { "log/3", "log/1", "log/2", "logs", "a" })
                service.store().write(key, 0, { .value = key, .writeId = "w" });
            struct Row
            {
                TableRange range;
                std::string expected;
            };
            const Row rows[] = {
                { { .prefix = "log/" }, "log/1 log/2 log/3 " },
                { { .prefix = "log/", .after = "log/1" }, "log/2 log/3 " },
                { { .prefix = "log/", .after = "log/3" }, "" },
                { { .prefix = "log/", .limit = 2 }, "log/1 log/2 " },
            };
            for (const Row &row : rows) {
                std::error_code error;
                std::string found;
                for (const TableRow &entry : client.list(row.range, yield, error))
                    found += entry.key + " ";
                CPPUNIT_ASSERT_EQUAL(row.expected, found);
                CPPUNIT_ASSERT(!error);
            }
        });
    }

    // Tests that objects and the instance list are read, and that an outage sets an error. Guards
    // against an outage that looks like an empty response.
    void outagesOfObjectsAndInstancesAreReported()
    {
        run([](PlatformClient &client, standins::PlatformService &service,
               asio::yield_context yield) {
            std::error_code error;
            client.readObject("config/snapshot", yield, error);
            CPPUNIT_ASSERT_EQUAL(std::error_code(Result::NotFound), error);
            client.writeObject("config/snapshot", "content", yield, error);
            CPPUNIT_ASSERT(!error);
            CPPUNIT_ASSERT_EQUAL(std::string("content"),
                                 *client.readObject("config/snapshot", yield, error));
            CPPUNIT_ASSERT(client.instances(yield, error).empty());
            CPPUNIT_ASSERT(!error);
            service.faults().objectsDown = service.faults().instancesDown = true;
            client.readObject("config/snapshot", yield, error);
            CPPUNIT_ASSERT_EQUAL(std::error_code(Result::StoreUnavailable), error);
            client.instances(yield, error);
            CPPUNIT_ASSERT_EQUAL(std::error_code(Result::StoreUnavailable), error);
        });
    }

private:
    using Body =
            std::function<void(PlatformClient &, standins::PlatformService &, asio::yield_context)>;

    /// Runs `body` in a coroutine with a client of a stand-in platform. Both share one thread.
    static void run(const Body &body)
    {
        asio::io_context context;
        standins::PlatformService service(context);
        const auto handler = [&](net::Exchange &exchange, asio::yield_context yield) {
            service.handle(exchange, yield);
        };
        net::HttpServer server({ { &context, handler } }, {});
        std::error_code error;
        server.listen({ "127.0.0.1", 0 }, error);
        CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
        PlatformClient client(context.get_executor(), { .table = server.localAddress(),
                                                        .objects = server.localAddress(),
                                                        .instances = server.localAddress(),
                                                        .timeout = milliseconds(100),
                                                        .writeOutcomeTimeout = milliseconds(500),
                                                        .initialRetryDelay = milliseconds(10) });
        std::exception_ptr failure;
        net::spawnCoroutine(context, "[test]", [&](asio::yield_context yield) {
            try {
                body(client, service, yield);
            } catch (const CppUnit::Exception &) {
                failure = std::current_exception();
            }
            context.stop();
        });
        context.run();
        if (failure)
            std::rethrow_exception(failure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

} // namespace chervilfield::platform

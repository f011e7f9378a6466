#include "admin/admin_api.h"

#include "platform_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::admin {

namespace asio = boost::asio;
using control::PlatformFixture;
using std::chrono::milliseconds;

class AdminApiTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdminApiTest);
    CPPUNIT_TEST(requestsGetTheDocumentedResponse);
    CPPUNIT_TEST(copiesReachTheObjectService);
    CPPUNIT_TEST(timeLinesAreMergedByStamp);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that each request gets the documented status and body, also if the response to a write
    // is lost or the table is down. Guards against an operator who is told the wrong outcome of a
    // change, and against reads that do not see a change that was accepted before.
    void requestsGetTheDocumentedResponse()
    {
        struct Row
        {
            const char *method;
            const char *target;
            const char *body;
            int status;
            const char *expectedPart; ///< Text that the body of the response must contain.
        };
        const char *pool = R"({"ifRevision":0,"writeId":"w1","upserts":[
            {"resource":"pool","name":"p","model":"m","weights":"v"}]})";
        const char *invalid = R"({"ifRevision":1,"writeId":"w3","upserts":[
            {"resource":"pool","name":"p"}]})";
        const Row rows[] = {
            { "GET", "/admin/v1/status", "", 200,
              R"({"revision":0,"highestKnown":0,"instances":[)"
              R"({"instance":"i1","dataCentre":"leon","revision":0},)"
              R"({"instance":"i2","dataCentre":"celaya","revision":7}]})" },
            { "POST", "/admin/v1/apply?dryRun=true", pool, 200, R"("difference":"added")" },
            { "GET", "/admin/v1/pools", "", 200, R"({"revision":0,"resources":[]})" },
            { "POST", "/admin/v1/apply", pool, 200, R"({"revision":1,"dryRun":false,)" },
            { "GET", "/admin/v1/pools?name=p", "", 200, R"("name":"p")" },
            { "GET", "/admin/v1/resources", "", 200, R"({"revision":1,"resources":[{)" },
            { "GET", "/admin/v1/targets", "", 200, R"("resources":[]})" },
            { "GET", "/admin/v1/pools?name=x", "", 404, R"("name":"not-found")" },
            { "POST", "/admin/v1/apply", pool, 200, R"({"revision":1,)" },
            { "POST", "/admin/v1/apply", R"({"ifRevision":0,"writeId":"w2"})", 409,
              R"("work":"not-run"},"revision":1)" },
            { "POST", "/admin/v1/apply", invalid, 422, R"("field":"weights")" },
            { "POST", "/admin/v1/apply", "{", 422, "expected JSON" },
            { "POST", "/admin/v1/apply", R"({"upserts":[]})", 422, R"("field":"writeId")" },
            { "GET", "/admin/v1/timeline", "", 200, R"("kind":"configuration-in-force")" },
            { "GET", "/admin/v1/timeline?after=x", "", 400, "found 'x'" },
            { "GET", "/admin/v1/explain", "", 404, "not-found" },
            { "POST", "/admin/v1/drain", "", 200, R"({"draining":true})" },
            { "GET", "/admin/v1/drain", "", 405, "method-not-allowed" },
            { "GET", "/admin/v1/other", "", 404, "unknown-path" },
            { "GET", "/other", "", 404, "unknown-path" },
        };
        withApi([&](AdminApi &api, PlatformFixture &fixture, asio::yield_context yield) {
            for (const Row &row : rows) {
                const auto response = api.handle(
                        { .method = row.method, .target = row.target, .body = row.body }, yield);
                const std::string context = std::string(row.target) + " -> " + response.body;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, row.status, response.status);
                CPPUNIT_ASSERT_MESSAGE(context,
                                       response.body.find(row.expectedPart) != std::string::npos);
            }
            CPPUNIT_ASSERT_EQUAL(1, drainCount_);
            fixture.service.faults().loseAnswers = -1;
            fixture.service.faults().staleReads = -1;
            const auto lost = api.handle({ .method = "POST",
                                           .target = "/admin/v1/apply",
                                           .body = R"({"ifRevision":1,"writeId":"w9","upserts":[],
                                                      "deletes":[{"resource":"pool","name":"p"}]})" },
                                         yield);
            CPPUNIT_ASSERT_MESSAGE(lost.body,
                                   lost.body.find(R"("work":"unknown")") != std::string::npos);
            fixture.service.faults().tableDown = true;
            const auto down = api.handle(
                    { .method = "POST", .target = "/admin/v1/apply", .body = invalid }, yield);
            CPPUNIT_ASSERT_EQUAL(503, down.status);
            CPPUNIT_ASSERT(down.body.find(R"("work":"not-run")") != std::string::npos);
        });
    }

    // Tests that accepted changes and snapshots are copied to the object service. Guards against an
    // instance that starts during an outage of the table and then lacks accepted changes.
    void copiesReachTheObjectService()
    {
        withApi([](AdminApi &api, PlatformFixture &fixture, asio::yield_context yield) {
            for (const char *body : { R"({"ifRevision":0,"writeId":"w1","upserts":[
                       {"resource":"intent","name":"a","model":"m"}]})",
                                      R"({"ifRevision":1,"writeId":"w2","upserts":[
                       {"resource":"intent","name":"b","model":"m"}]})" }) {
                const auto response = api.handle(
                        { .method = "POST", .target = "/admin/v1/apply", .body = body }, yield);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200, response.status);
            }
            // Two entries, and one snapshot because `snapshotInterval` is two revisions.
            CPPUNIT_ASSERT(fixture.waitUntil(
                    [&] { return fixture.service.counters().objectWrites == 3; }, yield));
        });
    }

    // Tests that the events of several instances are returned in the order of their timestamps and
    // that a malformed time line is skipped. Guards against events of other instances out of order,
    // and against one instance with a malformed response that hides the others.
    void timeLinesAreMergedByStamp()
    {
        withApi([](AdminApi &api, PlatformFixture &, asio::yield_context yield) {
            const auto response = api.handle({ .target = "/admin/v1/timeline" }, yield);
            const std::size_t early = response.body.find("early");
            const std::size_t late = response.body.find("late");
            CPPUNIT_ASSERT_MESSAGE(response.body, early < late && late != std::string::npos);
        });
    }

private:
    using Body = std::function<void(AdminApi &, PlatformFixture &, asio::yield_context)>;

    /// Runs `body` with an API that has one peer, two peer time lines and a malformed one.
    void withApi(const Body &body)
    {
        PlatformFixture fixture;
        control::ControlSystem system;
        base::HybridClock clock;
        base::TimeLine timeLine("i1", 100, clock);
        control::ConfigurationControl control(system, { .timeLine = &timeLine });
        platform::PlatformClient platform(fixture.context.get_executor(),
                                          fixture.options(milliseconds(200)));
        control::ConfigurationLog log(platform, { .snapshotInterval = 2 });
        AdminApi api(fixture.context, control, log,
                     { .self = { .instance = "i1", .dataCentre = "leon" },
                       .peers =
                               [] {
                                   return std::vector<InstanceStatus>{ { "i2", "celaya", 7 } };
                               },
                       .drain = [this] { ++drainCount_; },
                       .timeLine = &timeLine,
                       .peerTimeLines =
                               [](const auto &, auto) {
                                   return std::vector<std::string>{
                                       R"({"events":[{"wallMs":9,"counter":0,"kind":"late"}]})",
                                       "not a time line",
                                       R"({"events":[{"wallMs":8,"counter":2,"kind":"early"}]})",
                                   };
                               } });
        fixture.run({ [&](asio::yield_context yield) { body(api, fixture, yield); } });
    }

    int drainCount_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdminApiTest);

} // namespace chervilfield::admin

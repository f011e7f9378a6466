#include "ctl/commands.h"

#include "admin/admin_api.h"
#include "platform_fixture.h"

#include <boost/asio/executor_work_guard.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

namespace chervilfield::ctl {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

std::optional<Options> parse(std::vector<std::string> arguments, std::string &error)
{
    arguments.insert(arguments.begin(), "chervilfieldctl");
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string &argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    return parseOptions(static_cast<int>(arguments.size()), argv.data(), error);
}

/// A file with the given content. The destructor removes it.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content)
    {
        const int descriptor = mkstemp(name_.data());
        CPPUNIT_ASSERT(descriptor >= 0);
        close(descriptor);
        std::ofstream(name_) << content;
    }
    ~TemporaryFile() { std::remove(name_.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &name() const { return name_; }

private:
    std::string name_ = "/tmp/chervilfieldctl_test_XXXXXX";
};

} // namespace

class CommandsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommandsTest);
    CPPUNIT_TEST(wrongCommandLinesAreRefused);
    CPPUNIT_TEST(commandsReportTheirOutcome);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that invalid command lines are rejected with a message that names the fault. Guards
    // against a mistyped command line that runs another command or ignores an option.
    void wrongCommandLinesAreRefused()
    {
        struct Row
        {
            std::vector<std::string> arguments;
            std::string error; ///< Empty if the command line is valid.
        };
        const Row rows[] = {
            { { "--help" }, "" },
            { { "--version" }, "" },
            { { "-s", "127.0.0.1:1", "get", "pools", "p" }, "" },
            { { "status", "--wait", "--server", "127.0.0.1:1", "--output", "json" }, "" },
            { { "apply", "-f", "x", "--check" }, "" },
            { {}, "expected a command, found none" },
            { { "aply" }, "expected a command, found 'aply'" },
            { { "status" }, "status: expected --server ADDRESS:PORT, found none" },
            { { "-s", "localhost:1", "status" },
              "--server: expected a numeric address and port, found 'localhost:1'" },
            { { "-s", "127.0.0.1:1", "apply" }, "apply: expected -f FILE, found none" },
            { { "-s", "127.0.0.1:1", "delete", "pool" },
              "delete: expected another number of arguments, found '1'" },
            { { "--output", "xml", "status" }, "--output: expected json or text, found 'xml'" },
            { { "--timeout", "0", "status" },
              "--timeout: expected a number of seconds, found '0'" },
            { { "--if-revision", "x", "status" }, "--if-revision: expected a number, found 'x'" },
            { { "--wiat", "status" }, "expected a known option with its value, found '--wiat'" },
        };
        for (const Row &row : rows) {
            std::string error;
            const auto options = parse(row.arguments, error);
            CPPUNIT_ASSERT_EQUAL(row.error, error);
            CPPUNIT_ASSERT_EQUAL(row.error.empty(), options.has_value());
        }
    }

    // Tests the exit code and output of each command against a daemon, run in this order. Guards
    // against a script that is told the wrong outcome.
    void commandsReportTheirOutcome()
    {
        const TemporaryFile good(R"([{"resource":"pool","name":"p","model":"m","weights":"v"}])");
        const TemporaryFile invalid(R"([{"resource":"pool","name":"p"}])");
        const TemporaryFile malformed(R"([{"resource":"pool","name":"p","modell":"m"}])");
        struct Row
        {
            std::vector<std::string> arguments;
            ExitCode code;
            std::string expectedPart; ///< Text that the output or the errors must contain.
        };
        const Row rows[] = {
            { { "apply", "-f", good.name(), "--check" }, ExitCode::Ok, "" },
            { { "apply", "-f", invalid.name(), "--check" }, ExitCode::Invalid, "pool/p: model" },
            { { "diff", "-f", good.name() }, ExitCode::Ok, "would be revision 1" },
            { { "apply", "-f", good.name(), "--dry-run" }, ExitCode::Ok, "added\tpool\tp" },
            { { "get", "pools" }, ExitCode::Ok, "" },
            { { "apply", "-f", good.name() }, ExitCode::Ok, "revision 1" },
            { { "apply", "-f", good.name(), "--if-revision", "1", "--write-id", "again" },
              ExitCode::Ok,
              "revision 2" },
            { { "apply", "-f", good.name(), "--if-revision", "1", "--write-id", "again" },
              ExitCode::Ok,
              "revision 2" },
            { { "apply", "-f", good.name(), "--if-revision", "0" },
              ExitCode::Conflict,
              "work not-run" },
            { { "apply", "-f", invalid.name() }, ExitCode::Invalid, "pool/p\tweights" },
            { { "apply", "-f", malformed.name() }, ExitCode::Invalid, "modell: expected a known" },
            { { "apply", "-f", "/nonexistent" }, ExitCode::Usage, "expected a readable file" },
            { { "get", "pools", "p" }, ExitCode::Ok, R"("name":"p")" },
            { { "get", "pools", "x" }, ExitCode::NotFound, "not-found" },
            { { "-o", "json", "get" }, ExitCode::Ok, R"({"revision":2,"resources")" },
            { { "delete", "pol", "p" }, ExitCode::Usage, "found 'pol'" },
            { { "delete", "pool", "x" }, ExitCode::Invalid, "pool/x" },
            { { "delete", "pool", "p" }, ExitCode::Ok, "removed\tpool\tp" },
            { { "status" }, ExitCode::Ok, "i1\tleon\t3" },
            { { "status", "--wait", "-t", "1" }, ExitCode::TimedOut, "not in force everywhere" },
            { { "timeline" }, ExitCode::Ok, "configuration-in-force\t3" },
            { { "explain", "model" }, ExitCode::Usage, "expected KEY=VALUE" },
            { { "explain", "model=m" }, ExitCode::NotFound, "not-found" },
            { { "drain" }, ExitCode::NotFound, "not-found" },
            { { "-s", "127.0.0.1:1", "apply", "-f", good.name() },
              ExitCode::Unavailable,
              "does not answer" },
        };
        withDaemon([&](const net::Address &server) {
            for (const Row &row : rows) {
                std::vector<std::string> arguments{ "-s", toString(server) };
                arguments.insert(arguments.end(), row.arguments.begin(), row.arguments.end());
                std::string error;
                const auto options = parse(arguments, error);
                CPPUNIT_ASSERT_MESSAGE(error, options.has_value());
                std::ostringstream text;
                const ExitCode code = run(*options, text, text);
                const std::string context = row.arguments.front() + ": " + text.str();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, static_cast<int>(row.code),
                                             static_cast<int>(code));
                CPPUNIT_ASSERT_MESSAGE(context,
                                       text.str().find(row.expectedPart) != std::string::npos);
            }
        });
    }

private:
    /// Serves the administration API on a separate thread while `body` runs on the calling thread.
    static void withDaemon(const std::function<void(const net::Address &)> &body)
    {
        control::PlatformFixture fixture;
        control::ControlSystem system;
        base::HybridClock clock;
        base::TimeLine timeLine("i1", 100, clock);
        control::ConfigurationControl control(system, { .timeLine = &timeLine });
        platform::PlatformClient platform(fixture.context.get_executor(),
                                          fixture.options(milliseconds(500)));
        control::ConfigurationLog log(platform, {});
        admin::AdminApi api(
                fixture.context, control, log,
                { .self = { .instance = "i1", .dataCentre = "leon" },
                  .peers =
                          [] {
                              return std::vector<admin::InstanceStatus>{ { "i2", "leon", 0 } };
                          },
                  .timeLine = &timeLine });
        net::HttpServer server({ { &fixture.context, api.handler() } }, {});
        std::error_code error;
        server.listen({ "127.0.0.1", 0 }, error);
        CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
        std::thread thread([&] { fixture.context.run(); });
        std::exception_ptr failure;
        try {
            body(server.localAddress());
        } catch (const CppUnit::Exception &) {
            failure = std::current_exception();
        }
        fixture.context.stop();
        thread.join();
        if (failure)
            std::rethrow_exception(failure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandsTest);

} // namespace chervilfield::ctl

// The collector of the daemon's logs stops reading for a while. One caller sends bodies over
// max-body-bytes meanwhile, which are refused and logged.
#include "../lib3/rig.h"

#include <array>

namespace {

constexpr double kTimeout = 1.5; ///< timeout-ms of the route, in seconds.
constexpr double kSlack = 0.5;   ///< Slack of the rule, in seconds.
/// Time for which the collector does not read before the daemon is watched, at most, in seconds.
constexpr double kMaxStall = 75;
constexpr double kWatchTime = 10; ///< Time for which the callers' answers are counted, in seconds.
constexpr int kCallers = 12;

std::string configuration()
{
    return R"({"version":3,"routes":[{"name":"r1","host":"app.example","prefix":"/app/",)"
           R"("kind":"idempotent","timeout-ms":1500,"target-latency-ms":300,"priority":2,)"
           R"("service":"app","max-attempts":2,"allow-anonymous":false,"sticky":false,)"
           R"("resumable":false}],"services":[{"name":"app","health-path":"/health",)"
           R"("max-connections":100,"protocol":"h1","tls":false}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":65536,)"
           R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
           R"("tenants":[{"name":"t1","api-keys":["key1"],"priority":1,"dedicated":false}]})";
}

// Reads the daemon's standard output and standard error, which are one pipe.
struct Collector
{
    std::array<int, 2> ends{};
    std::atomic<bool> isReading{ true };
    std::atomic<std::size_t> bytes{ 0 };

    void start()
    {
        if (pipe2(ends.data(), O_CLOEXEC) != 0)
            exit(2);
        std::thread([this] { run(); }).detach();
    }

    void run()
    {
        std::array<char, 65536> buffer{};
        while (true) {
            pollfd request{ ends[0], POLLIN, 0 };
            if (!isReading || poll(&request, 1, 10) != 1) {
                rig::sleepFor(0.01);
                continue;
            }
            const ssize_t count = read(ends[0], buffer.data(), buffer.size());
            if (count <= 0)
                return;
            bytes += static_cast<std::size_t>(count);
        }
    }
};

enum Phase { Before, Stalled, Watched, Resumed, PhaseCount };

// Callers that send about 70 proper requests a second, each on a connection of its own.
struct Callers
{
    struct Count
    {
        std::atomic<int> sent{ 0 }, answered{ 0 };
    };

    rig::Address address;
    std::array<Count, PhaseCount> counts; ///< By the phase in which the requests were sent.
    std::atomic<int> phase{ Before };
    std::atomic<int> number{ 0 };

    void start()
    {
        for (int i = 0; i < kCallers; ++i)
            std::thread([this] { run(); }).detach();
    }

    void run()
    {
        while (true) {
            Count &count = counts.at(static_cast<std::size_t>(phase.load()));
            ++count.sent;
            const auto response = rig::call(
                    address,
                    "GET /app/look HTTP/1.1\r\nHost: app.example\r\nRequest-Id: req"
                            + std::to_string(number++)
                            + "\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key1\r\n\r\n",
                    kTimeout + kSlack);
            count.answered += response && response->complete ? 1 : 0;
            rig::sleepFor(0.15);
        }
    }

    void report(const char *text, Phase of)
    {
        const Count &count = counts.at(of);
        rig::record("%s: %d requests, %d answered within %.1f s", text, count.sent.load(),
                    count.answered.load(), kTimeout + kSlack);
    }
};

// Sends a body over max-body-bytes about every second until one gets no answer.
void sendLargeBodies(const rig::Address &address, double maxTime)
{
    int refusals = 0;
    bool isAnswered = true;
    const double begin = rig::now();
    while (isAnswered && rig::now() < begin + maxTime) {
        const auto refusal =
                rig::call(address,
                          "POST /app/look HTTP/1.1\r\nHost: app.example\r\nRequest-Id: large\r\n"
                          "Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\n"
                          "Content-Length: 70000\r\n\r\n",
                          3);
        isAnswered = refusal.has_value();
        refusals += isAnswered && refusal->status() == 413 ? 1 : 0;
        rig::sleepFor(1.05);
    }
    rig::record("%.0f s later: %d bodies over max-body-bytes got 413, the last one got %s",
                rig::now() - begin, refusals, isAnswered ? "it, too" : "no answer");
}

} // namespace

int main(int, char **argv)
{
    const std::string folder = argv[1], program = argv[2], temporary = argv[3];
    rig::begin(folder);
    const bool trouble = rig::hasTrouble();
    rig::Server runner;
    runner.start(rig::ownHost(2), [](int fd, const rig::Message &request) {
        const std::string id = request.header("Request-Id");
        if (request.header("Expect-Instance") != "i-app1" || id.empty())
            return rig::answer(fd, 421, "Not-Executed: 1\r\nRequest-Id: " + id + "\r\n", "");
        rig::sleepFor(0.03);
        return rig::answer(fd, 200, "Request-Id: " + id + "\r\nResponse-Seal: s." + id + "\r\n",
                           "done");
    });
    rig::Store store;
    store.start(rig::ownHost(1));
    store.put("servers", "i-app1", rig::registration("app", runner.address));
    store.put("op", "config", configuration());
    Collector collector;
    collector.start();
    const rig::Listen listen = rig::freeListen(rig::ownHost(3));
    rig::Daemon daemon;
    daemon.start(program, temporary + "/settings.toml",
                 rig::settings("edge-leon-a-1", listen, store.address(), { listen.peers }),
                 collector.ends[1]);
    if (!rig::waitReady(listen.ready, 10)) {
        rig::record("the daemon is not ready");
        rig::finish(daemon, 2);
    }
    rig::sleepFor(1);

    Callers callers;
    callers.address = listen.callers;
    callers.start();
    rig::sleepFor(3);
    callers.phase = Stalled;
    callers.report("before", Before);
    collector.isReading = !trouble;
    rig::record("the collector %s, %zu bytes of logs so far",
                trouble ? "stops reading" : "reads on", collector.bytes.load());
    sendLargeBodies(listen.callers, kMaxStall);
    callers.report("until then", Stalled);
    callers.phase = Watched;
    rig::sleepFor(kWatchTime);
    callers.phase = Resumed;
    rig::sleepFor(kTimeout + kSlack + 0.5);
    const std::string head = "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
    const auto ready = rig::call(listen.ready, head, 1);
    rig::record("readiness says %d", ready ? ready->status() : 0);
    callers.report("in the 10 s after that", Watched);
    collector.isReading = true;
    rig::sleepFor(3);
    callers.report("at the end, when the collector reads again", Resumed);
    const auto &watched = callers.counts.at(Watched);
    const bool isBroken = watched.answered * 2 < watched.sent;
    rig::record("more than half unanswered 0.5 s after timeout-ms: %s (CONFIG)",
                isBroken ? "yes" : "no");
    rig::finish(daemon, isBroken ? 1 : 0);
}

// The reader of a daemon's logs stands still, and a client sends trailers without end.

#include "../lib2/world.h"

namespace {

using namespace review;

constexpr Milliseconds kRouteTimeout{ 2000 };
constexpr Milliseconds kExcess{ 500 }; ///< Time after the route's timeout in which an answer is due.

const std::string kConfiguration =
        R"({"version":7,"routes":[{"name":"r-look","host":"review.example","prefix":"/look/",)"
        R"("kind":"streaming","timeout-ms":2000,"target-latency-ms":600,"priority":0,)"
        R"("service":"engines","max-attempts":2,"allow-anonymous":false,"sticky":true,)"
        R"("resumable":true,"gap-aim-ms":800}],"services":[{"name":"engines",)"
        R"("health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"engine":)"
        R"({"slots":64,"kv-tokens":138640,"kv-token-bytes":18432,"link-mbps":740000.0,)"
        R"("max-inflight":12,"models":[{"name":"m-review"}]}}],"limits":{"max-header-bytes":16384,)"
        R"("max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":)"
        R"([{"name":"shop","api-keys":["key-shop-1"],"priority":1,"dedicated":false}]})";

Request makeRequest(const std::string &id)
{
    return { .method = "POST",
             .target = "/look/answer",
             .headers = { { "Host", "review.example" },
                          { "Request-Id", id },
                          { "Model", "m-review" },
                          { "Token-Usage", "300,10" },
                          { "Prompt-Prefix", "aa01:200,ee01:100" },
                          { "Deadline-Ms", "4000" },
                          { "Authorization", "Bearer key-shop-1" } },
             .body = "prompt" };
}

// Starts a process that reads the pipe and discards what it reads.
pid_t startReader(int readEnd, int writeEnd)
{
    const pid_t pid = ::fork();
    if (pid != 0)
        return pid;
    endWithParent();
    ::close(writeEnd);
    char bytes[4096];
    while (::read(readEnd, bytes, sizeof bytes) > 0) {
    }
    ::_exit(0);
}

class Case
{
public:
    int run()
    {
        record_.write(hasTrouble() ? "the reader of the logs will be stopped" : "no trouble");
        store_.put("servers", runner_.id(), runner_.registration("engines", "zone-a"));
        store_.put("op", "config", kConfiguration);
        store_.put("op", "version/m-review", R"({"model":"m-review","version":1})");
        int ends[2];
        if (::pipe(ends) != 0)
            return kCannotRun;
        const pid_t reader = startReader(ends[0], ends[1]);
        daemon_.start({ daemon_.peerPort() }, ends[1]);
        ::close(ends[0]);
        ::close(ends[1]);
        const int status = daemon_.waitUntilReady(std::chrono::seconds(20)) ? play(reader) : -1;
        ::kill(reader, SIGKILL);
        ::waitpid(reader, nullptr, 0);
        if (status < 0)
            record_.write("cannot run: the instance was not ready or served nothing");
        return status < 0 ? kCannotRun : status;
    }

private:
    int play(pid_t reader)
    {
        std::this_thread::sleep_for(std::chrono::seconds(2));
        if (countServed("before", 100) < 90)
            return -1;
        if (hasTrouble()) {
            ::kill(reader, SIGSTOP);
            record_.write("the reader of the logs stands still");
        }
        // The log lines of these requests fill the pipe.
        const int servedAfterStop = countServed("after-stop", 200);
        record_.write(std::to_string(servedAfterStop) + " of 200 requests served while the reader "
                      + (hasTrouble() ? "stands still" : "works"));
        // Each refusal writes one short line; the pipe has room for about forty of them.
        for (int i = 0; i < 50 && sendEndlessTrailer(i); ++i) {
            std::this_thread::sleep_for(Milliseconds(1050));
        }
        return judge();
    }

    // Sends a chunked body with a trailer that does not end until it is refused. Returns false if
    // there is no answer.
    bool sendEndlessTrailer(int number)
    {
        const std::string id = "trailer-" + std::to_string(number);
        const auto client = Connection::open("127.0.0.1", daemon_.callerPort(), kRouteTimeout);
        if (client == nullptr)
            return false;
        Request request = makeRequest(id);
        request.headers.emplace("Transfer-Encoding", "chunked");
        std::string bytes = "POST /look/answer HTTP/1.1\r\n" + encodeHeaders(request.headers)
                            + "\r\n6\r\nprompt\r\n0\r\n";
        for (int i = 0; i < 1500; ++i)
            bytes += "Trailer-Field-" + std::to_string(i) + ": value\r\n";
        client->write(bytes, kRouteTimeout);
        const Response refusal = readResponse(*client, kRouteTimeout);
        record_.write(id + " is answered " + std::to_string(refusal.status) + " " + refusal.problem);
        return refusal.problem != "timeout";
    }

    int countServed(const std::string &name, int count)
    {
        int served = 0;
        for (int i = 0; i < count; ++i) {
            const std::string id = name + "-" + std::to_string(i);
            const Response response = call("127.0.0.1", daemon_.callerPort(), makeRequest(id),
                                           kRouteTimeout + kExcess);
            served += response.status == 200 && response.isComplete ? 1 : 0;
            record_.write(id + " is answered " + std::to_string(response.status) + " "
                          + response.problem);
        }
        return served;
    }

    // Sends ordinary requests, each on a new connection. CONFIG: of those that are unanswered at
    // the timeout of their route, more than half have no answer half a second later.
    int judge()
    {
        std::atomic<int> late{ 0 };
        std::atomic<int> unanswered{ 0 };
        std::vector<std::thread> clients;
        for (int i = 0; i < 40; ++i) {
            clients.emplace_back([&, i] {
                const std::string id = "judged-" + std::to_string(i);
                const Response response = call("127.0.0.1", daemon_.callerPort(), makeRequest(id),
                                               kRouteTimeout + kExcess);
                late += response.isComplete && response.took <= kRouteTimeout ? 0 : 1;
                unanswered += response.isComplete ? 0 : 1;
                record_.write(id + " is answered " + std::to_string(response.status) + " after "
                              + std::to_string(response.took.count()) + " ms " + response.problem);
            });
            std::this_thread::sleep_for(Milliseconds(50));
        }
        for (std::thread &client : clients)
            client.join();
        record_.write("of 40 requests, " + std::to_string(late)
                      + " were unanswered at the timeout of their route, and "
                      + std::to_string(unanswered) + " half a second later; the instance is "
                      + (daemon_.isRunning() ? "running" : "gone") + " and says that it is "
                      + (daemon_.isReady() ? "ready" : "not ready"));
        return late >= 8 && unanswered * 2 > late ? kBroken : kHeld;
    }

    Record record_{ "review/7/record.txt" };
    TemporaryFolder folder_;
    Store store_{ "127.0.0.1", record_ };
    Runner runner_{ "127.0.0.1", "i-1", "m-review", record_ };
    Daemon daemon_{ { .name = "edge-1", .zone = "zone-a", .storeAddress = store_.address() },
                    folder_.path() };
};

} // namespace

int main()
{
    int status = kCannotRun;
    {
        Case review;
        status = review.run();
    }
    std::cout << (status == kBroken ? "broken" : status == kHeld ? "held" : "cannot run") << '\n';
    std::cout.flush();
    std::_Exit(status);
}

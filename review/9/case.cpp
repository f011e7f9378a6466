// A key is taken away. Its requester goes on with it on a route that needs no key.

#include "../lib2/world.h"

namespace {

using namespace review;

constexpr auto kModel = "m-review";

std::string configuration(int version, bool hasOldKey)
{
    const std::string route =
            R"("kind":"streaming","timeout-ms":4000,"target-latency-ms":600,"priority":0,)"
            R"("service":"engines","max-attempts":2,"sticky":true,"resumable":true,"gap-aim-ms":800)";
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"r-open","host":"review.example","prefix":"/open/",)" + route
           + R"(,"allow-anonymous":true},{"name":"r-keys","host":"review.example","prefix":"/keys/",)"
           + route
           + R"(,"allow-anonymous":false}],"services":[{"name":"engines","health-path":"/health",)"
             R"("max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,)"
             R"("kv-tokens":138640,"kv-token-bytes":18432,"link-mbps":740000.0,"max-inflight":12,)"
             R"("models":[{"name":"m-review"}]}}],"limits":{"max-header-bytes":16384,)"
             R"("max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
             R"("tenants":[{"name":"studio","api-keys":[)"
           + (hasOldKey ? R"("key-studio-1",)" : "")
           + R"("key-studio-2"],"priority":1,"dedicated":true},)"
             R"({"name":"shop","api-keys":["key-shop-1"],"priority":1,"dedicated":false}]})";
}

Request makeRequest(const std::string &id, const std::string &path)
{
    return { .method = "POST",
             .target = path,
             .headers = { { "Host", "review.example" },
                          { "Request-Id", id },
                          { "Model", kModel },
                          { "Token-Usage", "1700,10" },
                          { "Prompt-Prefix",
                            "aa01:1500,ee" + id.substr(id.find('-') + 1) + ":200" },
                          { "Deadline-Ms", "3000" },
                          { "Authorization", "Bearer key-studio-1" } },
             .body = "prompt" };
}

class Case
{
public:
    int run()
    {
        const bool trouble = hasTrouble();
        record_.write(trouble ? "the key will be taken away" : "no trouble");
        for (int i = 0; i < 3; ++i) {
            runners_.push_back(std::make_unique<Runner>("127.0.0.1", "i-" + std::to_string(i),
                                                        kModel, record_));
            runners_.back()->pieceInterval = Milliseconds(1);
            store_.put("servers", runners_.back()->id(),
                       runners_.back()->registration("engines", "zone-a"));
        }
        store_.put("op", "config", configuration(7, true));
        store_.put("op", std::string("version/") + kModel, R"({"model":"m-review","version":1})");
        std::vector<int> seeds;
        for (int i = 0; i < 3; ++i) {
            daemons_.push_back(std::make_unique<Daemon>(
                    Daemon::Options{ .name = "edge-" + std::to_string(i + 1),
                                     .zone = "zone-a",
                                     .storeAddress = store_.address() },
                    folder_.path()));
            seeds.push_back(daemons_.back()->peerPort());
        }
        for (auto &daemon : daemons_)
            daemon->start(seeds);
        for (auto &daemon : daemons_) {
            if (!daemon->waitUntilReady(std::chrono::seconds(20)))
                return cannotRun("an instance is not ready");
        }
        // The instances find each other and settle.
        std::this_thread::sleep_for(std::chrono::seconds(6));
        send("before", "/open/answer", std::chrono::seconds(1));
        if (served_ < 30)
            return cannotRun("too few requests were served before");
        if (trouble) {
            store_.put("op", "config", configuration(9, false));
            record_.write("the store confirms version 9, in which key-studio-1 is taken away");
        }
        // `config-apply-ms` is 2,000.
        std::this_thread::sleep_for(Milliseconds(3000));
        send("open", "/open/answer", std::chrono::seconds(2));
        send("keyed", "/keys/answer", std::chrono::seconds(1));
        return judge(trouble);
    }

private:
    int cannotRun(const std::string &reason)
    {
        record_.write("cannot run: " + reason);
        return kCannotRun;
    }

    // Sends requests one after the other to each of the instances, to all of them at once.
    void send(const std::string &name, const std::string &path, Milliseconds time)
    {
        const auto end = Clock::now() + time;
        std::vector<std::thread> clients;
        clients.reserve(64);
        for (std::size_t instance = 0; instance < daemons_.size(); ++instance) {
            clients.emplace_back([&, instance] {
                for (int i = 0; Clock::now() < end; ++i) {
                    const std::string id =
                            name + "-" + std::to_string(instance + 1) + std::to_string(1000 + i);
                    const Response response = call("127.0.0.1", daemons_[instance]->callerPort(),
                                                   makeRequest(id, path), Milliseconds(3000));
                    record_.write(id + ", with key-studio-1 to instance "
                                  + std::to_string(instance + 1) + ", is answered "
                                  + std::to_string(response.status)
                                  + (response.isComplete ? "" : ", not complete"));
                    served_ += response.status == 200 && response.isComplete ? 1 : 0;
                    std::this_thread::sleep_for(Milliseconds(20));
                }
            });
        }
        for (std::thread &client : clients)
            client.join();
    }

    int judge(bool trouble)
    {
        int open = 0;
        int keyed = 0;
        for (auto &runner : runners_) {
            for (const Run &run : runner->runs()) {
                open += run.request.starts_with("open-") ? 1 : 0;
                keyed += run.request.starts_with("keyed-") ? 1 : 0;
            }
        }
        record_.write(std::to_string(open) + " requests ran on the open route and "
                      + std::to_string(keyed) + " on the one that needs a key, all with a key that "
                      + (trouble ? "was taken away at least 3 s before" : "is valid"));
        if (!trouble)
            return open > 0 && keyed > 0 ? kHeld : kCannotRun;
        return open + keyed > 0 ? kBroken : kHeld;
    }

    Record record_{ "review/9/record.txt" };
    TemporaryFolder folder_;
    Store store_{ "127.0.0.1" };
    std::vector<std::unique_ptr<Runner>> runners_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::atomic<int> served_{ 0 };
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
    std::_Exit(status);
}

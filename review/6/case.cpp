// A dedicated tenant's key is replaced by another one. Its requesters use a route that needs no
// key.

#include "../lib2/world.h"

namespace {

using namespace review;

constexpr auto kModel = "m-review";

// Keys of the tenant studio before, during and after the change.
const std::string kOldKey = R"("key-studio-1")";
const std::string kBothKeys = R"("key-studio-1","key-studio-2")";
const std::string kNewKey = R"("key-studio-2")";

std::string configuration(int version, const std::string &studioKeys)
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
           + studioKeys
           + R"(],"priority":1,"dedicated":true},)"
             R"({"name":"shop","api-keys":["key-shop-1"],"priority":1,"dedicated":false}]})";
}

Request makeRequest(const std::string &id, const std::string &key)
{
    return { .method = "POST",
             .target = "/open/answer",
             .headers = { { "Host", "review.example" },
                          { "Request-Id", id },
                          { "Model", kModel },
                          { "Token-Usage", "1700,10" },
                          { "Prompt-Prefix",
                            "aa01:1500,ee" + id.substr(id.find('-') + 1) + ":200" },
                          { "Deadline-Ms", "3000" },
                          { "Authorization", "Bearer " + key } },
             .body = "prompt" };
}

class Case
{
public:
    int run()
    {
        const bool trouble = hasTrouble();
        record_.write(trouble ? "with the change of the configuration" : "without the change");
        for (int i = 0; i < 3; ++i) {
            runners_.push_back(std::make_unique<Runner>("127.0.0.1", "i-" + std::to_string(i),
                                                        kModel, record_));
            runners_.back()->pieceInterval = Milliseconds(1);
            store_.put("servers", runners_.back()->id(),
                       runners_.back()->registration("engines", "zone-a"));
        }
        store_.put("op", "config", configuration(7, trouble ? kOldKey : kBothKeys));
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
        if (trouble) {
            store_.put("op", "config", configuration(9, kNewKey));
            record_.write(
                    "the store confirms version 9, in which key-studio-2 replaces key-studio-1");
        }
        send("studio", "key-studio-2", std::chrono::seconds(3));
        send("shop", "key-shop-1", std::chrono::seconds(3));
        send("dropped", "key-studio-1", Milliseconds(500));
        return judge();
    }

private:
    int cannotRun(const std::string &reason)
    {
        record_.write("cannot run: " + reason);
        return kCannotRun;
    }

    // Sends requests one after the other to each of the instances, to all of them at once.
    void send(const std::string &tenant, const std::string &key, Milliseconds time)
    {
        const auto end = Clock::now() + time;
        std::vector<std::thread> clients;
        clients.reserve(64);
        for (std::size_t instance = 0; instance < daemons_.size(); ++instance) {
            clients.emplace_back([&, instance] {
                for (int i = 0; Clock::now() < end; ++i) {
                    const std::string id =
                            tenant + "-" + std::to_string(instance + 1) + std::to_string(1000 + i);
                    std::string sent = id;
                    sent += " is sent with ";
                    sent += key;
                    sent += " to instance " + std::to_string(instance + 1);
                    record_.write(sent);
                    const Response response = call("127.0.0.1", daemons_[instance]->callerPort(),
                                                   makeRequest(id, key), Milliseconds(3000));
                    record_.write(id + " is answered " + std::to_string(response.status)
                                  + (response.isComplete ? "" : ", not complete"));
                    answered_ += response.status == 200 && response.isComplete ? 1 : 0;
                    std::this_thread::sleep_for(Milliseconds(5));
                }
            });
        }
        for (std::thread &client : clients)
            client.join();
    }

    int judge()
    {
        if (answered_ < 50)
            return cannotRun("only " + std::to_string(answered_.load()) + " requests were served");
        const auto tenantOf = [](const std::string &id) { return id.substr(0, id.find('-')); };
        int crossed = 0;
        int unnamed = 0;
        int dropped = 0;
        for (auto &runner : runners_) {
            for (const Run &run : runner->runs()) {
                if (tenantOf(run.request) == "dropped") {
                    ++dropped; // Not judged: the key has no tenant any more.
                    continue;
                }
                unnamed += run.tenant == tenantOf(run.request) ? 0 : 1;
                if (run.cacheFrom.empty() || tenantOf(run.cacheFrom) == tenantOf(run.request))
                    continue;
                ++crossed;
                record_.write("WALL: " + run.request + " used parts that " + run.cacheFrom
                              + " had made");
            }
        }
        record_.write(std::to_string(dropped) + " requests with key-studio-1 ran "
                      + (hasTrouble() ? "6 s after it was taken away" : "; it is valid"));
        record_.write(std::to_string(unnamed)
                      + " requests ran with another Tenant than the one that holds their key");
        record_.write(std::to_string(crossed)
                      + " requests used KV cache across the wall of studio, which is dedicated");
        return crossed > 0 ? kBroken : kHeld;
    }

    Record record_{ "review/6/record.txt" };
    TemporaryFolder folder_;
    Store store_{ "127.0.0.1" };
    std::vector<std::unique_ptr<Runner>> runners_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::atomic<int> answered_{ 0 };
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

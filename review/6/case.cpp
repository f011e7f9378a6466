// A key is added to a dedicated tenant while its requester uses a route that needs no key.

#include "../lib2/world.h"

namespace {

using namespace review;

constexpr auto kModel = "m-review";

std::string configuration(int version, bool hasNewKey)
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
             R"("tenants":[{"name":"studio","api-keys":["key-studio-1")"
           + (hasNewKey ? R"(,"key-studio-2")" : "")
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
                          { "Prompt-Prefix", "aa01:1500,ee" + id.substr(id.find('-') + 1) + ":200" },
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
            store_.put("servers", runners_.back()->id(),
                       runners_.back()->registration("engines", "zone-a"));
        }
        store_.put("op", "config", configuration(7, !trouble));
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
            store_.put("op", "config", configuration(9, true));
            record_.write("the store confirms version 9, which adds key-studio-2 to studio");
        }
        send("studio", "key-studio-2", std::chrono::seconds(3));
        send("shop", "key-shop-1", std::chrono::seconds(3));
        return judge();
    }

private:
    int cannotRun(const std::string &reason)
    {
        record_.write("cannot run: " + reason);
        return kCannotRun;
    }

    // Sends requests to all instances in turn.
    void send(const std::string &tenant, const std::string &key, Milliseconds time)
    {
        const auto end = Clock::now() + time;
        for (int i = 0; Clock::now() < end; ++i) {
            const std::string id = tenant + "-" + std::to_string(1000 + i);
            const auto &daemon = daemons_[static_cast<std::size_t>(i) % daemons_.size()];
            record_.write(id + " is sent with " + key + " to instance "
                          + std::to_string(static_cast<std::size_t>(i) % daemons_.size() + 1));
            const Response response = call("127.0.0.1", daemon->callerPort(), makeRequest(id, key),
                                           Milliseconds(3000));
            record_.write(id + " is answered " + std::to_string(response.status)
                          + (response.isComplete ? "" : ", not complete"));
            answered_ += response.status == 200 && response.isComplete ? 1 : 0;
            std::this_thread::sleep_for(Milliseconds(10));
        }
    }

    int judge()
    {
        if (answered_ < 50)
            return cannotRun("only " + std::to_string(answered_) + " requests were served");
        const auto tenantOf = [](const std::string &id) { return id.substr(0, id.find('-')); };
        int crossed = 0;
        int unnamed = 0;
        for (auto &runner : runners_) {
            for (const Run &run : runner->runs()) {
                unnamed += run.tenant == tenantOf(run.request) ? 0 : 1;
                if (run.cacheFrom.empty() || tenantOf(run.cacheFrom) == tenantOf(run.request))
                    continue;
                ++crossed;
                record_.write("WALL: " + run.request + " used parts that " + run.cacheFrom
                              + " had made");
            }
        }
        record_.write(std::to_string(unnamed)
                      + " requests ran with another Tenant than the one that holds their key");
        record_.write(std::to_string(crossed)
                      + " requests used KV cache across the wall of studio, which is dedicated");
        return crossed > 0 ? kBroken : kHeld;
    }

    Record record_{ "review/6/record.txt" };
    TemporaryFolder folder_;
    Store store_{ "127.0.0.1", record_ };
    std::vector<std::unique_ptr<Runner>> runners_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    int answered_ = 0;
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

// An instance is cut off from the store twice. A runner that has left meanwhile stays in use.

#include "../lib2/world.h"

namespace {

using namespace review;

constexpr Milliseconds kDrain{ 2000 };        ///< `drain-ms`.
constexpr Milliseconds kStableWindow{ 3000 }; ///< `stable-window-ms`.
constexpr Milliseconds kFirstCut{ 5000 };
constexpr Milliseconds kSecondCut{ 600 };
/// Time from the first answer after the first cut to the second cut.
constexpr Milliseconds kBetween{ 1700 };

const std::string kConfiguration =
        R"({"version":7,"routes":[{"name":"r-ask","host":"review.example","prefix":"/ask/",)"
        R"("kind":"streaming","timeout-ms":4000,"target-latency-ms":600,"priority":0,)"
        R"("service":"engines","max-attempts":1,"allow-anonymous":false,"sticky":true,)"
        R"("resumable":false,"gap-aim-ms":800}],"services":[{"name":"engines",)"
        R"("health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"engine":)"
        R"({"slots":64,"kv-tokens":138640,"kv-token-bytes":18432,"link-mbps":740000.0,)"
        R"("max-inflight":12,"models":[{"name":"m-review"}]}}],"limits":{"max-header-bytes":16384,)"
        R"("max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":)"
        R"([{"name":"shop","api-keys":["key-shop-1"],"priority":1,"dedicated":false}]})";

Request makeRequest(const std::string &id, int number)
{
    char parts[64];
    std::snprintf(parts, sizeof parts, "aa%02x:200,ee%02x:100", number % 200, number % 200);
    return { .method = "POST",
             .target = "/ask/answer",
             .headers = { { "Host", "review.example" },
                          { "Request-Id", id },
                          { "Model", "m-review" },
                          { "Token-Usage", "300,10" },
                          { "Prompt-Prefix", parts },
                          { "Deadline-Ms", "4000" },
                          { "Authorization", "Bearer key-shop-1" } },
             .body = "prompt" };
}

class Case
{
public:
    int run()
    {
        for (int i = 0; i < 3; ++i) {
            runners_.push_back(std::make_unique<Runner>("127.0.0.1", "i-" + std::to_string(i),
                                                        "m-review", record_));
            store_.put("servers", runners_.back()->id(),
                       runners_.back()->registration("engines", "zone-a"));
        }
        store_.put("op", "config", kConfiguration);
        store_.put("op", "version/m-review", R"({"model":"m-review","version":1})");
        daemon_.start({ daemon_.peerPort() });
        if (!daemon_.waitUntilReady(std::chrono::seconds(20)))
            return cannotRun("the instance is not ready");
        std::this_thread::sleep_for(std::chrono::seconds(4));
        if (send("before", std::chrono::seconds(1)) < 20 || runners_[0]->runs().empty())
            return cannotRun("the runners were not in use before");
        cut(true, "the store is cut off from the instance");
        std::this_thread::sleep_for(kFirstCut - Milliseconds(500));
        store_.remove("servers", runners_[0]->id());
        const auto leftAt = Clock::now();
        record_.write("the store confirms that the entry of " + runners_[0]->id()
                      + " is removed; the runner serves on for some seconds");
        std::this_thread::sleep_for(Milliseconds(500));
        const auto healedAt = Clock::now();
        cut(false, "the cut has healed");
        while (store_.targetsAnsweredAt() < healedAt) {
            if (Clock::now() - healedAt > std::chrono::seconds(10))
                return cannotRun("the instance does not ask the store");
            std::this_thread::sleep_for(Milliseconds(5));
        }
        record_.write("the instance has an answer about the runners");
        std::this_thread::sleep_until(store_.targetsAnsweredAt() + kBetween);
        cut(true, "the store is cut off again");
        std::this_thread::sleep_for(kSecondCut);
        cut(false, "the second cut has healed");
        const auto lastDisruption = Clock::now();
        std::this_thread::sleep_until(std::max(lastDisruption + kStableWindow, leftAt + kDrain)
                                      + Milliseconds(200));
        record_.write(
                "the instance is in touch; the runner left "
                + std::to_string(
                        std::chrono::duration_cast<Milliseconds>(Clock::now() - leftAt).count())
                + " ms ago");
        const std::size_t runsBefore = runners_[0]->runs().size();
        const int served = send("judged", std::chrono::seconds(2));
        const std::size_t late = runners_[0]->runs().size() - runsBefore;
        record_.write("of " + std::to_string(served) + " requests served in 2 s, "
                      + std::to_string(late) + " reached the runner that has left (DRAIN)");
        if (served < 20)
            return cannotRun("too few requests were served");
        return late > 0 ? kBroken : kHeld;
    }

private:
    int cannotRun(const std::string &reason)
    {
        record_.write("cannot run: " + reason);
        return kCannotRun;
    }

    void cut(bool isCut, const std::string &what)
    {
        if (!hasTrouble())
            return;
        store_.setCut(isCut);
        record_.write(what);
    }

    // Sends requests from twelve clients. Returns how many were served.
    int send(const std::string &name, Milliseconds time)
    {
        std::atomic<int> served{ 0 };
        std::atomic<int> number{ 0 };
        const auto end = Clock::now() + time;
        std::vector<std::thread> clients;
        clients.reserve(64);
        for (int client = 0; client < 12; ++client) {
            clients.emplace_back([&] {
                while (Clock::now() < end) {
                    const int i = number++;
                    const std::string id = name + "-" + std::to_string(i);
                    const Response response = call("127.0.0.1", daemon_.callerPort(),
                                                   makeRequest(id, i), Milliseconds(4000));
                    served += response.status == 200 && response.isComplete ? 1 : 0;
                    record_.write(id + " is answered " + std::to_string(response.status) + " "
                                  + response.problem);
                    std::this_thread::sleep_for(Milliseconds(20));
                }
            });
        }
        for (std::thread &client : clients)
            client.join();
        return served;
    }

    Record record_{ "review/7/record.txt" };
    TemporaryFolder folder_;
    Store store_{ "127.0.0.1" };
    std::vector<std::unique_ptr<Runner>> runners_;
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

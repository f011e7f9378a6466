#include "peers/load_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>
#include <memory>

namespace chervilfield::peers {

using membership::TimePoint;
using std::chrono::milliseconds;

namespace {

/// A simulated network of daemons. Datagrams arrive without delay, or not at all while
/// `dropsDatagrams` is set.
class Network
{
public:
    explicit Network(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const std::string name = "entry-" + std::to_string(i);
            members_.push_back({ .name = name, .peerAddress = name, .dataCentre = "leon" });
            exchanges_[name] = std::make_unique<LoadExchange>(
                    name, "leon", 1, [this, name](const std::string &to, const Datagram &datagram) {
                        if (!dropsDatagrams)
                            queue_.push_back({ name, to, datagram });
                    });
        }
        for (auto &exchange : exchanges_)
            exchange.second->assign(members_, { { .name = "engine", .dataCentre = "leon" } });
    }

    /// Lets every daemon report its work, given as requests by daemon, in five rounds 200 ms apart.
    void run(const std::map<std::string, std::uint32_t> &requests)
    {
        for (int round = 0; round < 5; ++round) {
            now_ += milliseconds(200);
            for (auto &[name, exchange] : exchanges_) {
                membership::TargetLoad load;
                load.classes[0].requests = requests.at(name);
                exchange->tick({ { "engine", load } }, now_);
            }
            deliver();
        }
    }

    /// Returns the requests of the other daemons as the daemon `name` knows them.
    std::uint32_t othersRequests(const std::string &name) const
    {
        const auto othersLoads = exchanges_.at(name)->othersLoads(now_);
        return othersLoads.empty() ? 0 : othersLoads.front().load.classes[0].requests;
    }

    void advance(milliseconds time) { now_ += time; }

    bool dropsDatagrams = false;

private:
    struct QueuedDatagram
    {
        std::string from;
        std::string to;
        Datagram datagram;
    };

    void deliver()
    {
        while (!queue_.empty()) {
            const QueuedDatagram sent = queue_.front();
            queue_.pop_front();
            if (const auto *report = std::get_if<LoadReport>(&sent.datagram))
                exchanges_[sent.to]->receive(sent.from, *report, now_);
            else if (const auto *sums = std::get_if<LoadSums>(&sent.datagram))
                exchanges_[sent.to]->receive(*sums, now_);
        }
    }

    std::vector<membership::Member> members_;
    std::map<std::string, std::unique_ptr<LoadExchange>> exchanges_;
    std::deque<QueuedDatagram> queue_;
    TimePoint now_{ std::chrono::hours(1) };
};

} // namespace

class LoadExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadExchangeTest);
    CPPUNIT_TEST(daemonsReceiveSumOfOthers);
    CPPUNIT_TEST(staleSumsExpire);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that each daemon learns the sum of the work of the others. Guards against a daemon that
    // counts its own work twice or misses the work of another.
    void daemonsReceiveSumOfOthers()
    {
        Network network(3);
        network.run({ { "entry-0", 10 }, { "entry-1", 20 }, { "entry-2", 40 } });
        struct Row
        {
            std::string name;
            std::uint32_t expected;
        };
        const Row rows[] = { { "entry-0", 60 }, { "entry-1", 50 }, { "entry-2", 30 } };
        for (const Row &row : rows)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected, network.othersRequests(row.name));
    }

    // Tests that sums expire when no datagram arrives for a minute. Guards against decisions that
    // rely on the work of daemons that were disconnected long ago.
    void staleSumsExpire()
    {
        Network network(3);
        network.run({ { "entry-0", 10 }, { "entry-1", 20 }, { "entry-2", 40 } });
        network.dropsDatagrams = true;
        network.advance(std::chrono::seconds(60));
        network.run({ { "entry-0", 10 }, { "entry-1", 20 }, { "entry-2", 40 } });
        for (const std::string name : { "entry-0", "entry-1", "entry-2" })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0U, network.othersRequests(name));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadExchangeTest);

} // namespace chervilfield::peers

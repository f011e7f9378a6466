#include "member_traffic.h"

#include "peers/datagram.h"
#include "peers/transfer.h"
#include "simulation.h"

#include <ctime>

namespace chervilfield::bench {

namespace {

using membership::Simulation;
using namespace std::chrono_literals;

constexpr std::size_t kUdpHeaderBytes = 28;
// Size of the HTTP heads, TCP and IP headers and acknowledgements of one table exchange.
constexpr std::size_t kExchangeHeaderBytes = 800;

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

} // namespace

TrafficResult measureTraffic(std::size_t members, std::uint64_t seed)
{
    Simulation simulation(seed);
    simulation.namePrefix = "entry-bajio-1-";
    simulation.loss = 0.01;
    simulation.lives = 1'790'000'000'000; // Lives are Unix milliseconds.
    std::size_t bytes = 0;
    simulation.onSend = [&](const std::string &, const membership::Packet &packet) {
        const auto encoded = peers::encode(packet);
        bytes += encoded->size() + kUdpHeaderBytes;
        peers::decode(*encoded);
    };
    simulation.onExchange = [&](const std::string &, const std::vector<membership::Member> &table) {
        bytes += peers::encodeTable(table).size() + kExchangeHeaderBytes / 2;
    };
    const auto takeBytesPerDaemonAndSecond = [&](double seconds) {
        return static_cast<double>(std::exchange(bytes, 0)) / seconds
               / static_cast<double>(members);
    };

    TrafficResult result;
    const auto startTime = simulation.now;
    simulation.startNodes(members);
    simulation.runUntil([&] { return simulation.hasConverged(); }, 60s);
    result.massStartSeconds = std::chrono::duration<double>(simulation.now - startTime).count();
    simulation.run(std::max<membership::Duration>(startTime + 10s - simulation.now, 0s));
    result.massStartBytesPerSecond = takeBytesPerDaemonAndSecond(
            std::chrono::duration<double>(simulation.now - startTime).count());
    simulation.run(30s);
    bytes = 0;

    const double cpuSecondsBefore = cpuSeconds();
    simulation.run(60s);
    result.cpuCores = (cpuSeconds() - cpuSecondsBefore) / 60 / static_cast<double>(members);
    result.steadyBytesPerSecond = takeBytesPerDaemonAndSecond(60);

    for (std::size_t i = 0; i < 6; ++i) {
        simulation.startNode(std::to_string(1000 + i), { Simulation::address(members - 1) });
        simulation.run(10s);
    }
    result.churnBytesPerSecond = takeBytesPerDaemonAndSecond(60);
    return result;
}

} // namespace chervilfield::bench

#pragma once

#include "membership/member.h"
#include "peers/datagram.h"
#include "quarantine/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace chervilfield::peers {

/// Times and limits of a `QuarantineExchange`.
struct QuarantineExchangeOptions
{
    /// Time after which an announcement is repeated, as datagrams may be lost.
    std::chrono::milliseconds repeatDelay{ 150 };
    std::chrono::milliseconds pushInterval{ 1000 }; ///< Interval between pushes.
    std::size_t pushReceivers = 3;                  ///< Random members that receive a push.
    /// Number of pushes from the start that ask the receivers for their quarantines.
    int requestCount = 3;
    /// Maximum bytes of crash reports and innocent parts per second to all daemons together, with
    /// IP and UDP headers. New quarantines count towards the limit but are always sent.
    double maxBytesPerSecond = 32'000;
    double maxBurstBytes = 512'000; ///< Capacity of the token bucket.
    /// Time for which a member that has a part in quarantine is told that the part is innocent.
    std::chrono::milliseconds innocentLifetime{ 30'000 };
};

/// Shares evidence about prompt parts that crash engines, and the quarantines of such parts, with
/// the other daemons. Evidence and new quarantines go to all members at once; pushes to random
/// members repair losses. All functions run on the control I/O thread.
class QuarantineExchange
{
public:
    using Clock = std::chrono::steady_clock;
    /// Sends a datagram to a numeric "ip:port" address.
    using Send = std::function<void(const std::string &address, const Datagram &)>;

    /// `self` is the member name of this daemon. `randomSeed` determines the receivers of pushes.
    QuarantineExchange(std::string self, Send send, std::uint64_t randomSeed,
                       QuarantineExchangeOptions options = {});

    /// Sends the report to all members that are not dead, twice. A report that exceeds the limits
    /// of a datagram is split by requests. Only the first `kMaxSuspectParts` parts of a request are
    /// sent.
    void announceCrash(const std::vector<membership::Member> &members,
                       const quarantine::CrashReport &report, Clock::time_point now);

    /// Sends the parts to all members that are not dead with the next call of `tick` that the
    /// bandwidth limit allows. Parts in excess of what ten datagrams hold are dropped.
    void addInnocent(std::span<const quarantine::PartKey> parts, Clock::time_point now);

    /// Sends the quarantines to all members that are not dead, twice.
    void announceQuarantines(const std::vector<membership::Member> &members,
                             const std::vector<SharedQuarantine> &quarantines,
                             Clock::time_point now);

    /// Sends what is due. `quarantines` are all that are in force here. It must be called several
    /// times a second.
    void tick(const std::vector<membership::Member> &members,
              std::vector<SharedQuarantine> quarantines, Clock::time_point now);

    /// Answers a message without parts with the quarantines of the last `tick`, if there are any.
    /// Tells the sender which of its parts are innocent, as it may have missed this.
    void receive(const std::string &from, const QuarantinedParts &message, Clock::time_point now);

    /// Records innocent parts that another member has sent.
    void receive(const InnocentParts &message, Clock::time_point now);

private:
    struct Repeat
    {
        Clock::time_point dueAt;
        Datagram datagram;
    };

    void refill(Clock::time_point now);
    /// Sends the datagram to all members that are not dead. Returns early when the token bucket is
    /// empty, except for quarantines.
    void broadcast(const std::vector<membership::Member> &members, const Datagram &datagram);
    void recordInnocent(std::span<const quarantine::PartKey> parts, Clock::time_point now);
    void sendInnocent(const std::vector<membership::Member> &members);
    void push(const std::vector<membership::Member> &members);

    std::string self_;
    Send send_;
    QuarantineExchangeOptions options_;
    std::mt19937_64 random_;
    std::deque<Repeat> repeats_;
    std::set<quarantine::PartKey> innocent_; ///< Parts that have not been sent yet.
    /// Time of the last message about each innocent part, within `innocentLifetime`.
    std::map<quarantine::PartKey, Clock::time_point> innocentAt_;
    std::vector<SharedQuarantine> quarantines_; ///< Argument of the last `tick`.
    int requestsLeft_;
    Clock::time_point pushedAt_{};
    Clock::time_point refilledAt_{};
    double budgetBytes_ = 0; ///< Bytes in the token bucket.
    /// Index of the member that receives a broadcast first, modulo their number.
    std::size_t rotation_ = 0;
};

} // namespace chervilfield::peers

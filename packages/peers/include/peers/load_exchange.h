#pragma once

#include "membership/followers.h"
#include "membership/load_digest.h"
#include "peers/datagram.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chervilfield::peers {

/// Work in flight at one target, by the target's name.
struct NamedLoad
{
    std::string target;
    membership::TargetLoad load;
};

/// Exchange of in-flight work with the other daemons through a meeting point per target: reports
/// what this daemon has in flight, collects reports for the targets that meet here, and keeps the
/// sums that it is sent. All functions run on the control I/O thread.
class LoadExchange
{
public:
    using Send = std::function<void(const std::string &address, const Datagram &)>;

    LoadExchange(std::string self, std::string dataCentre, std::uint64_t life, Send send,
                 membership::LoadDigestOptions options = {});

    /// Replaces the members and the targets; each target's meeting point follows from them.
    void assign(const std::vector<membership::Member> &members,
                const std::vector<membership::FollowedTarget> &targets);

    void receive(const std::string &address, const LoadReport &report, membership::TimePoint now);
    void receive(const LoadSums &sums, membership::TimePoint now);

    /// Sends reports and sums that are due. Call it at least every 100 ms.
    void tick(const std::vector<NamedLoad> &own, membership::TimePoint now);

    /// Returns the other daemons' recent work at each assigned target.
    std::vector<NamedLoad> othersLoads(membership::TimePoint now) const;

private:
    struct MeetingPoint
    {
        std::string address; ///< Empty for this daemon itself.
        std::vector<std::string> targets;
        /// Whether a target of this data centre meets there. Others are asked only while this
        /// daemon has work at their targets; asking all 360 daemons would not fit 18 KB/s.
        bool isLocal = false;
        membership::SentLoads sent;
        membership::TimePoint lastReport{};
    };

    void report(MeetingPoint &point, const std::vector<NamedLoad> &own, membership::TimePoint now);
    void sendSums(membership::TimePoint now);

    std::string self_;
    std::string dataCentre_;
    std::uint64_t life_;
    Send send_;
    membership::LoadDigestOptions options_;
    std::map<std::string, MeetingPoint> points_; ///< By member name.
    std::vector<std::string> targets_;
    std::map<std::string, std::string> reporterAddresses_;
    membership::ReportedLoads board_;
    membership::ReceivedSums view_;
};

} // namespace chervilfield::peers

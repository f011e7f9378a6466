#pragma once

#include "membership/followers.h"
#include "membership/load_digest.h"
#include "peers/datagram.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chervilfield::peers {

/// The work in flight at one target.
struct NamedLoad
{
    std::string target; ///< Name of the target.
    membership::TargetLoad load;
};

/// Exchanges in-flight work with the other daemons through one aggregation point per target. It
/// reports the work of this daemon, sums the reports for the targets that are aggregated here, and
/// stores the sums that other aggregation points send. All functions run on the control I/O thread.
class LoadExchange
{
public:
    /// Sends a datagram to a numeric "ip:port" address.
    using Send = std::function<void(const std::string &address, const Datagram &)>;

    /// `self`, `dataCentre` and `life` are the member name, the data centre and the life of this
    /// daemon.
    LoadExchange(std::string self, std::string dataCentre, std::uint64_t life, Send send,
                 membership::LoadDigestOptions options = {});

    /// Replaces the members and the targets, and recomputes the aggregation point of each target.
    void assign(const std::vector<membership::Member> &members,
                const std::vector<membership::FollowedTarget> &targets);

    /// Stores a report from the daemon at `address`. `tick` sends it the sums until its reports
    /// expire.
    void receive(const std::string &address, const LoadReport &report, membership::TimePoint now);
    /// Stores sums from an aggregation point.
    void receive(const LoadSums &sums, membership::TimePoint now);

    /// Sends the reports and sums that are due. `own` is the work of this daemon. The caller must
    /// call it at least every 100 ms.
    void tick(const std::vector<NamedLoad> &own, membership::TimePoint now);

    /// Returns the in-flight work of the other daemons at each assigned target. Omits targets
    /// without a recent sum.
    std::vector<NamedLoad> othersLoads(membership::TimePoint now) const;

private:
    struct AggregationPoint
    {
        std::string address; ///< Empty if it is this daemon itself.
        std::vector<std::string> targets;
        /// True if it aggregates a target of this data centre. Other aggregation points are asked
        /// for sums only while this daemon has work at their targets, because asking all 360
        /// daemons would exceed the 18 KB/s allowed for control traffic.
        bool isLocal = false;
        membership::SentLoads sentLoads; ///< What this daemon reported to it.
        membership::TimePoint lastReportAt{};
    };

    void report(AggregationPoint &point, const std::vector<NamedLoad> &own,
                membership::TimePoint now);
    void sendSums(membership::TimePoint now);

    std::string self_;
    std::string dataCentre_;
    std::uint64_t life_;
    Send send_;
    membership::LoadDigestOptions options_;
    std::map<std::string, AggregationPoint> aggregationPoints_; ///< Keyed by member name.
    std::vector<std::string> targets_;
    std::map<std::string, std::string> reporterAddresses_; ///< Keyed by member name.
    membership::ReportedLoads reportedLoads_;
    membership::ReceivedSums receivedSums_;
};

} // namespace chervilfield::peers

#include "peers/load_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilfield::peers {

using membership::LoadEntry;
using membership::TimePoint;

namespace {

// Sends `message` with the entries, split into datagrams of at most `kMaxLoadEntries`.
template<typename Message>
void sendInBatches(const LoadExchange::Send &send, const std::string &address, Message message,
                   const std::vector<LoadEntry> &entries)
{
    for (std::size_t start = 0; start < entries.size(); start += kMaxLoadEntries) {
        const std::size_t end = std::min(entries.size(), start + kMaxLoadEntries);
        message.loads.assign(entries.begin() + static_cast<std::ptrdiff_t>(start),
                             entries.begin() + static_cast<std::ptrdiff_t>(end));
        send(address, message);
    }
}

} // namespace

LoadExchange::LoadExchange(std::string self, std::string dataCentre, std::uint64_t life, Send send,
                           membership::LoadDigestOptions options)
    : self_(std::move(self)), dataCentre_(std::move(dataCentre)), life_(life),
      send_(std::move(send)), options_(options)
{
}

void LoadExchange::assign(const std::vector<membership::Member> &members,
                          const std::vector<membership::FollowedTarget> &targets)
{
    std::map<std::string, AggregationPoint> next;
    targets_.clear();
    std::set<std::string> local;
    for (const membership::FollowedTarget &target : targets) {
        if (target.dataCentre == dataCentre_)
            local.insert(target.name);
    }
    for (const auto &assignment : membership::assignFollowers(members, targets)) {
        targets_.push_back(assignment.target);
        if (assignment.members.empty())
            continue;
        const std::string &name = assignment.members.front();
        AggregationPoint &point = next[name];
        point.targets.push_back(assignment.target);
        point.isLocal = point.isLocal || local.contains(assignment.target);
    }
    for (const membership::Member &member : members) {
        const auto point = next.find(member.name);
        if (point == next.end())
            continue;
        if (member.name != self_)
            point->second.address = member.peerAddress;
        if (const auto previous = aggregationPoints_.find(member.name);
            previous != aggregationPoints_.end())
            point->second.sentLoads = std::move(previous->second.sentLoads);
    }
    aggregationPoints_ = std::move(next);
}

void LoadExchange::receive(const std::string &address, const LoadReport &report, TimePoint now)
{
    reporterAddresses_[report.sender] = address;
    membership::recordReport(reportedLoads_, report.sender, report.life, report.loads, now);
}

void LoadExchange::receive(const LoadSums &sums, TimePoint now)
{
    membership::mergeSums(receivedSums_, sums.loads, now);
}

void LoadExchange::tick(const std::vector<NamedLoad> &own, TimePoint now)
{
    for (auto &entry : aggregationPoints_)
        report(entry.second, own, now);
    membership::expireReports(reportedLoads_, now, options_);
    membership::expireSums(receivedSums_, now, options_);
    std::erase_if(reporterAddresses_, [this](const auto &item) {
        return !reportedLoads_.reporters.contains(item.first);
    });
    sendSums(now);
}

void LoadExchange::report(AggregationPoint &point, const std::vector<NamedLoad> &own, TimePoint now)
{
    std::vector<LoadEntry> current;
    for (const NamedLoad &load : own) {
        if (std::ranges::find(point.targets, load.target) != point.targets.end())
            current.push_back({ membership::targetKey(load.target), load.load });
    }
    const auto changes = membership::takeChanges(point.sentLoads, current, now, options_);
    if (point.address.empty()) {
        membership::recordReport(reportedLoads_, self_, life_, changes, now);
        return;
    }
    const bool isRelevant = point.isLocal || !current.empty();
    const bool shouldRequestSums =
            isRelevant && changes.empty() && now - point.lastReportAt >= options_.refreshInterval;
    if (changes.empty() && !shouldRequestSums)
        return;
    point.lastReportAt = now;
    const LoadReport message{ .sender = self_, .life = life_ };
    if (shouldRequestSums)
        send_(point.address, message);
    sendInBatches(send_, point.address, message, changes);
}

void LoadExchange::sendSums(TimePoint now)
{
    membership::mergeSums(receivedSums_, membership::takeSums(reportedLoads_, self_, now, options_),
                          now);
    for (const auto &[reporter, address] : reporterAddresses_) {
        const auto sums = membership::takeSums(reportedLoads_, reporter, now, options_);
        sendInBatches(send_, address, LoadSums{}, sums);
    }
}

std::vector<NamedLoad> LoadExchange::othersLoads(TimePoint now) const
{
    std::vector<NamedLoad> result;
    for (const std::string &target : targets_) {
        const auto load =
                membership::othersLoad(receivedSums_, membership::targetKey(target), now, options_);
        if (load.has_value())
            result.push_back({ target, load->load });
    }
    return result;
}

} // namespace chervilfield::peers

#include "peers/load_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervilfield::peers {

using membership::LoadEntry;
using membership::TimePoint;

namespace {

// Sends entries in as many datagrams as they need.
template<typename Message>
void sendInParts(const LoadExchange::Send &send, const std::string &address, Message message,
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
    std::map<std::string, MeetingPoint> next;
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
        MeetingPoint &point = next[name];
        point.targets.push_back(assignment.target);
        point.isLocal = point.isLocal || local.contains(assignment.target);
    }
    for (const membership::Member &member : members) {
        const auto point = next.find(member.name);
        if (point == next.end())
            continue;
        if (member.name != self_)
            point->second.address = member.peerAddress;
        if (const auto known = points_.find(member.name); known != points_.end())
            point->second.sent = std::move(known->second.sent);
    }
    points_ = std::move(next);
}

void LoadExchange::receive(const std::string &address, const LoadReport &report, TimePoint now)
{
    reporterAddresses_[report.sender] = address;
    membership::recordReport(board_, report.sender, report.life, report.loads, now);
}

void LoadExchange::receive(const LoadSums &sums, TimePoint now)
{
    membership::mergeSums(view_, sums.loads, now);
}

void LoadExchange::tick(const std::vector<NamedLoad> &own, TimePoint now)
{
    for (auto &entry : points_)
        report(entry.second, own, now);
    membership::expireReports(board_, now, options_);
    membership::expireSums(view_, now, options_);
    std::erase_if(reporterAddresses_,
                  [this](const auto &item) { return !board_.reporters.contains(item.first); });
    sendSums(now);
}

void LoadExchange::report(MeetingPoint &point, const std::vector<NamedLoad> &own, TimePoint now)
{
    std::vector<LoadEntry> current;
    for (const NamedLoad &load : own) {
        if (std::ranges::find(point.targets, load.target) != point.targets.end())
            current.push_back({ membership::targetKey(load.target), load.load });
    }
    const auto changes = membership::takeChanges(point.sent, current, now, options_);
    if (point.address.empty()) {
        membership::recordReport(board_, self_, life_, changes, now);
        return;
    }
    const bool isOfUse = point.isLocal || !current.empty();
    const bool mustAsk =
            isOfUse && changes.empty() && now - point.lastReport >= options_.refreshInterval;
    if (changes.empty() && !mustAsk)
        return;
    point.lastReport = now;
    const LoadReport message{ .sender = self_, .life = life_ };
    if (mustAsk)
        send_(point.address, message);
    sendInParts(send_, point.address, message, changes);
}

void LoadExchange::sendSums(TimePoint now)
{
    membership::mergeSums(view_, membership::takeSums(board_, self_, now, options_), now);
    for (const auto &[reporter, address] : reporterAddresses_) {
        const auto sums = membership::takeSums(board_, reporter, now, options_);
        sendInParts(send_, address, LoadSums{}, sums);
    }
}

std::vector<NamedLoad> LoadExchange::othersLoads(TimePoint now) const
{
    std::vector<NamedLoad> result;
    for (const std::string &target : targets_) {
        const auto load =
                membership::othersLoad(view_, membership::targetKey(target), now, options_);
        if (load.has_value())
            result.push_back({ target, load->load });
    }
    return result;
}

} // namespace chervilfield::peers

#include "peers/datagram.h"

#include "internal/compact.h"
#include "internal/member_wire.h"
#include "peers/transfer.h"

#include <algorithm>
#include <cmath>

namespace chervilfield::peers {

namespace {

using internal::fromWire;
using internal::hasPermittedLength;
using internal::toWire;

constexpr std::int8_t kProtocolVersion = 1;
// Bounds the memory that decoding allocates. No list in a valid datagram has more elements.
constexpr std::int32_t kMaxListElements = 128;
// Prefill tokens are sent in this unit, so that most values take one or two bytes.
constexpr std::uint32_t kPrefillUnitTokens = 256;

wire::Membership toWire(const membership::Packet &packet)
{
    wire::Membership message;
    message.sender = internal::toWire({ packet.sender, {} });
    if (const auto *ping = std::get_if<membership::Ping>(&packet.body)) {
        wire::Ping body;
        body.sequence = static_cast<std::int32_t>(ping->sequence);
        body.target = ping->target;
        message.__set_ping(body);
    } else if (const auto *ack = std::get_if<membership::Ack>(&packet.body)) {
        message.__set_ack(static_cast<std::int32_t>(ack->sequence));
    } else if (const auto *nack = std::get_if<membership::Nack>(&packet.body)) {
        message.__set_nack(static_cast<std::int32_t>(nack->sequence));
    } else if (const auto *indirect = std::get_if<membership::IndirectPing>(&packet.body)) {
        wire::IndirectPing body;
        body.sequence = static_cast<std::int32_t>(indirect->sequence);
        body.target = indirect->target;
        body.address = indirect->address;
        message.__set_indirectPing(body);
    }
    for (const membership::MemberUpdate &update : packet.updates)
        message.updates.push_back(internal::toWire(update));
    message.tableHash = static_cast<std::int64_t>(packet.tableHash);
    message.configurationRevision = static_cast<std::int64_t>(packet.configurationRevision);
    if (packet.storeEra > 0)
        message.__set_storeEra(static_cast<std::int64_t>(packet.storeEra));
    return message;
}

// Sets `body`. Returns false if the message has more than one body or a text that is too long.
bool decodeBody(const wire::Membership &message, membership::Body &body)
{
    const auto &set = message.__isset;
    if (int{ set.ping } + int{ set.ack } + int{ set.nack } + int{ set.indirectPing } > 1)
        return false;
    if (set.ping) {
        body = membership::Ping{ static_cast<std::uint32_t>(message.ping.sequence),
                                 message.ping.target };
        return hasPermittedLength(message.ping.target);
    }
    if (set.ack)
        body = membership::Ack{ static_cast<std::uint32_t>(message.ack) };
    if (set.nack)
        body = membership::Nack{ static_cast<std::uint32_t>(message.nack) };
    if (set.indirectPing) {
        const wire::IndirectPing &indirect = message.indirectPing;
        body = membership::IndirectPing{ static_cast<std::uint32_t>(indirect.sequence),
                                         indirect.target, indirect.address };
        return hasPermittedLength(indirect.target) && hasPermittedLength(indirect.address);
    }
    return true;
}

std::optional<Datagram> fromWire(const wire::Membership &message)
{
    membership::Packet packet;
    const auto sender = internal::fromWire(message.sender);
    if (!sender || !decodeBody(message, packet.body))
        return std::nullopt;
    packet.sender = sender->member;
    for (const wire::Member &member : message.updates) {
        auto update = internal::fromWire(member);
        if (!update)
            return std::nullopt;
        packet.updates.push_back(*std::move(update));
    }
    packet.tableHash = static_cast<std::uint64_t>(message.tableHash);
    packet.configurationRevision = static_cast<std::uint64_t>(message.configurationRevision);
    packet.storeEra = static_cast<std::uint64_t>(message.__isset.storeEra ? message.storeEra : 0);
    if (packet.storeEra > kMaxStoreEra)
        return std::nullopt;
    return packet;
}

wire::Loads toWire(const std::vector<membership::LoadEntry> &entries)
{
    const auto toUnits = [](std::uint32_t tokens) {
        return static_cast<std::int32_t>(tokens / kPrefillUnitTokens
                                         + (tokens % kPrefillUnitTokens == 0 ? 0 : 1));
    };
    wire::Loads loads;
    for (const auto &[target, load] : entries) {
        loads.targets.push_back(static_cast<std::int32_t>(target));
        loads.shortPrefillUnits.push_back(toUnits(load.classes[0].prefillTokens));
        loads.longPrefillUnits.push_back(toUnits(load.classes[1].prefillTokens));
        loads.shortRequests.push_back(static_cast<std::int32_t>(load.classes[0].requests));
        loads.longRequests.push_back(static_cast<std::int32_t>(load.classes[1].requests));
    }
    return loads;
}

// Rejects values that exceed any load that a daemon can have.
std::optional<membership::ClassLoad> toClassLoad(std::int32_t units, std::int32_t requests)
{
    constexpr std::int32_t kMaxUnits = 1 << 23;
    constexpr std::int32_t kMaxRequests = 1 << 24;
    if (units < 0 || units > kMaxUnits || requests < 0 || requests > kMaxRequests)
        return std::nullopt;
    return membership::ClassLoad{ static_cast<std::uint32_t>(units) * kPrefillUnitTokens,
                                  static_cast<std::uint32_t>(requests) };
}

std::optional<std::vector<membership::LoadEntry>> fromWire(const wire::Loads &loads)
{
    const std::size_t count = loads.targets.size();
    if (count > kMaxLoadEntries || loads.shortPrefillUnits.size() != count
        || loads.longPrefillUnits.size() != count || loads.shortRequests.size() != count
        || loads.longRequests.size() != count)
        return std::nullopt;
    std::vector<membership::LoadEntry> entries;
    for (std::size_t i = 0; i < count; ++i) {
        const auto shortLoad = toClassLoad(loads.shortPrefillUnits[i], loads.shortRequests[i]);
        const auto longLoad = toClassLoad(loads.longPrefillUnits[i], loads.longRequests[i]);
        if (!shortLoad || !longLoad)
            return std::nullopt;
        entries.push_back({ static_cast<membership::TargetKey>(loads.targets[i]),
                            { { *shortLoad, *longLoad } } });
    }
    return entries;
}

std::optional<Datagram> fromWire(const wire::LoadReport &message)
{
    auto loads = fromWire(message.loads);
    if (!loads || !hasPermittedLength(message.sender))
        return std::nullopt;
    return LoadReport{ message.sender, static_cast<std::uint64_t>(message.life),
                       *std::move(loads) };
}

std::optional<Datagram> fromWire(const wire::LoadSums &message)
{
    auto loads = fromWire(message.loads);
    if (!loads)
        return std::nullopt;
    return LoadSums{ *std::move(loads) };
}

std::optional<Datagram> fromWire(const wire::PlacementHints &message)
{
    PlacementHints result;
    for (const wire::TargetPlacements &target : message.targets) {
        if (result.hints.size() + target.prefixes.size() > kMaxPlacementHints)
            return std::nullopt;
        for (const std::int64_t prefix : target.prefixes) {
            result.hints.push_back({ .prefix = static_cast<std::uint64_t>(prefix),
                                     .target = static_cast<std::uint64_t>(target.target),
                                     .life = static_cast<std::uint64_t>(target.life) });
        }
    }
    return result;
}

std::optional<Datagram> fromWire(const wire::WeightsNotice &message)
{
    if (!hasPermittedLength(message.target) || !hasPermittedLength(message.model)
        || message.version < 0)
        return std::nullopt;
    return WeightsNotice{ .target = message.target,
                          .startedAt = static_cast<std::uint64_t>(message.startedAt),
                          .model = message.model,
                          .version = static_cast<std::uint64_t>(message.version),
                          .isLoading = message.isLoading };
}

std::optional<Datagram> fromWire(const wire::RateLimitNotice &message)
{
    if (!hasPermittedLength(message.target) || !std::isfinite(message.requestsPerSecond)
        || message.requestsPerSecond < 0)
        return std::nullopt;
    return RateLimitNotice{ .target = message.target,
                            .startedAt = static_cast<std::uint64_t>(message.startedAt),
                            .requestsPerSecond = message.requestsPerSecond };
}

std::optional<Datagram> fromWire(const wire::LeavingNotice &message)
{
    if (message.target.empty() || !hasPermittedLength(message.target))
        return std::nullopt;
    return LeavingNotice{ .target = message.target,
                          .startedAt = static_cast<std::uint64_t>(message.startedAt) };
}

std::vector<quarantine::PartKey> toParts(const std::vector<std::int64_t> &values)
{
    std::vector<quarantine::PartKey> parts;
    parts.reserve(values.size());
    for (const std::int64_t value : values)
        parts.push_back(static_cast<quarantine::PartKey>(value));
    return parts;
}

std::vector<std::int64_t> toWire(const std::vector<quarantine::PartKey> &parts)
{
    std::vector<std::int64_t> values;
    values.reserve(parts.size());
    for (const quarantine::PartKey part : parts)
        values.push_back(static_cast<std::int64_t>(part));
    return values;
}

std::optional<Datagram> fromWire(const wire::CrashReport &message)
{
    if (message.target.empty() || !hasPermittedLength(message.target)
        || message.suspects.size() > kMaxSuspectRequests)
        return std::nullopt;
    quarantine::CrashReport report{
        .run = { message.target, static_cast<std::uint64_t>(message.startedAt) }, .suspects = {}
    };
    std::size_t partCount = 0;
    for (const wire::SuspectRequest &suspect : message.suspects) {
        partCount += suspect.parts.size();
        if (partCount > kMaxSuspectParts)
            return std::nullopt;
        report.suspects.push_back(
                { static_cast<std::uint64_t>(suspect.request), toParts(suspect.parts) });
    }
    return report;
}

std::optional<Datagram> fromWire(const wire::InnocentParts &message)
{
    if (message.parts.size() > kMaxInnocentParts)
        return std::nullopt;
    return InnocentParts{ toParts(message.parts) };
}

std::optional<Datagram> fromWire(const wire::QuarantinedParts &message)
{
    const std::size_t count = message.parts.size();
    if (count > kMaxQuarantinedParts || message.remainingMs.size() != count
        || message.isSaved.size() != count)
        return std::nullopt;
    QuarantinedParts result;
    for (std::size_t i = 0; i < count; ++i) {
        const std::chrono::milliseconds remaining(message.remainingMs[i]);
        if (remaining.count() < 0 || remaining > kMaxQuarantineTime)
            return std::nullopt;
        result.parts.push_back({ { static_cast<quarantine::PartKey>(message.parts[i]), remaining },
                                 message.isSaved[i] });
    }
    return result;
}

bool isPermittedUsage(double value)
{
    return std::isfinite(value) && std::abs(value) <= kMaxUsage;
}

std::optional<Datagram> fromWire(const wire::UsageReport &message)
{
    const std::size_t count = message.customers.size();
    if (message.sender.empty() || !hasPermittedLength(message.sender) || count > kMaxUsageEntries
        || message.costs.size() != count)
        return std::nullopt;
    UsageReport report{ .sender = message.sender,
                        .life = static_cast<std::uint64_t>(message.life),
                        .entries = {} };
    report.entries.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        if (!isPermittedUsage(message.costs[i]) || message.costs[i] < 0)
            return std::nullopt;
        report.entries.push_back(
                { static_cast<usage::CustomerKey>(message.customers[i]), message.costs[i] });
    }
    return report;
}

std::optional<Datagram> fromWire(const wire::UsageBalances &message)
{
    const std::size_t count = message.customers.size();
    if (count > kMaxUsageBalances || message.balances.size() != count
        || message.ratesPerSecond.size() != count || message.includedCosts.size() != count)
        return std::nullopt;
    UsageBalances result{ .balances = {},
                          .receiverLife = static_cast<std::uint64_t>(message.receiverLife) };
    result.balances.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const usage::UsageBalance balance{ .customer = static_cast<usage::CustomerKey>(
                                                   message.customers[i]),
                                           .balance = message.balances[i],
                                           .ratePerSecond = message.ratesPerSecond[i],
                                           .includedCost = message.includedCosts[i] };
        if (!isPermittedUsage(balance.balance) || !isPermittedUsage(balance.ratePerSecond)
            || balance.ratePerSecond < 0 || !isPermittedUsage(balance.includedCost))
            return std::nullopt;
        result.balances.push_back(balance);
    }
    return result;
}

bool isValid(const performance::SharedFigures &figures)
{
    // The comparisons are false for values that are not numbers.
    return figures.relativeTime >= 1 / kMaxRelativeTime && figures.relativeTime <= kMaxRelativeTime
           && figures.usefulConcurrency >= 0
           && figures.usefulConcurrency <= performance::kUnlimitedConcurrency && figures.weight >= 0
           && figures.weight <= kMaxPerformanceWeight;
}

std::optional<Datagram> fromWire(const wire::PerformanceFigures &message)
{
    const std::size_t count = message.targets.size();
    if (count > kMaxPerformanceFigures || message.startedAt.size() != count
        || message.relativeTimes.size() != count || message.usefulConcurrencies.size() != count
        || message.weights.size() != count)
        return std::nullopt;
    PerformanceFigures result;
    for (std::size_t i = 0; i < count; ++i) {
        const performance::SharedFigures figures{
            .target = static_cast<std::uint64_t>(message.targets[i]),
            .startedAt = static_cast<std::uint64_t>(message.startedAt[i]),
            .relativeTime = message.relativeTimes[i],
            .usefulConcurrency = message.usefulConcurrencies[i],
            .weight = message.weights[i]
        };
        if (!isValid(figures))
            return std::nullopt;
        result.figures.push_back(figures);
    }
    return result;
}

// Groups the hints by target and life, so that these are sent only once per group.
wire::PlacementHints toWire(const PlacementHints &hints)
{
    wire::PlacementHints result;
    for (const PlacementHint &hint : hints.hints) {
        const auto target = static_cast<std::int64_t>(hint.target);
        const auto life = static_cast<std::int64_t>(hint.life);
        const auto isSameRun = [&](const auto &candidate) {
            return candidate.target == target && candidate.life == life;
        };
        auto group = std::ranges::find_if(result.targets, isSameRun);
        if (group == result.targets.end()) {
            group = result.targets.emplace(result.targets.end());
            group->target = target;
            group->life = life;
        }
        group->prefixes.push_back(static_cast<std::int64_t>(hint.prefix));
    }
    return result;
}

// Visitor that sets the field of the wire message for each kind of datagram.
struct WireEncoder
{
    wire::Datagram &message;

    void operator()(const membership::Packet &packet) const
    {
        message.__set_membership(toWire(packet));
    }
    void operator()(const LoadReport &report) const
    {
        wire::LoadReport body;
        body.sender = report.sender;
        body.life = static_cast<std::int64_t>(report.life);
        body.loads = toWire(report.loads);
        message.__set_loadReport(body);
    }
    void operator()(const LoadSums &sums) const
    {
        wire::LoadSums body;
        body.loads = toWire(sums.loads);
        message.__set_loadSums(body);
    }
    void operator()(const PlacementHints &hints) const
    {
        message.__set_placementHints(toWire(hints));
    }
    void operator()(const WeightsNotice &notice) const
    {
        wire::WeightsNotice body;
        body.target = notice.target;
        body.startedAt = static_cast<std::int64_t>(notice.startedAt);
        body.model = notice.model;
        body.version = static_cast<std::int64_t>(notice.version);
        body.isLoading = notice.isLoading;
        message.__set_weightsNotice(body);
    }
    void operator()(const RateLimitNotice &notice) const
    {
        wire::RateLimitNotice body;
        body.target = notice.target;
        body.startedAt = static_cast<std::int64_t>(notice.startedAt);
        body.requestsPerSecond = notice.requestsPerSecond;
        message.__set_rateLimitNotice(body);
    }
    void operator()(const LeavingNotice &notice) const
    {
        wire::LeavingNotice body;
        body.target = notice.target;
        body.startedAt = static_cast<std::int64_t>(notice.startedAt);
        message.__set_leavingNotice(body);
    }
    void operator()(const quarantine::CrashReport &report) const
    {
        wire::CrashReport body;
        body.target = report.run.target;
        body.startedAt = static_cast<std::int64_t>(report.run.startedAt);
        for (const quarantine::SuspectRequest &suspect : report.suspects) {
            wire::SuspectRequest &request = body.suspects.emplace_back();
            request.request = static_cast<std::int64_t>(suspect.request);
            request.parts = toWire(suspect.parts);
        }
        message.__set_crashReport(body);
    }
    void operator()(const InnocentParts &innocent) const
    {
        wire::InnocentParts body;
        body.parts = toWire(innocent.parts);
        message.__set_innocentParts(body);
    }
    void operator()(const QuarantinedParts &quarantined) const
    {
        wire::QuarantinedParts body;
        for (const SharedQuarantine &shared : quarantined.parts) {
            body.parts.push_back(static_cast<std::int64_t>(shared.part.part));
            body.remainingMs.push_back(static_cast<std::int32_t>(shared.part.remaining.count()));
            body.isSaved.push_back(shared.isSaved);
        }
        message.__set_quarantinedParts(body);
    }
    void operator()(const UsageReport &report) const
    {
        wire::UsageReport body;
        body.sender = report.sender;
        body.life = static_cast<std::int64_t>(report.life);
        for (const usage::UsageEntry &entry : report.entries) {
            body.customers.push_back(static_cast<std::int64_t>(entry.customer));
            body.costs.push_back(entry.cost);
        }
        message.__set_usageReport(body);
    }
    void operator()(const UsageBalances &balances) const
    {
        wire::UsageBalances body;
        for (const usage::UsageBalance &balance : balances.balances) {
            body.customers.push_back(static_cast<std::int64_t>(balance.customer));
            body.balances.push_back(balance.balance);
            body.ratesPerSecond.push_back(balance.ratePerSecond);
            body.includedCosts.push_back(balance.includedCost);
        }
        body.receiverLife = static_cast<std::int64_t>(balances.receiverLife);
        message.__set_usageBalances(body);
    }
    void operator()(const PerformanceFigures &figures) const
    {
        wire::PerformanceFigures body;
        for (const performance::SharedFigures &entry : figures.figures) {
            body.targets.push_back(static_cast<std::int64_t>(entry.target));
            body.startedAt.push_back(static_cast<std::int64_t>(entry.startedAt));
            body.relativeTimes.push_back(entry.relativeTime);
            body.usefulConcurrencies.push_back(entry.usefulConcurrency);
            body.weights.push_back(entry.weight);
        }
        message.__set_performanceFigures(body);
    }
};

} // namespace

std::optional<std::string> encode(const Datagram &datagram)
{
    wire::Datagram message;
    message.version = kProtocolVersion;
    std::visit(WireEncoder{ message }, datagram);
    std::string bytes = internal::writeCompact(message);
    if (bytes.size() > kMaxDatagramBytes)
        return std::nullopt;
    return bytes;
}

std::optional<Datagram> decode(std::string_view bytes)
{
    wire::Datagram message;
    if (bytes.size() > kMaxDatagramBytes || !internal::readCompact(bytes, kMaxListElements, message)
        || message.version != kProtocolVersion)
        return std::nullopt;
    const auto &set = message.__isset;
    const int setFieldCount = int{ set.membership } + int{ set.loadReport } + int{ set.loadSums }
                              + int{ set.placementHints } + int{ set.weightsNotice }
                              + int{ set.crashReport } + int{ set.innocentParts }
                              + int{ set.quarantinedParts } + int{ set.rateLimitNotice }
                              + int{ set.leavingNotice } + int{ set.usageReport }
                              + int{ set.usageBalances } + int{ set.performanceFigures };
    if (setFieldCount != 1)
        return std::nullopt;
    if (set.membership)
        return fromWire(message.membership);
    if (set.loadReport)
        return fromWire(message.loadReport);
    if (set.loadSums)
        return fromWire(message.loadSums);
    if (set.usageReport)
        return fromWire(message.usageReport);
    if (set.usageBalances)
        return fromWire(message.usageBalances);
    if (set.weightsNotice)
        return fromWire(message.weightsNotice);
    if (set.crashReport)
        return fromWire(message.crashReport);
    if (set.innocentParts)
        return fromWire(message.innocentParts);
    if (set.rateLimitNotice)
        return fromWire(message.rateLimitNotice);
    if (set.leavingNotice)
        return fromWire(message.leavingNotice);
    if (set.performanceFigures)
        return fromWire(message.performanceFigures);
    if (set.quarantinedParts)
        return fromWire(message.quarantinedParts);
    return fromWire(message.placementHints);
}

} // namespace chervilfield::peers

#include "peers/transfer.h"

#include "internal/compact.h"
#include "internal/member_wire.h"

#include <zstd.h>

namespace chervilfield::peers {

namespace {

// Upper bound of the field headers, the length and the revision of one entry or key.
constexpr std::size_t kEntryOverhead = 24;
// Ages beyond this cannot be subtracted from a time point of every clock.
constexpr std::int64_t kMaxAgeMs = 10LL * 365 * 24 * 3600 * 1000;

std::vector<wire::WeightsAge> toWire(const std::vector<WeightsAge> &ages)
{
    std::vector<wire::WeightsAge> result;
    for (const WeightsAge &age : ages) {
        if (result.size() == kMaxWeightsAges)
            break;
        wire::WeightsAge item;
        item.model = age.model;
        item.version = static_cast<std::int64_t>(age.version);
        item.maxAgeMs = age.maxAge.count();
        result.push_back(std::move(item));
    }
    return result;
}

std::vector<wire::TableKeys> toWire(const std::map<std::string, std::set<std::string>> &presentKeys)
{
    std::vector<wire::TableKeys> result;
    for (const auto &[table, keys] : presentKeys) {
        wire::TableKeys item;
        item.table = table;
        item.keys.assign(keys.begin(), keys.end());
        result.push_back(std::move(item));
    }
    return result;
}

} // namespace

void compressValue(ConfigurationEntry &entry)
{
    constexpr std::size_t kMinBytes = 1U << 10U;
    if (entry.isCompressed || entry.value.size() < kMinBytes)
        return;
    std::string frame(ZSTD_compressBound(entry.value.size()), '\0');
    const std::size_t size = ZSTD_compress(frame.data(), frame.size(), entry.value.data(),
                                           entry.value.size(), ZSTD_CLEVEL_DEFAULT);
    if (ZSTD_isError(size) != 0 || size >= entry.value.size())
        return;
    frame.resize(size);
    frame.shrink_to_fit();
    entry.value = std::move(frame);
    entry.isCompressed = true;
}

std::optional<std::string> decompressedValue(const ConfigurationEntry &entry)
{
    if (!entry.isCompressed)
        return entry.value;
    const auto size = ZSTD_getFrameContentSize(entry.value.data(), entry.value.size());
    // Unknown sizes and errors are greater than every limit.
    if (size > kMaxValueBytes)
        return std::nullopt;
    std::string value(size, '\0');
    const std::size_t result =
            ZSTD_decompress(value.data(), value.size(), entry.value.data(), entry.value.size());
    return result == value.size() ? std::optional(std::move(value)) : std::nullopt;
}

std::string encodeTable(const std::vector<membership::Member> &members)
{
    wire::MemberTable message;
    for (const membership::Member &member : members)
        message.members.push_back(internal::toWire({ member, {} }));
    return internal::writeCompact(message);
}

std::optional<std::vector<membership::Member>> decodeTable(std::string_view body)
{
    wire::MemberTable message;
    if (body.size() > kMaxTransferBytes
        || !internal::readCompact(body, static_cast<std::int32_t>(kMaxTableMembers), message))
        return std::nullopt;
    std::vector<membership::Member> members;
    for (const wire::Member &member : message.members) {
        auto update = internal::fromWire(member);
        if (!update)
            return std::nullopt;
        members.push_back(std::move(update->member));
    }
    return members;
}

bool fitsTransfer(const ConfigurationEntries &entries)
{
    std::size_t bytes = kEntryOverhead;
    for (const ConfigurationEntry &entry : entries.entries)
        bytes += kEntryOverhead + entry.value.size();
    for (const auto &[table, keys] : entries.presentKeys) {
        if (keys.size() > kMaxPresentKeys)
            return false;
        bytes += kEntryOverhead + table.size();
        for (const std::string &key : keys)
            bytes += kEntryOverhead + key.size();
    }
    return bytes <= kMaxTransferBytes && entries.entries.size() <= kMaxConfigurationEntries;
}

std::string encodeEntries(const ConfigurationEntries &entries)
{
    wire::ConfigurationEntries message;
    message.revisionInForce = static_cast<std::int64_t>(entries.revisionInForce);
    std::size_t bytes = kEntryOverhead;
    for (const ConfigurationEntry &entry : entries.entries) {
        bytes += kEntryOverhead + entry.value.size();
        if (bytes > kMaxTransferBytes || message.entries.size() == kMaxConfigurationEntries)
            break;
        wire::ConfigurationEntry item;
        item.revision = static_cast<std::int64_t>(entry.revision);
        item.value = entry.value;
        if (entry.isCompressed)
            item.__set_isCompressed(true);
        message.entries.push_back(item);
    }
    if (entries.age)
        message.__set_ageMs(entries.age->count());
    if (!entries.weightsAges.empty())
        message.__set_weightsAges(toWire(entries.weightsAges));
    if (!entries.presentKeys.empty())
        message.__set_presentKeys(toWire(entries.presentKeys));
    if (entries.storeEra > 0)
        message.__set_storeEra(static_cast<std::int64_t>(entries.storeEra));
    return internal::writeCompact(message);
}

std::optional<ConfigurationEntries> decodeEntries(std::string_view body)
{
    wire::ConfigurationEntries message;
    if (body.size() > kMaxTransferBytes
        || !internal::readCompact(body, static_cast<std::int32_t>(kMaxConfigurationEntries),
                                  message))
        return std::nullopt;
    ConfigurationEntries result;
    result.storeEra = static_cast<std::uint64_t>(message.__isset.storeEra ? message.storeEra : 0);
    if (result.storeEra > kMaxStoreEra)
        return std::nullopt;
    result.revisionInForce = static_cast<std::uint64_t>(message.revisionInForce);
    for (wire::ConfigurationEntry &entry : message.entries) {
        const auto revision = static_cast<std::uint64_t>(entry.revision);
        if (!result.entries.empty() && revision <= result.entries.back().revision)
            return std::nullopt;
        result.entries.push_back({ revision, std::move(entry.value), entry.isCompressed });
    }
    if (message.__isset.ageMs && message.ageMs >= 0 && message.ageMs <= kMaxAgeMs)
        result.age = std::chrono::milliseconds(message.ageMs);
    for (wire::TableKeys &keys : message.presentKeys)
        result.presentKeys[keys.table].insert(keys.keys.begin(), keys.keys.end());
    for (wire::WeightsAge &age : message.weightsAges) {
        if (age.maxAgeMs >= 0 && age.maxAgeMs <= kMaxAgeMs
            && result.weightsAges.size() < kMaxWeightsAges)
            result.weightsAges.push_back({ std::move(age.model),
                                           static_cast<std::uint64_t>(age.version),
                                           std::chrono::milliseconds(age.maxAgeMs) });
    }
    return result;
}

} // namespace chervilfield::peers

#pragma once

#include "membership/member.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::peers {

/// Maximum size of the body of a request or response between peers over TCP.
constexpr std::size_t kMaxTransferBytes = 4U << 20U;
/// Maximum number of members in a table.
constexpr std::size_t kMaxTableMembers = 2048;
/// Maximum number of entries in one `ConfigurationEntries`.
constexpr std::size_t kMaxConfigurationEntries = 4096;
/// Maximum size of the value of a compressed entry after decompression.
constexpr std::size_t kMaxValueBytes = 16U << 20U;
/// Maximum number of keys of a table in one `ConfigurationEntries`.
constexpr std::size_t kMaxPresentKeys = 4096;
/// Highest era of the store in a message; larger ones are malformed.
constexpr std::uint64_t kMaxStoreEra = (1U << 20U) - 1;
/// Maximum number of weights ages in one `ConfigurationEntries`.
constexpr std::size_t kMaxWeightsAges = 256;

/// One configuration entry, whose value this package does not interpret. Daemons send an entry of
/// the configuration log, or the whole configuration at `revision`. Entry instances send the rows
/// that changed in the store at version `revision`.
struct ConfigurationEntry
{
    std::uint64_t revision = 0;
    std::string value;
    bool isCompressed = false; ///< Whether `value` is a Zstandard frame.
    bool operator==(const ConfigurationEntry &) const = default;
};

/// Compresses the value of the entry, unless it is compressed already or so small that the saving
/// does not count.
void compressValue(ConfigurationEntry &entry);

/// Returns the value of the entry, decompressed if necessary. Returns no value if it is malformed
/// or larger than `kMaxValueBytes`.
std::optional<std::string> decompressedValue(const ConfigurationEntry &entry);

/// Upper bound of the time since the operator set a version of a model's weights.
struct WeightsAge
{
    std::string model;
    std::uint64_t version = 0;
    std::chrono::milliseconds maxAge{ 0 };
    bool operator==(const WeightsAge &) const = default;
};

/// Configuration entries after a revision, in ascending order of revisions. The list may be
/// truncated to fit the limits above; the receiver then asks for the entries after the last one.
struct ConfigurationEntries
{
    /// Revision in force at the sender. Entry instances send 0 if their rows may be out of date.
    std::uint64_t revisionInForce = 0;
    std::vector<ConfigurationEntry> entries;
    /// Time since the entries were the newest ones. Only entry instances send it.
    std::optional<std::chrono::milliseconds> age{};
    std::vector<WeightsAge> weightsAges{}; ///< At most `kMaxWeightsAges`, from entry instances.
    /// Keys of all rows that exist at `revisionInForce`, by table, for tables of which the entries
    /// may lack deletions. Only entry instances send them.
    std::map<std::string, std::set<std::string>> presentKeys{};
    /// Era of the store that the revisions belong to. Only entry instances send it.
    std::uint64_t storeEra = 0;
    bool operator==(const ConfigurationEntries &) const = default;
};

/// Encodes the member table in Thrift's compact protocol. Does not check the limits, which
/// `decodeTable` enforces.
std::string encodeTable(const std::vector<membership::Member> &members);

/// Decodes a member table. Returns no value if the body is malformed or exceeds a limit. Memory use
/// is bounded by a small multiple of the size of the body.
std::optional<std::vector<membership::Member>> decodeTable(std::string_view body);

/// Returns true if `encodeEntries` sends all entries and keys.
bool fitsTransfer(const ConfigurationEntries &entries);

/// Encodes the entries in Thrift's compact protocol. Omits the last entries if the body would
/// exceed `kMaxTransferBytes` or the list `kMaxConfigurationEntries`.
std::string encodeEntries(const ConfigurationEntries &entries);

/// Decodes configuration entries. Returns no value if the body is malformed, exceeds a limit, is
/// not in ascending order of revisions or states an impossible era. Memory use is bounded as for
/// `decodeTable`.
std::optional<ConfigurationEntries> decodeEntries(std::string_view body);

} // namespace chervilfield::peers

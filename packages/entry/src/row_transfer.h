#pragma once

#include "fleet/store.h"
#include "peers/transfer.h"

#include <map>
#include <string>
#include <vector>

namespace chervilfield::entry::detail {

/// Encodes all rows of one version as the value of one entry, because revisions must increase from
/// entry to entry of a response.
std::string encodeRows(const std::vector<const fleet::StoreRow *> &rows);

/// Rows that a peer has sent.
struct TransferredRows
{
    /// Rows by table. Only if the peer is up to date, they have a version and the present keys.
    std::map<std::string, fleet::StoreRows> byTable;
    /// Whether the peer reaches the store and all of its rows could be read.
    bool isUpToDate = false;
};

/// Decodes the rows that a peer has sent of `tables`, each of which is in the result. Omits entries
/// that are malformed.
TransferredRows decodeRows(const peers::ConfigurationEntries &entries,
                           const std::vector<std::string> &tables);

/// Returns true if the rows are a copy of the whole table.
bool isCompleteCopy(const fleet::StoreRows &rows);

} // namespace chervilfield::entry::detail

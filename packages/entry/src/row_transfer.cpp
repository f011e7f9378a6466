#include "row_transfer.h"

#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace chervilfield::entry::detail {

namespace json = boost::json;

namespace {

// Returns no value if the entry or one of its rows is malformed.
std::optional<std::vector<fleet::StoreRow>> decodeEntry(const peers::ConfigurationEntry &entry)
{
    std::vector<fleet::StoreRow> rows;
    const auto text = peers::decompressedValue(entry);
    if (!text)
        return std::nullopt;
    json::error_code error;
    // Rows of other writers may hold any bytes, which the sender copies into the text.
    const json::value value = json::parse(*text, error, {}, { .allow_invalid_utf8 = true });
    if (error || !value.is_array())
        return std::nullopt;
    for (const json::value &item : value.get_array()) {
        const json::object *object = item.if_object();
        if (object == nullptr)
            return std::nullopt;
        const json::value *table = object->if_contains("table");
        const json::value *key = object->if_contains("key");
        const json::value *content = object->if_contains("value");
        const json::value *deleted = object->if_contains("deleted");
        if (!table || !key || !content || !deleted || !table->is_string() || !key->is_string()
            || !content->is_string() || !deleted->is_bool())
            return std::nullopt;
        rows.push_back({ .table = std::string(table->get_string()),
                         .partition = {},
                         .key = std::string(key->get_string()),
                         .value = std::string(content->get_string()),
                         .version = entry.revision,
                         .isDeleted = deleted->get_bool() });
    }
    return rows;
}

} // namespace

std::string encodeRows(const std::vector<const fleet::StoreRow *> &rows)
{
    json::array list;
    for (const fleet::StoreRow *row : rows) {
        list.push_back(json::object{ { "table", row->table },
                                     { "key", row->key },
                                     { "value", row->value },
                                     { "deleted", row->isDeleted } });
    }
    return json::serialize(list);
}

TransferredRows decodeRows(const peers::ConfigurationEntries &entries,
                           const std::vector<std::string> &tables)
{
    TransferredRows result;
    bool isReadable = true;
    for (const peers::ConfigurationEntry &entry : entries.entries) {
        auto rows = decodeEntry(entry);
        isReadable = isReadable && rows.has_value();
        for (fleet::StoreRow &row : rows.value_or(std::vector<fleet::StoreRow>()))
            result.byTable[row.table].rows.push_back(std::move(row));
    }
    result.isUpToDate = isReadable && entries.revisionInForce > 0;
    for (const std::string &table : tables) {
        fleet::StoreRows &rows = result.byTable[table];
        rows.era = entries.storeEra;
        if (!result.isUpToDate)
            continue;
        rows.version = entries.revisionInForce;
        if (const auto keys = entries.presentKeys.find(table); keys != entries.presentKeys.end())
            rows.presentKeys = keys->second;
    }
    return result;
}

bool isCompleteCopy(const fleet::StoreRows &rows)
{
    if (!rows.presentKeys || rows.version == 0)
        return false;
    std::set<std::string> keys;
    for (const fleet::StoreRow &row : rows.rows) {
        if (!row.isDeleted)
            keys.insert(row.key);
    }
    return std::ranges::includes(keys, *rows.presentKeys);
}

} // namespace chervilfield::entry::detail

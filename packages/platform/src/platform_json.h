#pragma once

#include "platform/platform_client.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::platform {

// JSON formats of the platform's services, as in section 3.3 of the design. The parsers return no
// value if the text does not have the expected format.

/// Encodes the body of a conditional write.
std::string encodeWrite(const TableWrite &write);

/// Parses a row, whose key is not part of the text.
std::optional<TableRow> parseRow(const std::string &key, std::string_view text);

/// Parses a list of rows with their keys.
std::optional<std::vector<TableRow>> parseRows(std::string_view text);

/// Parses the instance list.
std::optional<std::vector<Instance>> parseInstances(std::string_view text);

} // namespace chervilfield::platform

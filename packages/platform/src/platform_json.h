#pragma once

#include "platform/platform_client.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::platform {

/// JSON forms of section 3.3 of the design. Parsers return nothing if the text has another form.
std::string encodeWrite(const TableWrite &write);
std::optional<TableRow> parseRow(const std::string &key, std::string_view text);
std::optional<std::vector<TableRow>> parseRows(std::string_view text);
std::optional<std::vector<Instance>> parseInstances(std::string_view text);

} // namespace chervilfield::platform

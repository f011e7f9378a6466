#pragma once

#include "configuration/change.h"
#include "configuration/configuration.h"
#include "configuration/validation.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::configuration {

/// Converts types of this package to and from JSON text. A resource is an object with the member
/// `resource`, which is "pool", "target", "customer" or "intent". Selectors are strings in the
/// syntax of `parseSelector`, labels are an object of strings, API key hashes are hexadecimal
/// digits, and durations are in milliseconds (`deadlineMs`).
///
/// The parsers append every error to `errors` and return no value or null if there is any. Unknown
/// members are errors.
std::string toJson(const Resource &resource);
std::string toJson(const Change &change);
std::string toJson(const Revision &revision);
std::string toJson(std::span<const Revision> revisions);
/// Returns the whole snapshot: `{"revision":...,"resources":[...]}`.
std::string toJson(const Configuration &configuration);
std::string toJson(std::span<const Difference> differences);
std::string toJson(std::span<const ValidationError> errors);

std::optional<Change> parseChange(std::string_view text, std::vector<ValidationError> &errors);
std::optional<Revision> parseRevision(std::string_view text, std::vector<ValidationError> &errors);
std::optional<std::vector<Revision>> parseRevisions(std::string_view text,
                                                    std::vector<ValidationError> &errors);
ConfigurationPtr parseConfiguration(std::string_view text, std::vector<ValidationError> &errors);

/// Parses the content of an operator's file: one resource, an array of resources, or an object with
/// the arrays `resources` and `deletes`. The elements of `deletes` are objects with `resource` and
/// `name`.
std::optional<ResourceChanges> parseResources(std::string_view text,
                                              std::vector<ValidationError> &errors);

} // namespace chervilfield::configuration

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

/// JSON forms. A resource is an object with the member `resource` ("pool", "target", "customer" or
/// "intent"); selectors are strings in their written form, labels an object, durations
/// `deadlineMs`. Parsers report every fault in `errors` and return nothing if there is one; unknown
/// members are faults.
std::string toJson(const Resource &resource);
std::string toJson(const Change &change);
std::string toJson(const Revision &revision);
std::string toJson(std::span<const Revision> revisions);
/// The whole snapshot: `{"revision","resources":[...]}`.
std::string toJson(const Configuration &configuration);
std::string toJson(std::span<const Difference> differences);
std::string toJson(std::span<const ValidationError> errors);

std::optional<Change> parseChange(std::string_view text, std::vector<ValidationError> &errors);
std::optional<Revision> parseRevision(std::string_view text, std::vector<ValidationError> &errors);
std::optional<std::vector<Revision>> parseRevisions(std::string_view text,
                                                    std::vector<ValidationError> &errors);
ConfigurationPtr parseConfiguration(std::string_view text, std::vector<ValidationError> &errors);

/// Parses what operators write in files: one resource, an array of resources, or an object with
/// `resources` and `deletes` (objects with `resource` and `name`).
std::optional<ResourceChanges> parseResources(std::string_view text,
                                              std::vector<ValidationError> &errors);

} // namespace chervilfield::configuration

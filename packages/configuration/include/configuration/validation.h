#pragma once

#include "configuration/change.h"
#include "configuration/configuration.h"

#include <string>
#include <vector>

namespace chervilfield::configuration {

/// One fault in a change.
struct ValidationError
{
    std::string subject; ///< "<kind>/<name>", or a position in the document.
    std::string field;   ///< Empty if the fault concerns the whole resource.
    std::string message; ///< What was expected and what was found.

    bool operator==(const ValidationError &) const = default;
};

/// Returns "<subject>: <field>: <message>".
std::string toString(const ValidationError &error);

/// Returns every fault of `changes` on top of `base`, or nothing if they can be applied. Does not
/// check the base revision.
std::vector<ValidationError> validate(const Configuration &base, const ResourceChanges &changes);

} // namespace chervilfield::configuration

#pragma once

#include "configuration/change.h"
#include "configuration/configuration.h"

#include <string>
#include <vector>

namespace chervilfield::configuration {

/// One error in a change or in a JSON document.
struct ValidationError
{
    std::string subject; ///< "<kind>/<name>", or a position in the document.
    std::string field;   ///< Empty if the error concerns the whole subject.
    std::string message; ///< Expected and actual value.

    bool operator==(const ValidationError &) const = default;
};

/// Returns "<subject>: <field>: <message>", without the field if it is empty.
std::string toString(const ValidationError &error);

/// Returns all errors in `changes` relative to `base`; empty if they can be applied. Does not check
/// the base revision.
std::vector<ValidationError> validate(const Configuration &base, const ResourceChanges &changes);

} // namespace chervilfield::configuration

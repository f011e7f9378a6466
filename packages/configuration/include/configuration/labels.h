#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::configuration {

/// Key and value that operators attach to a resource.
struct Label
{
    std::string key;
    std::string value;

    bool operator==(const Label &) const = default;
};

/// Labels of one resource, in ascending order of their keys. Keys are unique.
using Labels = std::vector<Label>;

/// Returns the value of the label `key`, or null if there is none.
const std::string *findLabel(const Labels &labels, std::string_view key);

/// Sorts `labels` by key. The other functions of this package require this order.
void sortLabels(Labels &labels);

/// Returns true if `text` consists of 1 to 63 letters, digits, '.', '_', '-' or '/'. Names of
/// resources, label keys, label values and write ids must have this form.
bool isValidName(std::string_view text);

/// Comparison of a requirement.
enum class Operator { Equals, NotEquals, In, Exists, NotExists };

/// One condition of a selector.
struct Requirement
{
    std::string key;
    Operator op = Operator::Equals;
    /// One value for `Equals` and `NotEquals`, any number for `In`, none for the others.
    std::vector<std::string> values;

    bool operator==(const Requirement &) const = default;
};

/// Selects the resources whose labels satisfy all requirements. An empty selector selects every
/// resource. Example of the syntax: `site=leon, tier!=test, role in (chat,review), gpu, !draining`.
struct LabelSelector
{
    std::vector<Requirement> requirements;

    bool operator==(const LabelSelector &) const = default;
};

/// Returns true if `labels` satisfy every requirement of `selector`. `key!=value` is also satisfied
/// if the label is absent.
bool matches(const LabelSelector &selector, const Labels &labels);

/// Parses the text form of a selector. On a syntax error, returns no value and stores what was
/// expected and what was found in `error`.
std::optional<LabelSelector> parseSelector(std::string_view text, std::string &error);

/// Returns the text form of a selector, which `parseSelector` accepts.
std::string toString(const LabelSelector &selector);

} // namespace chervilfield::configuration

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::configuration {

/// A name and value that operators attach to a resource.
struct Label
{
    std::string key;
    std::string value;

    bool operator==(const Label &) const = default;
};

/// Labels of one resource, in ascending order of their keys; keys are unique.
using Labels = std::vector<Label>;

/// Returns the value of the label `key`, or a null pointer if there is none.
const std::string *findLabel(const Labels &labels, std::string_view key);

/// Sorts `labels` by key, as the functions of this package expect them.
void sortLabels(Labels &labels);

/// Returns true if and only if `text` is 1 to 63 letters, digits, '.', '_', '-' or '/'. Names of
/// resources, label keys and label values have this form.
bool isValidName(std::string_view text);

enum class Operator { Equals, NotEquals, In, Exists, NotExists };

/// One condition of a selector.
struct Requirement
{
    std::string key;
    Operator op = Operator::Equals;
    std::vector<std::string> values; ///< One for (not) equals, any number for in, none otherwise.

    bool operator==(const Requirement &) const = default;
};

/// Selects resources by their labels: all requirements must hold. An empty selector selects every
/// resource. Written as `site=leon, tier!=test, role in (chat,review), gpu, !draining`.
struct LabelSelector
{
    std::vector<Requirement> requirements;

    bool operator==(const LabelSelector &) const = default;
};

/// Returns true if and only if every requirement of `selector` holds. `key!=value` also holds when
/// the label is absent.
bool matches(const LabelSelector &selector, const Labels &labels);

/// Parses the written form of a selector. On a syntax error, returns nothing and stores what was
/// expected and found in `error`.
std::optional<LabelSelector> parseSelector(std::string_view text, std::string &error);

/// Returns the written form that `parseSelector` accepts.
std::string toString(const LabelSelector &selector);

} // namespace chervilfield::configuration

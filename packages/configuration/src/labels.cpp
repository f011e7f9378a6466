#include "configuration/labels.h"

#include <algorithm>
#include <cctype>

namespace chervilfield::configuration {

namespace {

constexpr std::size_t kMaxNameLength = 63;

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '.'
           || character == '_' || character == '-' || character == '/';
}

bool holds(const Requirement &requirement, const Labels &labels)
{
    const std::string *value = findLabel(labels, requirement.key);
    const auto isListed = [&] {
        return value != nullptr
               && std::ranges::find(requirement.values, *value) != requirement.values.end();
    };
    switch (requirement.op) {
    case Operator::Equals:
    case Operator::In:
        return isListed();
    case Operator::NotEquals:
        return !isListed();
    case Operator::Exists:
        return value != nullptr;
    case Operator::NotExists:
        break;
    }
    return value == nullptr;
}

/// Recursive-descent parser of the text form of selectors. The parse functions return false and set
/// the error on a syntax error.
class SelectorParser
{
public:
    SelectorParser(std::string_view text, std::string &error) : text_(text), error_(error) {}

    std::optional<LabelSelector> parse()
    {
        LabelSelector selector;
        skipSpace();
        while (position_ < text_.size()) {
            Requirement requirement;
            if (!parseRequirement(requirement))
                return std::nullopt;
            selector.requirements.push_back(std::move(requirement));
            if (position_ == text_.size())
                break;
            if (!consume(",") || position_ == text_.size()) {
                setError("',' and a requirement");
                return std::nullopt;
            }
        }
        return selector;
    }

private:
    void skipSpace()
    {
        while (position_ < text_.size() && text_[position_] == ' ')
            ++position_;
    }

    /// Consumes `token` and the spaces after it. Returns false if the text does not start with it.
    bool consume(std::string_view token)
    {
        if (!text_.substr(position_).starts_with(token))
            return false;
        position_ += token.size();
        skipSpace();
        return true;
    }

    /// Consumes and returns the longest sequence of name characters, which may be empty or too
    /// long.
    std::string consumeName()
    {
        const std::size_t start = position_;
        while (position_ < text_.size() && isNameCharacter(text_[position_]))
            ++position_;
        std::string result(text_.substr(start, position_ - start));
        skipSpace();
        return result;
    }

    /// Sets the error for the current position. Always returns false.
    bool setError(std::string_view expected)
    {
        const std::string_view rest = text_.substr(position_);
        error_ = "expected " + std::string(expected) + " at offset " + std::to_string(position_)
                 + ", found '" + std::string(rest.substr(0, 16)) + "'";
        return false;
    }

    /// Parses a valid name. On an error, `what` describes the expected name.
    bool parseName(std::string &result, std::string_view what)
    {
        const std::size_t start = position_;
        result = consumeName();
        if (isValidName(result))
            return true;
        position_ = start;
        return setError(what);
    }

    bool parseRequirement(Requirement &requirement)
    {
        const bool negated = consume("!");
        if (!parseName(requirement.key, "a label key of 1 to 63 characters"))
            return false;
        requirement.op = negated ? Operator::NotExists : Operator::Exists;
        if (negated || position_ == text_.size() || text_[position_] == ',')
            return true;
        if (consume("!="))
            return parseValue(requirement, Operator::NotEquals);
        if (consume("="))
            return parseValue(requirement, Operator::Equals);
        return parseList(requirement);
    }

    bool parseValue(Requirement &requirement, Operator op)
    {
        requirement.op = op;
        return parseName(requirement.values.emplace_back(), "a label value of 1 to 63 characters");
    }

    bool parseList(Requirement &requirement)
    {
        const std::size_t start = position_;
        if (consumeName() != "in" || !consume("(")) {
            position_ = start;
            return setError("'=', '!=', 'in (' or ','");
        }
        do {
            if (!parseValue(requirement, Operator::In))
                return false;
        } while (consume(","));
        return consume(")") || setError("',' or ')'");
    }

    std::string_view text_;
    std::string &error_;
    std::size_t position_ = 0;
};

std::string toString(const Requirement &requirement)
{
    switch (requirement.op) {
    case Operator::Equals:
        return requirement.key + "=" + requirement.values.front();
    case Operator::NotEquals:
        return requirement.key + "!=" + requirement.values.front();
    case Operator::Exists:
        return requirement.key;
    case Operator::NotExists:
        return "!" + requirement.key;
    case Operator::In:
        break;
    }
    std::string text = requirement.key + " in (";
    for (std::size_t i = 0; i < requirement.values.size(); ++i)
        text += (i == 0 ? "" : ",") + requirement.values[i];
    return text + ")";
}

} // namespace

const std::string *findLabel(const Labels &labels, std::string_view key)
{
    const auto found = std::ranges::lower_bound(labels, key, {}, &Label::key);
    return found != labels.end() && found->key == key ? &found->value : nullptr;
}

void sortLabels(Labels &labels)
{
    std::ranges::sort(labels, {}, &Label::key);
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxNameLength
           && std::ranges::all_of(text, isNameCharacter);
}

bool matches(const LabelSelector &selector, const Labels &labels)
{
    return std::ranges::all_of(selector.requirements, [&](const Requirement &requirement) {
        return holds(requirement, labels);
    });
}

std::optional<LabelSelector> parseSelector(std::string_view text, std::string &error)
{
    return SelectorParser(text, error).parse();
}

std::string toString(const LabelSelector &selector)
{
    std::string text;
    for (const Requirement &requirement : selector.requirements)
        text += (text.empty() ? "" : ",") + toString(requirement);
    return text;
}

} // namespace chervilfield::configuration

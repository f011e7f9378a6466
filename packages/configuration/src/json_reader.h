#pragma once

#include "configuration/resources.h"
#include "configuration/validation.h"

#include <boost/json.hpp>

#include <initializer_list>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::configuration {

/// Reads the members of a JSON object and appends all errors to a list. An absent optional member
/// leaves the output unchanged.
class ObjectReader
{
public:
    /// Reports an error if `value` is not an object. `subject` names it in errors. `value` and
    /// `errors` must outlive the reader.
    ObjectReader(const boost::json::value &value, std::string subject,
                 std::vector<ValidationError> &errors);

    /// Whether the absence of a member is an error.
    enum class Presence { Required, Optional };

    /// Reads the member `key` into `out`. A string is optional unless `presence` says otherwise, an
    /// API key hash is required, and the other types are optional.
    void read(std::string_view key, std::string &out, Presence presence = Presence::Optional);
    void read(std::string_view key, bool &out);
    void read(std::string_view key, Labels &out);
    void read(std::string_view key, LabelSelector &out);
    void read(std::string_view key, ApiKeyHash &out);

    /// Reads an integer that must be in the range of `T`.
    template<typename T>
    void readInteger(std::string_view key, T &out, Presence presence = Presence::Optional)
    {
        const boost::json::value *value = find(key, presence);
        if (value == nullptr)
            return;
        boost::json::error_code error;
        const T number = value->to_number<T>(error);
        if (error)
            addError(key, "expected a whole number in range, found " + serialize(*value));
        else
            out = number;
    }

    /// Reads a string that must be the text form of one of `choices`.
    template<typename E>
    void readChoice(std::string_view key, E &out, std::initializer_list<E> choices,
                    Presence presence = Presence::Optional)
    {
        const boost::json::value *value = find(key, presence);
        if (value == nullptr)
            return;
        std::string expected;
        for (const E choice : choices) {
            if (value->is_string() && value->get_string() == toString(choice)) {
                out = choice;
                return;
            }
            expected += (expected.empty() ? "" : " or ") + std::string(toString(choice));
        }
        addError(key, "expected " + expected + ", found " + serialize(*value));
    }

    /// Returns the array `key`, or an empty one if it is absent or not an array.
    const boost::json::array &readArray(std::string_view key);

    /// Appends an error for `field` of the subject.
    void addError(std::string_view field, std::string message);

    /// Reports all members that were not read as unknown.
    void reportUnreadMembers();

private:
    const boost::json::value *find(std::string_view key, Presence presence);

    const boost::json::object *object_ = nullptr;
    std::string subject_;
    std::vector<ValidationError> &errors_;
    /// Keys that were looked up. They are views of the callers' strings, which must outlive the
    /// reader.
    std::vector<std::string_view> readKeys_;
};

} // namespace chervilfield::configuration

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

/// Reads the members of one JSON object and reports every fault. Members that are not read are
/// reported by `finish`.
class ObjectReader
{
public:
    ObjectReader(const boost::json::value &value, std::string subject,
                 std::vector<ValidationError> &errors);

    enum class Presence { Required, Optional };

    void read(std::string_view key, std::string &out, Presence presence = Presence::Optional);
    void read(std::string_view key, bool &out);
    void read(std::string_view key, Labels &out);
    void read(std::string_view key, LabelSelector &out);
    void read(std::string_view key, ApiKeyHash &out);

    template<typename T>
    void readInteger(std::string_view key, T &out, Presence presence = Presence::Optional)
    {
        const boost::json::value *value = find(key, presence);
        if (value == nullptr)
            return;
        boost::json::error_code error;
        const T number = value->to_number<T>(error);
        if (error)
            fail(key, "expected a whole number in range, found " + serialize(*value));
        else
            out = number;
    }

    /// Reads a string that is the written form of one of `choices`.
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
        fail(key, "expected " + expected + ", found " + serialize(*value));
    }

    /// Returns the array `key`, or an empty one.
    const boost::json::array &array(std::string_view key);

    void fail(std::string_view field, std::string message);

    /// Reports members that were not read.
    void finish();

private:
    const boost::json::value *find(std::string_view key, Presence presence);

    const boost::json::object *object_ = nullptr;
    std::string subject_;
    std::vector<ValidationError> &errors_;
    std::vector<std::string_view> known_;
};

} // namespace chervilfield::configuration

#include "orders/order_row.h"

#include "base/result.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace chervilfield::orders {

namespace json = boost::json;

namespace {

struct StateName
{
    RowState state;
    std::string_view name;
};

constexpr std::array kStateNames{
    StateName{ RowState::Intent, "intent" },
    StateName{ RowState::Ran, "ran" },
    StateName{ RowState::Undecided, "undecided" },
    StateName{ RowState::Closed, "closed" },
};

std::int64_t toMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

WallTime fromMilliseconds(std::int64_t ms)
{
    return WallTime(std::chrono::milliseconds(ms));
}

const json::string *findString(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value ? value->if_string() : nullptr;
}

const std::int64_t *findInteger(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value ? value->if_int64() : nullptr;
}

std::optional<Answer> decodeAnswer(const json::object &object)
{
    const std::int64_t *status = findInteger(object, "status");
    const json::string *contentType = findString(object, "contentType");
    const json::string *body = findString(object, "body");
    if (!status || !contentType || !body)
        return std::nullopt;
    return Answer{ .status = static_cast<int>(*status),
                   .contentType = std::string(*contentType),
                   .body = std::string(*body) };
}

} // namespace

std::string encodeRow(const OrderRow &row)
{
    const auto *name = std::ranges::find(kStateNames, row.state, &StateName::state);
    json::object object;
    object["state"] = name->name;
    object["ownerLife"] = row.ownerLife;
    object["fingerprint"] = row.fingerprint;
    object["createdMs"] = toMilliseconds(row.created);
    object["answerExpiresMs"] = toMilliseconds(row.answerExpires);
    if (row.answer) {
        object["answer"] = json::object{ { "status", row.answer->status },
                                         { "contentType", row.answer->contentType },
                                         { "body", row.answer->body } };
    }
    return json::serialize(object);
}

std::optional<OrderRow> decodeRow(std::string_view text, std::error_code &error)
{
    error.clear();
    boost::system::error_code parseError;
    const json::value value = json::parse(text, parseError);
    if (parseError || !value.is_object()) {
        error = base::Result::InvalidJson;
        return std::nullopt;
    }
    error = base::Result::InvalidField;
    const json::object &object = value.get_object();
    const json::string *state = findString(object, "state");
    const json::string *ownerLife = findString(object, "ownerLife");
    const json::string *fingerprintText = findString(object, "fingerprint");
    const std::int64_t *created = findInteger(object, "createdMs");
    const std::int64_t *expires = findInteger(object, "answerExpiresMs");
    if (!state || !ownerLife || !fingerprintText || !created || !expires)
        return std::nullopt;
    const auto *name = std::ranges::find(kStateNames, std::string_view(*state), &StateName::name);
    if (name == kStateNames.end())
        return std::nullopt;
    OrderRow row{ .state = name->state,
                  .ownerLife = std::string(*ownerLife),
                  .fingerprint = std::string(*fingerprintText),
                  .created = fromMilliseconds(*created),
                  .answerExpires = fromMilliseconds(*expires),
                  .answer = std::nullopt };
    if (const json::value *answer = object.if_contains("answer")) {
        if (answer->is_object())
            row.answer = decodeAnswer(answer->get_object());
        if (!row.answer)
            return std::nullopt;
    }
    error.clear();
    return row;
}

bool dropExpiredAnswer(OrderRow &row, WallTime now)
{
    if (row.state != RowState::Ran || !row.answer || now < row.answerExpires)
        return false;
    row.answer.reset();
    return true;
}

} // namespace chervilfield::orders

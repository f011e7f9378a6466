#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace chervilfield::orders {

using WallTime = std::chrono::system_clock::time_point;

/// Answer of a service, as it is stored and replayed.
struct Answer
{
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;

    bool operator==(const Answer &) const = default;
};

/// State of an order in its table row. `Intent` is the only state that can change, except that an
/// `Undecided` order becomes `Ran` when its owner receives the answer after all.
enum class RowState {
    Intent,    ///< The owner may have dispatched the order.
    Ran,       ///< The order was dispatched and answered.
    Undecided, ///< The order was dispatched and no answer was received.
    Closed,    ///< The order was not dispatched and never will be.
};

/// Value of the row `orders/<customer>/<key>`.
struct OrderRow
{
    RowState state = RowState::Intent;
    std::string ownerLife; ///< Process life that wrote the intent; only it may dispatch.
    std::string fingerprint;
    WallTime created;
    WallTime answerExpires;       ///< Meaningful in state `Ran` with an answer.
    std::optional<Answer> answer; ///< Absent in state `Ran` if it was too large or has expired.

    bool operator==(const OrderRow &) const = default;
};

/// A row as the table service returned it.
struct StoredRow
{
    OrderRow row;
    std::uint64_t version = 0;
    std::string writeId; ///< Identifies the write that produced this version.

    bool operator==(const StoredRow &) const = default;
};

/// Returns the JSON text of `row`. Times are kept in milliseconds.
std::string encodeRow(const OrderRow &row);

/// Parses the text of `encodeRow`. Errors: `InvalidJson`, `InvalidField`.
std::optional<OrderRow> decodeRow(std::string_view text, std::error_code &error);

/// Removes the answer of `row` and returns true if and only if it has expired at `now`. The caller
/// then writes the row conditionally on the version that it read. The row itself stays: without it,
/// a very late attempt would run the order again.
bool dropExpiredAnswer(OrderRow &row, WallTime now);

} // namespace chervilfield::orders

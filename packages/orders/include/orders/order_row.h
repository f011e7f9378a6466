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

/// Response of a service, as it is stored and replayed to retries.
struct Answer
{
    int status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;

    bool operator==(const Answer &) const = default;
};

/// State of an order in its table row. All states but `Intent` are final.
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
    WallTime answerExpires;       ///< Valid in state `Ran` while `answer` is present.
    std::optional<Answer> answer; ///< Absent in state `Ran` if it was too large or has expired.

    bool operator==(const OrderRow &) const = default;
};

/// Row with the version and write id that the table service returned.
struct StoredRow
{
    OrderRow row;
    std::uint64_t version = 0;
    std::string writeId; ///< Identifies the write that produced this version.

    bool operator==(const StoredRow &) const = default;
};

/// Returns `row` as JSON text. Times are rounded down to milliseconds.
std::string encodeRow(const OrderRow &row);

/// Parses the text of `encodeRow`. Errors: `InvalidJson`, `InvalidField`.
std::optional<OrderRow> decodeRow(std::string_view text, std::error_code &error);

/// Removes the answer of `row` if it has expired at `now`, and returns whether it did. If true, the
/// caller writes the row conditionally on the version that it read. The row itself is kept: without
/// it, a very late attempt would run the order again.
bool dropExpiredAnswer(OrderRow &row, WallTime now);

} // namespace chervilfield::orders

#include "chaos/checkers.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chervilfield::chaos {

namespace {

/// State of a row. Version 0 means that the row does not exist.
struct RowState
{
    std::uint64_t version = 0;
    std::string writeId;

    auto operator<=>(const RowState &) const = default;
};

constexpr double kNever = std::numeric_limits<double>::infinity();

bool isLost(const RowOperation &operation)
{
    return operation.result == "lost";
}

/// Applies `operation` to `state`. Returns true if and only if its response was possible in the
/// state before; otherwise `state` is unspecified.
bool apply(const RowOperation &operation, RowState &state)
{
    const RowState reported{ operation.rowVersion, operation.rowWriteId };
    if (operation.operation == "read")
        return isLost(operation) || reported == state;
    if (operation.ifVersion != state.version)
        return isLost(operation) || (operation.result == "conflict" && reported == state);
    state = { state.version + 1, operation.writeId };
    return isLost(operation) || (operation.result == "ok" && reported == state);
}

/// Depth-first search for a linearization: an order of the operations on one row, consistent with
/// their times, in which all responses are possible.
class LinearizationSearch
{
public:
    explicit LinearizationSearch(std::vector<RowOperation> operations)
        : operations_(std::move(operations))
    {
        std::ranges::stable_sort(operations_, {}, &RowOperation::invoked);
        for (const RowOperation &operation : operations_)
            unexplainedCount_ += isLost(operation) ? 0 : 1;
    }

    /// Returns whether there is a linearization.
    bool run()
    {
        struct Frame
        {
            RowState state;
            std::size_t next = 0;  ///< Index of the operation to try next.
            std::size_t taken = 0; ///< Index of the operation that led to this state.
        };
        std::vector<bool> done(operations_.size());
        std::vector<Frame> frames{ Frame{} };
        while (unexplainedCount_ > 0) {
            Frame &frame = frames.back();
            RowState state = frame.state;
            const std::size_t taken = findNext(done, frame.next, state);
            if (taken < operations_.size()) {
                frame.next = taken + 1;
                mark(done, taken, true);
                if (visited_.emplace(done, state).second)
                    frames.push_back({ state, 0, taken });
                else
                    mark(done, taken, false);
                continue;
            }
            if (frames.size() == 1)
                return false;
            mark(done, frame.taken, false);
            frames.pop_back();
        }
        return true;
    }

private:
    void mark(std::vector<bool> &done, std::size_t index, bool value)
    {
        done[index] = value;
        if (!isLost(operations_[index]))
            unexplainedCount_ += value ? -1 : 1;
    }

    /// Returns the index of the first operation at or after `from` that can come next, and sets
    /// `state` to the state after it. Returns the number of operations if there is none. An
    /// operation can come next only if no other remaining one had returned before it was invoked.
    std::size_t findNext(const std::vector<bool> &done, std::size_t from, RowState &state) const
    {
        double firstReturn = kNever;
        for (std::size_t i = 0; i < operations_.size(); ++i) {
            if (!done[i] && !isLost(operations_[i]))
                firstReturn = std::min(firstReturn, operations_[i].returned);
        }
        for (std::size_t i = from; i < operations_.size(); ++i) {
            if (operations_[i].invoked > firstReturn)
                break;
            RowState after = state;
            if (!done[i] && apply(operations_[i], after)) {
                state = after;
                return i;
            }
        }
        return operations_.size();
    }

    std::vector<RowOperation> operations_;
    /// Number of operations with a response that are not yet in the order.
    std::ptrdiff_t unexplainedCount_ = 0;
    std::set<std::pair<std::vector<bool>, RowState>> visited_;
};

} // namespace

CheckResult checkRows(const History &history)
{
    std::map<std::string, std::vector<RowOperation>> operationsByKey;
    for (const RowOperation &operation : history.rowOperations)
        operationsByKey[operation.key].push_back(operation);
    CheckResult result{ .property = "rows_linearizable",
                        .exercised = history.rowOperations.size(),
                        .violations = {} };
    for (auto &[key, operations] : operationsByKey) {
        const std::size_t count = operations.size();
        if (!LinearizationSearch(std::move(operations)).run()) {
            result.violations.push_back("no order of the " + std::to_string(count)
                                        + " operations on row " + key + " explains the responses");
        }
    }
    return result;
}

} // namespace chervilfield::chaos

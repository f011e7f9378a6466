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

/// State of a row; version 0 means that it does not exist.
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

/// Returns true if and only if the response of `operation` is possible in state `state`, and
/// changes `state` to the one after it.
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

/// Depth-first search for an order of the operations on one row that explains all responses.
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

    bool run()
    {
        struct Frame
        {
            RowState state;
            std::size_t next = 0; ///< The operation to try next.
            std::size_t taken = 0;
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

    /// Returns the first operation from `from` on that may come next, and sets `state` to the state
    /// after it. An operation may come next if no other one had returned before it was invoked.
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
    std::ptrdiff_t unexplainedCount_ =
            0; ///< Operations with a response that are not yet in the order.
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

#pragma once

#include "base/result.h"
#include "fleet/store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace chervilfield::entry {

/// In-memory version of the platform's table service, for single-threaded tests. A copy of it can
/// be restored later.
class FakeStore : public fleet::Store
{
public:
    bool isUnreachable = false;     ///< Calls fail at once.
    bool isUnresponsive = false;    ///< Polls time out, even if the store recovers before.
    bool hasLostHistory = false;    ///< The next poll for changes fails with `NotFound`.
    bool dropsWriteReplies = false; ///< Writes take effect but fail with `WriteUndecided`.
    std::chrono::milliseconds responseDelay{ 0 }; ///< Time until a response has arrived.
    int fullReads = 0;                            ///< Calls of `readAll`.
    int answeredPolls = 0;                        ///< Polls for changes that got a response.
    int unansweredPolls = 0;       ///< Polls for changes while the store was unresponsive.
    int refusedCalls = 0;          ///< Failed calls of `readAll` and `write`.
    int writes = 0;                ///< Calls of `write` that took effect.
    std::function<void()> onWrite; ///< Called once, after the next write took effect.
    /// Called once, when the next answer to a read is ready and before it is sent.
    std::function<void()> onRead;
    std::function<void()> beforeRead;  ///< Called once, before the next read.
    std::function<void()> beforeWrite; ///< Called once, before the next write takes effect.
    std::uint64_t startEra = 0;        ///< Era of a store that was never restored.

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        setRow(table, key, value, false);
    }
    /// Writes both rows in one transaction, so that they have the same version.
    void putTogether(const std::string &table, const std::pair<std::string, std::string> &first,
                     const std::pair<std::string, std::string> &second)
    {
        setRow(table, first.first, first.second, false);
        --version_;
        setRow(table, second.first, second.second, false);
    }
    void erase(const std::string &table, const std::string &key) { setRow(table, key, {}, true); }

    /// Restores the rows and the version of an earlier copy and begins the next era.
    void restore(const FakeStore &copy)
    {
        rows_ = copy.rows_;
        version_ = copy.version_;
        ++restorations_;
    }
    std::uint64_t currentEra() const { return startEra + restorations_; }
    std::uint64_t currentVersion() const { return version_; }

    /// Returns the value of a row, empty if there is none.
    std::string valueOf(const std::string &table, const std::string &key) const
    {
        const auto found = rows_.find({ table, key });
        return found == rows_.end() ? std::string() : found->second.value;
    }

    std::optional<fleet::StoreRows> readAll(const std::string &table,
                                            boost::asio::yield_context yield,
                                            std::error_code &error) override
    {
        ++fullReads;
        waitBriefly(yield);
        if (isUnreachable) {
            ++refusedCalls;
            error = base::Result::StoreUnavailable;
            return std::nullopt;
        }
        call(beforeRead);
        fleet::StoreRows all{
            .rows = {}, .version = version_, .storeTime = storeTime(), .era = currentEra()
        };
        for (const auto &[key, row] : rows_) {
            if (key.first == table && !row.isDeleted)
                all.rows.push_back(row);
        }
        recordEra();
        call(onRead);
        return all;
    }

    std::optional<fleet::StoreRows> changes(const std::string &table, std::uint64_t after,
                                            std::chrono::milliseconds wait,
                                            boost::asio::yield_context yield,
                                            std::error_code &error) override
    {
        const auto pollDeadline = std::chrono::steady_clock::now() + wait;
        if (isUnresponsive) {
            ++unansweredPolls;
            while (std::chrono::steady_clock::now() < pollDeadline)
                waitBriefly(yield);
            error = base::Result::StoreUnavailable;
            return std::nullopt;
        }
        while (true) {
            if (isUnreachable)
                error = base::Result::StoreUnavailable;
            else if (std::exchange(hasLostHistory, false)
                     || (currentEra() > startEra && after > version_))
                error = base::Result::NotFound;
            if (!isUnreachable)
                recordEra();
            if (error)
                return std::nullopt;
            fleet::StoreRows found{
                .rows = {}, .version = version_, .storeTime = storeTime(), .era = currentEra()
            };
            for (const auto &[key, row] : rows_) {
                if (key.first == table && row.version > after)
                    found.rows.push_back(row);
            }
            if (!found.rows.empty() || std::chrono::steady_clock::now() >= pollDeadline) {
                ++answeredPolls;
                call(onRead);
                const auto arrival = std::chrono::steady_clock::now() + responseDelay;
                while (std::chrono::steady_clock::now() < arrival)
                    waitBriefly(yield);
                return found;
            }
            waitBriefly(yield);
        }
    }

    std::optional<fleet::StoreVersion> write(const fleet::ConditionalWrite &write,
                                             boost::asio::yield_context,
                                             std::error_code &error) override
    {
        if (isUnreachable) {
            ++refusedCalls;
            error = base::Result::StoreUnavailable;
            return std::nullopt;
        }
        call(beforeWrite);
        const std::uint64_t era = currentEra();
        recordEra();
        const auto found = rows_.find({ write.table, write.key });
        const bool exists = found != rows_.end() && !found->second.isDeleted;
        if ((exists ? found->second.version : 0) != write.expectedVersion) {
            error = base::Result::RevisionConflict;
            return std::nullopt;
        }
        ++writes;
        put(write.table, write.key, write.value);
        const std::uint64_t version = version_;
        call(onWrite);
        if (dropsWriteReplies) {
            error = base::Result::WriteUndecided;
            return std::nullopt;
        }
        return fleet::StoreVersion{ .era = era, .version = version };
    }

    std::uint64_t era() const override { return answeredEra_; }

private:
    static void call(std::function<void()> &callback)
    {
        if (const auto once = std::exchange(callback, nullptr))
            once();
    }

    void recordEra() { answeredEra_ = std::max(answeredEra_, currentEra()); }

    // Returns the time of the store's own clock, which differs from that of the instance.
    static std::chrono::milliseconds storeTime()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::steady_clock::now().time_since_epoch())
               + std::chrono::hours(1000);
    }

    // Suspends for a millisecond, so that other coroutines run.
    static void waitBriefly(boost::asio::yield_context yield)
    {
        boost::asio::steady_timer timer(yield.get_executor(), std::chrono::milliseconds(1));
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }

    void setRow(const std::string &table, const std::string &key, const std::string &value,
                bool isDeleted)
    {
        ++version_;
        rows_[{ table, key }] = { .table = table,
                                  .partition = {},
                                  .key = key,
                                  .value = value,
                                  .version = version_,
                                  .isDeleted = isDeleted };
    }

    std::map<std::pair<std::string, std::string>, fleet::StoreRow> rows_;
    std::uint64_t version_ = 0;
    std::uint64_t restorations_ = 0;
    std::uint64_t answeredEra_ = 0; ///< Highest era of an answer.
};

/// Runs the context until `condition` holds. Returns false if that takes more than five seconds.
inline bool runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        context.run_for(std::chrono::milliseconds(1));
    }
    return true;
}

} // namespace chervilfield::entry

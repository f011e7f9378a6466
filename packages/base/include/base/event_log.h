#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <type_traits>

namespace chervilfield::base {

/// Name and value of one field of a log line.
struct LogField
{
    LogField(std::string_view fieldName, std::string_view text) : name(fieldName), value(text) {}
    LogField(std::string_view fieldName, const std::string &text) : name(fieldName), value(text) {}
    LogField(std::string_view fieldName, const char *text) : name(fieldName), value(text) {}
    template<typename T>
    requires std::is_arithmetic_v<T> LogField(std::string_view fieldName, T number)
        : name(fieldName), value(std::to_string(number)), isNumber(true)
    {
    }
    /// Durations are written as whole milliseconds.
    template<typename R, typename P>
    LogField(std::string_view fieldName, std::chrono::duration<R, P> time)
        : LogField(fieldName, std::chrono::duration_cast<std::chrono::milliseconds>(time).count())
    {
    }

    std::string_view name;
    std::string value;
    bool isNumber = false;
};

/// Fields of one log line, in the order in which they are written.
using LogFields = std::initializer_list<LogField>;

/// Options of an `EventLog`.
struct EventLogOptions
{
    int descriptor = 1; ///< File descriptor; the default is standard output.
    /// Maximum average rate. A daemon serves a few hundred requests per second at its peak.
    double linesPerSecond = 200;
    double burst = 400; ///< Maximum number of lines at once.
};

/// Structured log of decisions with one JSON object per line. A line is dropped and counted if it
/// exceeds the rate limit or 4096 bytes, or if writing to the descriptor would block. The next line
/// that is written reports the number of dropped lines in the field `dropped`. Writing never
/// blocks. Thread-safe.
class EventLog
{
public:
    explicit EventLog(EventLogOptions options = {});

    /// Writes `{"at":..,"part":..,"event":..,fields}`, where `at` is the Unix time in milliseconds.
    void write(std::string_view part, std::string_view event, LogFields fields);

    /// Returns the number of lines dropped since the construction.
    std::uint64_t dropped() const;

private:
    bool tryTakeLine();

    EventLogOptions options_;
    mutable std::mutex mutex_;
    double availableLines_; ///< Content of the token bucket.
    std::chrono::steady_clock::time_point lastRefill_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreportedDropped_ = 0; ///< Lines dropped since the last line written.
};

/// Appends `text` to `out` as a JSON string.
void appendJsonString(std::string &out, std::string_view text);

} // namespace chervilfield::base

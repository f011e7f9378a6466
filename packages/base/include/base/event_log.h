#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <type_traits>

namespace chervilfield::base {

/// One field of a log line.
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

using LogFields = std::initializer_list<LogField>;

struct EventLogOptions
{
    int descriptor = 1; ///< Standard output.
    /// Lines per second that are written on average, and lines that may come at once. A daemon
    /// serves some hundred requests per second at its peak.
    double linesPerSecond = 200;
    double burst = 400;
};

/// Structured log of decisions: one JSON object per line. A line that exceeds the rate, or that the
/// reader of the descriptor has no room for, is dropped and counted; the next line that is written
/// tells the number in `dropped`. Writing never waits. Safe to use from several threads.
class EventLog
{
public:
    explicit EventLog(EventLogOptions options = {});

    /// Writes `{"at":..,"part":..,"event":..,fields}`; `at` is Unix time in milliseconds.
    void write(std::string_view part, std::string_view event, LogFields fields);

    std::uint64_t dropped() const;

private:
    bool tryTakeLine();

    EventLogOptions options_;
    mutable std::mutex mutex_;
    double availableLines_;
    std::chrono::steady_clock::time_point lastRefill_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreportedDropped_ = 0;
};

/// Appends `text` to `out` as a JSON string.
void appendJsonString(std::string &out, std::string_view text);

} // namespace chervilfield::base

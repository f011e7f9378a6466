#include "base/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace chervilfield::base {

namespace {

// PIPE_BUF on Linux: writes of up to this size to a pipe are atomic, so lines are never split.
constexpr std::size_t kMaxLineBytes = 4096;

// Returns true if a write to `descriptor` does not block.
bool isWritable(int descriptor)
{
    pollfd request{ .fd = descriptor, .events = POLLOUT, .revents = 0 };
    return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

void appendField(std::string &line, const LogField &field)
{
    line += ',';
    appendJsonString(line, field.name);
    line += ':';
    if (field.isNumber)
        line += field.value;
    else
        appendJsonString(line, field.value);
}

} // namespace

void appendJsonString(std::string &out, std::string_view text)
{
    out += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x", static_cast<unsigned>(c));
            out += escaped.data();
        } else {
            out += c;
        }
    }
    out += '"';
}

EventLog::EventLog(EventLogOptions options)
    : options_(options), availableLines_(options.burst),
      lastRefill_(std::chrono::steady_clock::now())
{
}

// Takes one line from the token bucket. Returns false if the rate limit is exceeded.
bool EventLog::tryTakeLine()
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> passed = now - lastRefill_;
    lastRefill_ = now;
    availableLines_ =
            std::min(options_.burst, availableLines_ + passed.count() * options_.linesPerSecond);
    if (availableLines_ < 1)
        return false;
    availableLines_ -= 1;
    return true;
}

void EventLog::write(std::string_view part, std::string_view event, LogFields fields)
{
    const std::lock_guard lock(mutex_);
    if (!tryTakeLine() || !isWritable(options_.descriptor)) {
        ++dropped_;
        ++unreportedDropped_;
        return;
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::string line =
            "{\"at\":"
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    appendField(line, { "part", part });
    appendField(line, { "event", event });
    for (const LogField &field : fields)
        appendField(line, field);
    if (unreportedDropped_ > 0)
        appendField(line, { "dropped", unreportedDropped_ });
    line += "}\n";
    const bool written = line.size() <= kMaxLineBytes
                         && ::write(options_.descriptor, line.data(), line.size())
                                    == static_cast<ssize_t>(line.size());
    if (written) {
        unreportedDropped_ = 0;
    } else {
        ++dropped_;
        ++unreportedDropped_;
    }
}

std::uint64_t EventLog::dropped() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

} // namespace chervilfield::base

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::quarantine {

/// Hash of a model and of the id of a prompt part.
using PartKey = std::uint64_t;

/// One run of an engine process.
struct EngineRun
{
    std::string target;          ///< Id of the engine.
    std::uint64_t startedAt = 0; ///< Start of the run, in Unix milliseconds.
    bool operator==(const EngineRun &) const = default;
};

/// Request that was sent to an engine and had received no event when the engine crashed.
struct SuspectRequest
{
    std::uint64_t request = 0;  ///< Hash of the request's id.
    std::vector<PartKey> parts; ///< Parts in order that other requests may share: all but the last.
    bool operator==(const SuspectRequest &) const = default;
};

/// Requests of one instance without an event at an engine that crashed.
struct CrashReport
{
    EngineRun run;
    std::vector<SuspectRequest> suspects;
    bool operator==(const CrashReport &) const = default;
};

/// A part that is quarantined for the time `remaining`.
struct QuarantinedPart
{
    PartKey part = 0;
    std::chrono::milliseconds remaining{ 0 };
    bool operator==(const QuarantinedPart &) const = default;
};

} // namespace chervilfield::quarantine

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilfield::quarantine {

/// Hash of the model and the id of a prompt part.
using PartKey = std::uint64_t;

/// One run of an engine.
struct EngineRun
{
    std::string target;          ///< Id of the engine.
    std::uint64_t startedAt = 0; ///< Start of the run in Unix milliseconds.
    bool operator==(const EngineRun &) const = default;
};

/// A request that was sent to an engine and had no first event when the engine crashed.
struct SuspectRequest
{
    std::uint64_t request = 0;  ///< Hash of the request's id.
    std::vector<PartKey> parts; ///< Parts of its prompt.
    bool operator==(const SuspectRequest &) const = default;
};

/// The suspect requests that one instance had at an engine that crashed.
struct CrashReport
{
    EngineRun run;
    std::vector<SuspectRequest> suspects;
    bool operator==(const CrashReport &) const = default;
};

/// A part whose requests are not sent to engines.
struct QuarantinedPart
{
    PartKey part = 0;
    std::chrono::milliseconds remaining{}; ///< Time until the quarantine ends.
    bool operator==(const QuarantinedPart &) const = default;
};

} // namespace chervilfield::quarantine

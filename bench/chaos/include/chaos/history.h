#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::chaos {

// Records of a run under faults. A history file has one JSON object on each line: the fields of one
// of these structs and `kind`, which names the struct. Times are milliseconds of the monotonic
// clock of the machine, which all processes of a run share. All fields are required.

/// One streamed request of a caller, over all its attempts. `kind`: "stream".
struct StreamRecord
{
    double start = 0;
    double end = 0;
    std::string request;
    std::string expected; ///< The true answer.
    std::string received;
    bool terminated = false;         ///< The terminator arrived.
    std::string work;                ///< Of the refusal that ended it; empty if there was none.
    std::vector<std::string> faults; ///< Offsets that the caller saw repeated or out of order.
};

/// A request that an engine started to compute. `kind`: "engine-run".
struct EngineRun
{
    double time = 0;
    std::string engine;
    std::string request; ///< Request id of the caller.
};

/// One attempt of a caller to place an order. `kind`: "order-attempt".
struct OrderAttempt
{
    double start = 0;
    double end = 0;
    std::string order; ///< Identifies the order in the records of the service.
    /// What the caller was told: "ran", "not-run", "unknown", "lost" without a response, or
    /// "declined" if the service answered with an error of its own.
    std::string work;
};

/// One execution by a service. `kind`: "execution".
struct Execution
{
    double time = 0;
    std::string service;
    std::string order;
};

/// An accepted change. `kind`: "config-accepted".
struct ConfigAccepted
{
    double time = 0; ///< When the operator had the response.
    std::uint64_t revision = 0;
};

/// The revision that an instance reported. `kind`: "config-in-force".
struct ConfigInForce
{
    double time = 0; ///< When the report arrived.
    std::string instance;
    std::uint64_t revision = 0;
};

/// An instance became able to run: it was started, continued after a pause or reconnected to the
/// store. `kind`: "instance-up".
struct InstanceUp
{
    double time = 0;
    std::string instance;
};

/// A target was announced as leaving, or as back. `kind`: "target-state".
struct TargetState
{
    double time = 0;
    std::string target;
    bool leaving = false;
};

/// A target received new work. `kind`: "target-work".
struct TargetWork
{
    double time = 0;
    std::string target;
    std::string request;
};

/// An engine looked up its cache for a request. `kind`: "cache-use".
struct CacheUse
{
    double time = 0;
    std::string engine;
    std::string life;
    std::string request;
    std::string customer; ///< Whose request it is, according to the caller.
    std::string weights;  ///< That computed the answer.
    std::string salt;     ///< The `cache_salt` that the router sent.
    std::uint64_t cachedTokens = 0;
};

/// A graceful stop was ordered. `kind`: "graceful-stop".
struct GracefulStop
{
    double time = 0;
    std::string instance;
};

/// One connection of a caller to an instance. `kind`: "connection".
struct ConnectionRecord
{
    double start = 0;
    double end = 0;
    std::string instance;
    std::string request;
    std::string outcome; ///< "whole", "refused", "cut" (incomplete response) or "unreachable".
    double addressExpires = 0; ///< Until when the caller may use the address.
};

/// One HTTP operation on a row of the table service. `kind`: "row-operation".
struct RowOperation
{
    double invoked = 0;
    double returned = 0; ///< Ignored if the result is "lost".
    std::string key;
    std::string operation; ///< "read" or "write".
    std::uint64_t ifVersion = 0;
    std::string writeId;          ///< Of the write.
    std::string result;           ///< "ok", "conflict" or "lost".
    std::uint64_t rowVersion = 0; ///< Of the row in the response; 0 if there is no row.
    std::string rowWriteId;       ///< Of the row in the response.
};

/// All records of a run, by kind and in the order in which they were added.
struct History
{
    std::vector<StreamRecord> streams;
    std::vector<EngineRun> engineRuns;
    std::vector<OrderAttempt> orderAttempts;
    std::vector<Execution> executions;
    std::vector<ConfigAccepted> acceptedConfigs;
    std::vector<ConfigInForce> configsInForce;
    std::vector<InstanceUp> instanceUps;
    std::vector<TargetState> targetStates;
    std::vector<TargetWork> targetWork;
    std::vector<CacheUse> cacheUses;
    std::vector<GracefulStop> gracefulStops;
    std::vector<ConnectionRecord> connections;
    std::vector<RowOperation> rowOperations;
};

/// Adds the records of `lines`, the text of a history file, to `history`. Returns a message for
/// each line that is not a record; a run with such a line has not been checked.
std::vector<std::string> addLines(History &history, std::string_view lines);

} // namespace chervilfield::chaos

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilfield::chaos {

// Records of a run with fault injection. A history file has one JSON object on each line, with the
// fields of one of these structs and the field `kind`, which names the struct. All fields are
// required. Times are milliseconds of the monotonic clock of the machine, which all processes of a
// run share.

/// One streamed request of a caller, including all its attempts. `kind`: "stream".
struct StreamRecord
{
    double start = 0;
    double end = 0;
    std::string request;
    std::string expected; ///< The complete answer.
    std::string received;
    bool terminated = false;         ///< Whether the end marker of the stream arrived.
    std::string work;                ///< `work` of the refusal that ended it; empty without one.
    std::vector<std::string> faults; ///< Offsets that were repeated or out of order.
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
    /// Result that was reported to the caller: "ran", "not-run", "unknown", "lost" if there was no
    /// response, or "declined" if the service itself answered with an error.
    std::string work;
};

/// One execution of an order by a service. `kind`: "execution".
struct Execution
{
    double time = 0;
    std::string service;
    std::string order;
};

/// A configuration change that was accepted. `kind`: "config-accepted".
struct ConfigAccepted
{
    double time = 0; ///< When the operator received the response.
    std::uint64_t revision = 0;
};

/// A configuration revision that an instance reported. `kind`: "config-in-force".
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

/// A target was announced as leaving or as available again. `kind`: "target-state".
struct TargetState
{
    double time = 0;
    std::string target;
    bool leaving = false;
};

/// A target received a new request. `kind`: "target-work".
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
    std::string customer; ///< Customer of the request, according to the caller.
    std::string weights;  ///< Version of the weights that computed the answer.
    std::string salt;     ///< The `cache_salt` that the router sent.
    std::uint64_t cachedTokens = 0;
};

/// An instance was told to stop gracefully. `kind`: "graceful-stop".
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
    std::string outcome; ///< "whole" (complete), "refused", "cut" (incomplete) or "unreachable".
    double addressExpires = 0; ///< When the address that the caller was given expires.
};

/// One HTTP operation on a row of the table service. `kind`: "row-operation".
struct RowOperation
{
    double invoked = 0;
    double returned = 0; ///< Ignored if the result is "lost".
    std::string key;
    std::string operation;        ///< "read" or "write".
    std::uint64_t ifVersion = 0;  ///< Row version that the write requires; 0 for no row.
    std::string writeId;          ///< Unique id of the write.
    std::string result;           ///< "ok", "conflict" or "lost".
    std::uint64_t rowVersion = 0; ///< Row version in the response; 0 if there is no row.
    std::string rowWriteId;       ///< Id of the write that made the row in the response.
};

/// All records of a run by kind, each in the order in which they were added.
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

/// Parses `lines`, the text of a history file, and adds the records to `history`. Returns an error
/// message for each line that is not a valid record. The checks of a history with such a line are
/// not reliable.
std::vector<std::string> addLines(History &history, std::string_view lines);

} // namespace chervilfield::chaos

#include "chaos/history.h"

#include <boost/describe.hpp>
#include <boost/json.hpp>

#include <sstream>
#include <stdexcept>

namespace chervilfield::chaos {

namespace json = boost::json;

BOOST_DESCRIBE_STRUCT(StreamRecord, (),
                      (start, end, request, expected, received, terminated, work, faults))
BOOST_DESCRIBE_STRUCT(EngineRun, (), (time, engine, request))
BOOST_DESCRIBE_STRUCT(OrderAttempt, (), (start, end, order, work))
BOOST_DESCRIBE_STRUCT(Execution, (), (time, service, order))
BOOST_DESCRIBE_STRUCT(ConfigAccepted, (), (time, revision))
BOOST_DESCRIBE_STRUCT(ConfigInForce, (), (time, instance, revision))
BOOST_DESCRIBE_STRUCT(InstanceUp, (), (time, instance))
BOOST_DESCRIBE_STRUCT(TargetState, (), (time, target, leaving))
BOOST_DESCRIBE_STRUCT(TargetWork, (), (time, target, request))
BOOST_DESCRIBE_STRUCT(CacheUse, (),
                      (time, engine, life, request, customer, weights, salt, cachedTokens))
BOOST_DESCRIBE_STRUCT(GracefulStop, (), (time, instance))
BOOST_DESCRIBE_STRUCT(ConnectionRecord, (),
                      (start, end, instance, request, outcome, addressExpires))
BOOST_DESCRIBE_STRUCT(RowOperation, (),
                      (invoked, returned, key, operation, ifVersion, writeId, result, rowVersion,
                       rowWriteId))

namespace {

template<class Record>
void append(std::vector<Record> &records, const json::object &object)
{
    records.push_back(json::value_to<Record>(json::value(object)));
}

// Adds the record that `object` describes. Throws if it is not a valid record.
void addRecord(History &history, json::object object)
{
    const std::string kind(object.at("kind").as_string());
    object.erase("kind"); // The conversion accepts only the fields of the struct.
    if (kind == "stream")
        append(history.streams, object);
    else if (kind == "engine-run")
        append(history.engineRuns, object);
    else if (kind == "order-attempt")
        append(history.orderAttempts, object);
    else if (kind == "execution")
        append(history.executions, object);
    else if (kind == "config-accepted")
        append(history.acceptedConfigs, object);
    else if (kind == "config-in-force")
        append(history.configsInForce, object);
    else if (kind == "instance-up")
        append(history.instanceUps, object);
    else if (kind == "target-state")
        append(history.targetStates, object);
    else if (kind == "target-work")
        append(history.targetWork, object);
    else if (kind == "cache-use")
        append(history.cacheUses, object);
    else if (kind == "graceful-stop")
        append(history.gracefulStops, object);
    else if (kind == "connection")
        append(history.connections, object);
    else if (kind == "row-operation")
        append(history.rowOperations, object);
    else
        throw std::runtime_error("unknown kind " + kind);
}

} // namespace

std::vector<std::string> addLines(History &history, std::string_view lines)
{
    std::vector<std::string> errors;
    std::istringstream input{ std::string(lines) };
    std::string line;
    for (int number = 1; std::getline(input, line); ++number) {
        if (line.empty())
            continue;
        try {
            addRecord(history, json::parse(line).as_object());
        } catch (const std::exception &error) {
            errors.push_back("line " + std::to_string(number) + ": " + error.what());
        }
    }
    return errors;
}

} // namespace chervilfield::chaos

// Messages between daemons, in the compact protocol. After a change run packages/peers/thrift/generate
// and commit the result; the build does not need the Thrift compiler.
//
// Fields are never renumbered; a field that is no longer used keeps its number. A receiver skips
// fields that it does not know.

namespace cpp chervilfield.peers.wire

struct Member {
  1: string name
  2: string peerAddress
  3: string callerAddress
  4: string dataCentre
  5: i64 life
  6: i32 incarnation
  7: i8 state
  8: optional string accuser
  // Bandwidth of the member's network link.
  9: optional i32 linkMbps
}

struct Ping {
  1: i32 sequence
  2: string target
}

struct IndirectPing {
  1: i32 sequence
  2: string target
  3: string address
}

struct Membership {
  1: Member sender
  2: optional Ping ping
  3: optional i32 ack
  4: optional i32 nack
  5: optional IndirectPing indirectPing
  6: list<Member> updates
  7: i64 tableHash
  8: i64 configurationRevision
  // Era of the store that configurationRevision belongs to; 0 if missing.
  9: optional i64 storeEra
}

// Loads in columns, which take 9 bytes per target instead of 16 as a list of structs. All columns
// have the same length.
struct Loads {
  1: list<i32> targets
  2: list<i32> shortPrefillUnits
  3: list<i32> longPrefillUnits
  4: list<i32> shortRequests
  5: list<i32> longRequests
}

// In-flight work of the sender, sent to an aggregation point.
struct LoadReport {
  1: string sender
  2: i64 life
  3: Loads loads
}

// In-flight work of all daemons but the receiver, sent by an aggregation point.
struct LoadSums {
  1: Loads loads
}

// Prefixes that a daemon recently sent to one life of a target.
struct TargetPlacements {
  1: i64 target
  2: i64 life
  3: list<i64> prefixes
}

struct PlacementHints {
  1: list<TargetPlacements> targets
}

// Weights that one run of an engine is loading, or those that it at least has; from the daemon that
// gives it orders.
struct WeightsNotice {
  1: string target
  2: i64 startedAt
  3: string model
  4: i64 version
  5: bool isLoading
}

// Requests per second that one run of a target accepts from all daemons together; 0 for no limit.
struct RateLimitNotice {
  1: string target
  2: i64 startedAt
  3: double requestsPerSecond
}

// A run of a target that has stated that it is leaving.
struct LeavingNotice {
  1: string target
  2: i64 startedAt
}

// A request that had been sent to an engine that crashed and had no first event.
struct SuspectRequest {
  1: i64 request
  2: list<i64> parts
}

// Suspect requests of the sender at one run of an engine.
struct CrashReport {
  1: string target
  2: i64 startedAt
  3: list<SuspectRequest> suspects
}

// Prompt parts on which an engine has begun an answer.
struct InnocentParts {
  1: list<i64> parts
}

// Quarantined prompt parts in columns of the same length. A message without parts asks the receiver
// for its own.
struct QuarantinedParts {
  1: list<i64> parts
  2: list<i32> remainingMs
  3: list<bool> isSaved
}

// Usage of customers by the sender, sent to their aggregation point. Columns of the same length.
struct UsageReport {
  1: string sender
  2: i64 life
  3: list<i64> customers
  // Cost admitted in this life, by customer.
  4: list<double> costs
}

// Balances of customers, sent by their aggregation point. Columns of the same length.
struct UsageBalances {
  1: list<i64> customers
  2: list<double> balances
  3: list<double> ratesPerSecond
  // Cost that the receiver had reported and that the balance includes.
  4: list<double> includedCosts
  // Life of the receiver to which includedCosts belong; 0 if it has not reported.
  5: i64 receiverLife
}

// Learned performance of runs of targets. Columns of the same length.
struct PerformanceFigures {
  1: list<i64> targets
  2: list<i64> startedAt
  3: list<double> relativeTimes
  4: list<double> usefulConcurrencies
  5: list<double> weights
}

// One UDP datagram; exactly one of the optional fields is set.
struct Datagram {
  1: i8 version
  2: optional Membership membership
  3: optional LoadReport loadReport
  4: optional LoadSums loadSums
  // 5 was used for hot prefixes.
  6: optional PlacementHints placementHints
  7: optional WeightsNotice weightsNotice
  8: optional CrashReport crashReport
  9: optional InnocentParts innocentParts
  10: optional QuarantinedParts quarantinedParts
  11: optional RateLimitNotice rateLimitNotice
  12: optional LeavingNotice leavingNotice
  13: optional UsageReport usageReport
  14: optional UsageBalances usageBalances
  15: optional PerformanceFigures performanceFigures
}

// Request and response of POST /peer/v1/members.
struct MemberTable {
  1: list<Member> members
}

struct ConfigurationEntry {
  1: i64 revision
  2: binary value
  // Whether the value is a Zstandard frame; only if the request accepts that.
  3: optional bool isCompressed
}

// Upper bound of the time since the operator set a version of a model's weights.
struct WeightsAge {
  1: string model
  2: i64 version
  3: i64 maxAgeMs
}

// Keys of all rows of one table.
struct TableKeys {
  1: string table
  2: list<string> keys
}

// Response of GET /peer/v1/configuration?after=<revision>&table=<name>&compression=zstd.
struct ConfigurationEntries {
  1: i64 revisionInForce
  2: list<ConfigurationEntry> entries
  // Time since the entries were the newest ones.
  3: optional i64 ageMs
  4: optional list<WeightsAge> weightsAges
  // For tables of which the entries may lack deletions; rows with other keys were deleted.
  5: optional list<TableKeys> presentKeys
  // Era of the store that the revisions belong to; 0 if missing.
  6: optional i64 storeEra
}

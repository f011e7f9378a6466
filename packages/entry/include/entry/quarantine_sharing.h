#pragma once

#include "base/boot_clock.h"
#include "base/event_log.h"
#include "entry/quarantine_store.h"
#include "fleet/store.h"
#include "peers/datagram.h"
#include "quarantine/types.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

namespace chervilfield::entry {

/// Passes evidence about prompt parts that crash engines, and the quarantines of such parts,
/// between the traffic thread, which decides on them, the other instances and the store.
class QuarantineSharing
{
public:
    /// What the other instances and the store know, for the quarantine of this instance. Called on
    /// the traffic thread.
    struct TrafficHooks
    {
        std::function<void(const quarantine::CrashReport &)> recordCrash;
        std::function<void(const std::vector<quarantine::PartKey> &)> recordInnocent;
        std::function<void(const quarantine::QuarantinedPart &)> adopt;
    };

    /// What this instance tells the others. Called on the control I/O thread.
    struct PeerHooks
    {
        std::function<void(const quarantine::CrashReport &)> announceCrash;
        std::function<void(const std::vector<quarantine::PartKey> &)> addInnocent;
        std::function<void(const std::vector<peers::SharedQuarantine> &)> announceQuarantines;
        /// Called periodically with all quarantines in force.
        std::function<void(std::vector<peers::SharedQuarantine>)> exchange;
        /// Returns the number of live instances before this one in the order of names.
        std::function<std::size_t()> rank;
    };

    /// The references must outlive the object. `controlContext` and `trafficContext` run on the
    /// control I/O thread and the traffic thread.
    QuarantineSharing(boost::asio::io_context &controlContext,
                      boost::asio::io_context &trafficContext, fleet::Store &store,
                      base::EventLog &log, TrafficHooks trafficHooks, PeerHooks peerHooks,
                      QuarantineStoreOptions storeOptions = {});

    /// Starts the use of the store. Must be called on the control I/O thread.
    void start();

    /// Sends a crash report of this instance to the others. Must be called on the traffic thread.
    void shareCrash(const quarantine::CrashReport &report);
    /// Sends innocent parts to the others. Must be called on the traffic thread.
    void shareInnocent(std::vector<quarantine::PartKey> parts);
    /// Sends a new quarantine of this instance to the others. Must be called on the traffic thread.
    void shareQuarantine(const quarantine::QuarantinedPart &part);
    /// Removes a quarantine from the store that was lifted before its end. The innocent parts tell
    /// the other instances. Must be called on the traffic thread.
    void lift(quarantine::PartKey part);
    /// Pushes the quarantines in force to the others and saves them. Must be called several times a
    /// second, on the traffic thread.
    void exchange(std::vector<quarantine::QuarantinedPart> active);

    /// Passes on a crash report of another instance. Must be called on the control I/O thread.
    void receiveCrash(const quarantine::CrashReport &report);
    /// Passes on innocent parts from another instance. Must be called on the control I/O thread.
    void receiveInnocent(const peers::InnocentParts &message);
    /// Passes on quarantines of another instance. Must be called on the control I/O thread.
    void receiveQuarantines(const peers::QuarantinedParts &message);

private:
    using Clock = base::BootClock;

    void adopt(const quarantine::QuarantinedPart &part);

    boost::asio::io_context &controlContext_;
    boost::asio::io_context &trafficContext_;
    TrafficHooks trafficHooks_;
    PeerHooks peerHooks_;
    QuarantineStore store_;
};

} // namespace chervilfield::entry

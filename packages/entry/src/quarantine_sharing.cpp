#include "entry/quarantine_sharing.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace chervilfield::entry {

using quarantine::CrashReport;
using quarantine::PartKey;
using quarantine::QuarantinedPart;

QuarantineSharing::QuarantineSharing(boost::asio::io_context &controlContext,
                                     boost::asio::io_context &trafficContext, fleet::Store &store,
                                     base::EventLog &log, TrafficHooks trafficHooks,
                                     PeerHooks peerHooks, QuarantineStoreOptions storeOptions)
    : controlContext_(controlContext), trafficContext_(trafficContext),
      trafficHooks_(std::move(trafficHooks)), peerHooks_(std::move(peerHooks)),
      store_(controlContext, store, log,
             { .rank = [this] { return peerHooks_.rank(); },
               .loaded = [this](const QuarantinedPart &part) { adopt(part); },
               .saved =
                       [this](const std::vector<QuarantinedPart> &parts) {
                           std::vector<peers::SharedQuarantine> shared;
                           shared.reserve(parts.size());
                           for (const QuarantinedPart &part : parts)
                               shared.push_back({ .part = part, .isSaved = true });
                           peerHooks_.announceQuarantines(shared);
                       } },
             std::move(storeOptions))
{
}

void QuarantineSharing::start()
{
    store_.start();
}

void QuarantineSharing::shareCrash(const CrashReport &report)
{
    boost::asio::post(controlContext_, [this, report] { peerHooks_.announceCrash(report); });
}

void QuarantineSharing::shareInnocent(std::vector<PartKey> parts)
{
    boost::asio::post(controlContext_,
                      [this, parts = std::move(parts)] { peerHooks_.addInnocent(parts); });
}

void QuarantineSharing::shareQuarantine(const QuarantinedPart &part)
{
    boost::asio::post(controlContext_, [this, part] {
        peerHooks_.announceQuarantines({ { .part = part, .isSaved = false } });
    });
}

void QuarantineSharing::lift(PartKey part)
{
    boost::asio::post(controlContext_, [this, part] { store_.lift(part, Clock::now()); });
}

void QuarantineSharing::exchange(std::vector<QuarantinedPart> active)
{
    boost::asio::post(controlContext_, [this, active = std::move(active)]() mutable {
        const auto now = Clock::now();
        std::vector<peers::SharedQuarantine> shared;
        shared.reserve(active.size());
        for (const QuarantinedPart &part : active)
            shared.push_back({ .part = part, .isSaved = store_.isSaved(part, now) });
        store_.update(std::move(active), now);
        peerHooks_.exchange(std::move(shared));
    });
}

void QuarantineSharing::receiveCrash(const CrashReport &report)
{
    boost::asio::post(trafficContext_, [this, report] { trafficHooks_.recordCrash(report); });
}

void QuarantineSharing::receiveInnocent(const peers::InnocentParts &message)
{
    boost::asio::post(trafficContext_,
                      [this, parts = message.parts] { trafficHooks_.recordInnocent(parts); });
}

void QuarantineSharing::receiveQuarantines(const peers::QuarantinedParts &message)
{
    for (const peers::SharedQuarantine &shared : message.parts) {
        if (shared.isSaved)
            store_.markSaved(shared.part, Clock::now());
        adopt(shared.part);
    }
}

void QuarantineSharing::adopt(const QuarantinedPart &part)
{
    boost::asio::post(trafficContext_, [this, part] { trafficHooks_.adopt(part); });
}

} // namespace chervilfield::entry

#include "control/configuration_control.h"

#include "configuration/in_force.h"
#include "configuration/json.h"
#include "internal/actor_system.h"

#include <caf/event_based_actor.hpp>
#include <caf/exit_reason.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <utility>

namespace chervilfield::control {

using configuration::OfferOutcome;
using configuration::Revision;

namespace {

// Messages of the actor. They are never sent to other processes, so they need no serialization.
struct RecordKnownRevision
{
    RevisionNumber revision = 0;
};

struct OfferRevisions
{
    std::shared_ptr<const std::vector<Revision>> entries;
    std::string source;
};

struct OfferConfiguration
{
    ConfigurationPtr offered;
    std::string source;
};

using RecentEntries = std::deque<std::shared_ptr<const LogEntry>>;

} // namespace

} // namespace chervilfield::control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chervilfield::control::RecordKnownRevision)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chervilfield::control::OfferRevisions)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(chervilfield::control::OfferConfiguration)

namespace chervilfield::control {

/// State of one revision that other threads may read.
struct ConfigurationControl::Published
{
    ConfigurationPtr configuration;
    RecentEntries recent; ///< Consecutive entries up to the revision of `configuration`.
};

/// State that the actor shares with readers on other threads. Only the actor modifies it.
struct ConfigurationControl::State
{
    State(caf::actor_system &actorSystem, ConfigurationControlOptions initialOptions)
        : system(actorSystem), options(std::move(initialOptions))
    {
    }

    void recordRevision(RevisionNumber revision);
    void offer(const OfferRevisions &message);
    void offer(const OfferConfiguration &message);
    void publish(RevisionNumber before, const std::string &source);
    void appendRecent(const std::vector<Revision> &entries, RevisionNumber before);
    void requestMissingEntries();

    caf::actor_system &system;
    ConfigurationControlOptions options;
    configuration::ConfigurationInForce inForce;
    RecentEntries recent;
    std::size_t recentBytes = 0;

    std::atomic<std::shared_ptr<const Published>> published{ std::make_shared<const Published>(
            Published{ inForce.current, {} }) };
    std::atomic<RevisionNumber> highestKnown{ 0 };
    caf::actor actor;
};

/// Publishes the highest known revision, and asks for the entries up to it if it is not in force.
void ConfigurationControl::State::requestMissingEntries()
{
    highestKnown = inForce.highestKnown;
    if (inForce.highestKnown > inForce.current->revision() && options.fetchNeeded)
        options.fetchNeeded(inForce.highestKnown);
}

void ConfigurationControl::State::recordRevision(RevisionNumber revision)
{
    configuration::recordKnownRevision(inForce, revision);
    requestMissingEntries();
}

/// Keeps the applied entries for peers and drops the oldest ones beyond `maxRecentBytes`. `before`
/// is the revision that was in force before the entries were applied.
void ConfigurationControl::State::appendRecent(const std::vector<Revision> &entries,
                                               RevisionNumber before)
{
    for (const Revision &entry : entries) {
        const RevisionNumber last = recent.empty() ? before : recent.back()->revision;
        if (entry.number != last + 1 || entry.number > inForce.current->revision())
            continue;
        recent.push_back(std::make_shared<const LogEntry>(LogEntry{ entry.number, toJson(entry) }));
        recentBytes += recent.back()->value.size();
    }
    while (recentBytes > options.maxRecentBytes) {
        recentBytes -= recent.front()->value.size();
        recent.pop_front();
    }
}

void ConfigurationControl::State::offer(const OfferRevisions &message)
{
    const RevisionNumber before = inForce.current->revision();
    configuration::offerRevisions(inForce, *message.entries);
    if (inForce.current->revision() > before) {
        appendRecent(*message.entries, before);
        publish(before, message.source);
    }
    requestMissingEntries();
}

void ConfigurationControl::State::offer(const OfferConfiguration &message)
{
    const RevisionNumber before = inForce.current->revision();
    const auto outcome = configuration::offerConfiguration(inForce, message.offered);
    if (outcome == OfferOutcome::Advanced) {
        // The entries between the two revisions are unknown. The older ones alone would leave a gap
        // for peers.
        recent.clear();
        recentBytes = 0;
        publish(before, message.source);
    }
    requestMissingEntries();
}

void ConfigurationControl::State::publish(RevisionNumber before, const std::string &source)
{
    const RevisionNumber revision = inForce.current->revision();
    published = std::make_shared<const Published>(Published{ inForce.current, recent });
    highestKnown = inForce.highestKnown;
    LOG(INFO) << "[control] Revision " << revision
              << " is now in force; previous revision: " << before << ", source: " << source << '.';
    if (options.timeLine != nullptr) {
        options.timeLine->record("control", "configuration-in-force", std::to_string(revision),
                                 "after " + std::to_string(before) + ", from " + source);
    }
    if (options.published)
        options.published(inForce.current);
}

ConfigurationControl::ConfigurationControl(ControlSystem &system,
                                           ConfigurationControlOptions options)
    : state_(std::make_unique<State>(system.implementation().system, std::move(options)))
{
    state_->actor =
            state_->system.spawn([state = state_.get()](caf::event_based_actor *) -> caf::behavior {
                return { [state](const RecordKnownRevision &message) {
                            state->recordRevision(message.revision);
                        },
                         [state](const OfferRevisions &message) { state->offer(message); },
                         [state](const OfferConfiguration &message) { state->offer(message); } };
            });
}

ConfigurationControl::~ConfigurationControl()
{
    const caf::scoped_actor self(state_->system);
    self->send_exit(state_->actor, caf::exit_reason::user_shutdown);
    self->wait_for(state_->actor);
}

ConfigurationPtr ConfigurationControl::current() const
{
    return state_->published.load()->configuration;
}

RevisionNumber ConfigurationControl::highestKnown() const
{
    return state_->highestKnown;
}

void ConfigurationControl::recordKnownRevision(RevisionNumber revision)
{
    // Peers repeat their revision in every message, so most calls have no effect.
    if (revision > current()->revision())
        caf::anon_send(state_->actor, RecordKnownRevision{ revision });
}

void ConfigurationControl::offerRevisions(std::vector<Revision> entries, std::string source)
{
    if (entries.empty())
        return;
    auto shared = std::make_shared<const std::vector<Revision>>(std::move(entries));
    caf::anon_send(state_->actor, OfferRevisions{ std::move(shared), std::move(source) });
}

void ConfigurationControl::offerConfiguration(ConfigurationPtr offered, std::string source)
{
    if (offered != nullptr)
        caf::anon_send(state_->actor, OfferConfiguration{ std::move(offered), std::move(source) });
}

void ConfigurationControl::offerEntries(const std::vector<LogEntry> &entries,
                                        const std::string &source)
{
    std::vector<Revision> revisions;
    for (const LogEntry &entry : entries) {
        std::vector<configuration::ValidationError> errors;
        if (auto revision = configuration::parseRevision(entry.value, errors)) {
            revisions.push_back(std::move(*revision));
            continue;
        }
        errors.clear();
        auto whole = configuration::parseConfiguration(entry.value, errors);
        if (whole == nullptr) {
            LOG(ERROR) << "[control] Entry " << entry.revision << " from " << source
                       << " cannot be parsed: " << toString(errors.front()) << '.';
            break;
        }
        offerConfiguration(std::move(whole), source);
    }
    offerRevisions(std::move(revisions), source);
}

std::vector<LogEntry> ConfigurationControl::entriesAfter(RevisionNumber after) const
{
    const auto published = state_->published.load();
    const RevisionNumber revision = published->configuration->revision();
    if (after >= revision)
        return {};
    const RecentEntries &recent = published->recent;
    if (recent.empty() || recent.front()->revision > after + 1)
        return { { revision, toJson(*published->configuration) } };
    std::vector<LogEntry> entries;
    for (const auto &entry : recent) {
        if (entry->revision > after)
            entries.push_back(*entry);
    }
    return entries;
}

} // namespace chervilfield::control

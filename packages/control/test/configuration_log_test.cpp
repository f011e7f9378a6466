#include "control/configuration_log.h"

#include "apply_history.h"
#include "configuration/json.h"
#include "control/configuration_control.h"
#include "control/configuration_follower.h"
#include "platform_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace chervilfield::control {

namespace asio = boost::asio;
using base::Result;
using configuration::Change;
using configuration::Configuration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Returns a change that adds a pool named after the write id.
Change addPool(RevisionNumber base, const std::string &writeId)
{
    const configuration::Pool pool{ .name = writeId, .model = "m", .weights = "v1" };
    return { .baseRevision = base, .writeId = writeId, .changes = { .upserts = { pool } } };
}

/// Kind of a step of a simulated daemon: an operation, or a fault of the platform from now on.
enum class StepKind { Apply, ApplyToOldBase, Poll, Restart, LoseAnswers, StaleReads, Delay, Down };

struct Step
{
    StepKind kind = StepKind::Apply;
    int parameter = 0; ///< Number, duration or choice, see `Daemon::perform`.
};

/// Simulated daemon whose operator and follower run in one coroutine.
class Daemon
{
public:
    Daemon(PlatformFixture &fixture, ControlSystem &system, std::string name)
        : fixture_(fixture), system_(system), name_(std::move(name)),
          platform_(fixture.context.get_executor(), fixture.options(milliseconds(20))),
          log_(platform_, { .pageSize = 3, .snapshotInterval = 4 })
    {
        startControl();
    }

    void perform(const Step &step, std::vector<ApplyCall> &history, asio::yield_context yield)
    {
        standins::PlatformFaults &faults = fixture_.service.faults();
        switch (step.kind) {
        case StepKind::Apply:
        case StepKind::ApplyToOldBase:
            apply(step.kind == StepKind::Apply ? 0 : 1, history, yield);
            break;
        case StepKind::Poll:
            poll(yield);
            break;
        case StepKind::Restart:
            restart(yield);
            break;
        case StepKind::LoseAnswers:
            faults.loseAnswers = step.parameter % 3;
            break;
        case StepKind::StaleReads:
            faults.staleReads = step.parameter;
            faults.staleWrites = 1 + static_cast<std::size_t>(step.parameter);
            break;
        case StepKind::Delay:
            // Some delays exceed the timeout, so that writes take effect after the client gave up.
            faults.delay = milliseconds(step.parameter * 5);
            break;
        case StepKind::Down:
            faults.tableDown = step.parameter == 0;
            break;
        }
    }

    ConfigurationPtr current() const { return control_->current(); }
    void offer(const std::vector<LogEntry> &entries) { control_->offerEntries(entries, "peer"); }
    std::vector<LogEntry> entries() const { return control_->entriesAfter(0); }

    bool hasDecreased = false;

private:
    void startControl()
    {
        auto last = std::make_shared<RevisionNumber>(0);
        control_ = std::make_unique<ConfigurationControl>(
                system_, ConfigurationControlOptions{
                                 .maxRecentBytes = 400,
                                 .published = [this, last](const ConfigurationPtr &configuration) {
                                     hasDecreased |= configuration->revision() <= *last;
                                     *last = configuration->revision();
                                 } });
    }

    void apply(RevisionNumber revisionsBehind, std::vector<ApplyCall> &history,
               asio::yield_context yield)
    {
        const ConfigurationPtr inForce = control_->current();
        ApplyCall call{ .writeId = name_ + std::to_string(++calls_),
                        .base = inForce->revision()
                                - std::min(revisionsBehind, inForce->revision()),
                        .start = steady_clock::now() };
        std::error_code error;
        const ApplyResult result =
                log_.apply(inForce, { addPool(call.base, call.writeId) }, yield, error);
        call.end = steady_clock::now();
        call.outcome = base::toResult(error);
        call.revision = result.revision;
        history.push_back(call);
        control_->offerRevisions(result.entries, "apply");
        if (!error)
            log_.publishObjects(result.entries.back(), *result.configuration, yield);
    }

    void poll(asio::yield_context yield)
    {
        std::error_code error;
        control_->offerRevisions(log_.readAfter(control_->current()->revision(), yield, error),
                                 "table");
    }

    void restart(asio::yield_context yield)
    {
        const RevisionNumber before = control_->current()->revision();
        startControl();
        // The start must not time out while its requests are open, because the follower is
        // destroyed right after it.
        ConfigurationFollower follower(fixture_.context, *control_,
                                       { .startTimeout = std::chrono::minutes(1) });
        const StartSource source = follower.start(log_, yield);
        // Without the table, a restarted daemon gets only the revisions in the object service,
        // which may be older.
        if (source == StartSource::Table)
            hasDecreased |= control_->current()->revision() < before;
    }

    PlatformFixture &fixture_;
    ControlSystem &system_;
    std::string name_;
    platform::PlatformClient platform_;
    ConfigurationLog log_;
    std::unique_ptr<ConfigurationControl> control_;
    int calls_ = 0;
};

} // namespace

class ConfigurationLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationLogTest);
    CPPUNIT_TEST(concurrentChangesFormOneLog);
    CPPUNIT_TEST(applyReportsEveryOutcome);
    CPPUNIT_TEST(idlePollCostsOneRead);
    CPPUNIT_TEST(startUsesTheFirstSourceThatAnswers);
    CPPUNIT_TEST(reportedRevisionsAreFetched);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that concurrent changes of three daemons form one log under lost answers, late writes,
    // stale reads, outages, stale peers and restarts. Guards against two changes that both get one
    // revision, changes that are lost or wrongly refused, and daemons whose revision decreases.
    void concurrentChangesFormOneLog()
    {
        ControlSystem system;
        const bool holds = rc::check("concurrent changes form one log", [&] {
            PlatformFixture fixture;
            std::vector<std::unique_ptr<Daemon>> daemons;
            std::vector<ApplyCall> history;
            std::vector<std::function<void(asio::yield_context)>> bodies;
            for (const char *name : { "a", "b", "c" }) {
                daemons.push_back(std::make_unique<Daemon>(fixture, system, name));
                Daemon &daemon = *daemons.back();
                const auto steps = *rc::gen::container<std::vector<Step>>(
                        8, rc::gen::construct<Step>(rc::gen::weightedElement<StepKind>(
                                                            { { 8, StepKind::Apply },
                                                              { 1, StepKind::ApplyToOldBase },
                                                              { 3, StepKind::Poll },
                                                              { 2, StepKind::Restart },
                                                              { 2, StepKind::LoseAnswers },
                                                              { 2, StepKind::StaleReads },
                                                              { 1, StepKind::Delay },
                                                              { 1, StepKind::Down } }),
                                                    rc::gen::inRange(0, 6)));
                bodies.push_back([&daemon, &daemons, &history, steps](asio::yield_context yield) {
                    for (const Step &step : steps) {
                        daemon.perform(step, history, yield);
                        // The entries of a peer may be older or newer than those of the daemon.
                        daemon.offer(daemons.front()->entries());
                    }
                });
            }
            fixture.run(bodies);
            std::vector<configuration::Revision> log;
            fixture.run({ [&](asio::yield_context yield) {
                fixture.service.faults() = {};
                // Waits until delayed writes have taken effect.
                fixture.pause(milliseconds(30), yield);
                platform::PlatformClient client(fixture.context.get_executor(),
                                                fixture.options(milliseconds(2000)));
                std::error_code error;
                log = ConfigurationLog(client, {}).readAfter(0, yield, error);
            } });
            const auto violations = checkHistory(history, log);
            RC_LOG() << toJson(log);
            RC_ASSERT(violations == std::vector<std::string>());
            for (const auto &daemon : daemons) {
                RC_ASSERT(!daemon->hasDecreased);
                RC_ASSERT(daemon->current()->pools().size() == daemon->current()->revision());
            }
            const auto successes = std::ranges::count(history, Result::Ok, &ApplyCall::outcome);
            RC_CLASSIFY(successes > 1, "several successes");
            RC_CLASSIFY(std::ranges::count(history, Result::RevisionConflict, &ApplyCall::outcome)
                                > 0,
                        "conflict");
            RC_CLASSIFY(std::ranges::count(history, Result::WriteUndecided, &ApplyCall::outcome)
                                > 0,
                        "undecided");
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests the error and the revision of each outcome of `apply`. Guards against a refusal with
    // the wrong reason, a dry run that writes, and a repeated call that is applied twice.
    void applyReportsEveryOutcome()
    {
        struct Row
        {
            const char *name;
            Change change;
            bool dryRun;
            std::error_code expected;
            RevisionNumber revision;
        };
        Change invalid = addPool(1, "w3");
        invalid.changes.deletes = { { configuration::ResourceKind::Pool, "gone" } };
        const Row rows[] = {
            { "dry run", addPool(0, "w1"), true, {}, 1 },
            { "first", addPool(0, "w1"), false, {}, 1 },
            { "repeated", addPool(0, "w1"), false, {}, 1 },
            { "rival", addPool(0, "w2"), false, Result::RevisionConflict, 1 },
            { "dry run of rival", addPool(0, "w2"), true, Result::RevisionConflict, 1 },
            { "future base", addPool(7, "w2"), false, Result::RevisionConflict, 1 },
            { "invalid", invalid, false, Result::ValidationFailed, 1 },
            { "no write id", addPool(1, ""), false, Result::ValidationFailed, 1 },
            { "second", addPool(1, "w4"), false, {}, 2 },
        };
        withLog([&](ConfigurationLog &log, PlatformFixture &fixture, asio::yield_context yield) {
            std::error_code error;
            const auto empty = std::make_shared<const Configuration>();
            for (const Row &row : rows) {
                const auto result = log.apply(empty, { row.change, row.dryRun }, yield, error);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected, error);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.revision, result.revision);
            }
            fixture.service.faults().tableDown = true;
            log.apply(empty, { addPool(2, "w5") }, yield, error);
            CPPUNIT_ASSERT_EQUAL(std::error_code(Result::StoreUnavailable), error);
        });
    }

    // Tests that a poll without new entries sends a single read. Guards against the polls of 360
    // daemons exceeding the read limit of the table service.
    void idlePollCostsOneRead()
    {
        withLog([](ConfigurationLog &log, PlatformFixture &fixture, asio::yield_context yield) {
            std::error_code error;
            auto inForce = std::make_shared<const Configuration>();
            for (RevisionNumber base = 0; base < 7; ++base) {
                const auto change = addPool(base, "w" + std::to_string(base));
                log.apply(inForce, { change }, yield, error);
                CPPUNIT_ASSERT(!error);
            }
            const auto reads = [&] { return fixture.service.counters().reads; };
            const auto before = reads();
            CPPUNIT_ASSERT(log.readAfter(7, yield, error).empty());
            CPPUNIT_ASSERT_EQUAL(before + 1, reads());
            // Seven entries take three pages of at most 3 rows.
            CPPUNIT_ASSERT_EQUAL(std::size_t(7), log.readAfter(0, yield, error).size());
            CPPUNIT_ASSERT_EQUAL(before + 4, reads());
        });
    }

    // Tests that a start takes the configuration from the first source that answers, within 1 s.
    // Guards against daemons that cannot start while a part of the platform is down or hangs.
    void startUsesTheFirstSourceThatAnswers()
    {
        struct Row
        {
            const char *name;
            bool tableDown;
            bool objectsDown;
            bool hangs;
            bool peerKnows;
            std::string_view source;
            RevisionNumber revision;
        };
        const Row rows[] = {
            { "all up", false, false, false, true, "table", 6 },
            { "objects down", false, true, false, false, "table", 6 },
            { "table down", true, false, false, false, "objects", 6 },
            { "both down", true, true, false, true, "peers", 6 },
            { "both hang", false, false, true, true, "peers", 6 },
            { "all down", true, true, false, false, "nothing", 0 },
        };
        for (const Row &row : rows) {
            withLog([&](ConfigurationLog &log, PlatformFixture &fixture,
                        asio::yield_context yield) {
                std::error_code error;
                ControlSystem system;
                ConfigurationControl peer(system, {});
                auto inForce = std::make_shared<const Configuration>();
                for (RevisionNumber base = 0; base < 6; ++base) {
                    const auto change = addPool(base, "w" + std::to_string(base));
                    const auto result = log.apply(inForce, { change }, yield, error);
                    log.publishObjects(result.entries.back(), *result.configuration, yield);
                    peer.offerRevisions(result.entries, "apply");
                }
                CPPUNIT_ASSERT(
                        fixture.waitUntil([&] { return peer.current()->revision() == 6; }, yield));
                fixture.service.faults().tableDown = row.tableDown;
                fixture.service.faults().objectsDown = row.objectsDown;
                fixture.service.faults().staleReads = -1;
                fixture.service.faults().delay = milliseconds(row.hangs ? 5000 : 0);
                ConfigurationControl control(system, {});
                ConfigurationFollower follower(
                        fixture.context, control,
                        { .fetchFromPeers = [&](RevisionNumber after, asio::yield_context) {
                            return row.peerKnows ? peer.entriesAfter(after)
                                                 : std::vector<LogEntry>();
                        } });
                const auto begin = steady_clock::now();
                const StartSource source = follower.start(log, yield);
                CPPUNIT_ASSERT_MESSAGE(row.name, steady_clock::now() - begin < milliseconds(1000));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.source, toString(source));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.revision, control.current()->revision());
            });
        }
    }

    // Tests that a revision reported by a peer is fetched at once. Guards against a change that
    // waits for the poll interval, and against a daemon that stays behind its peers while the table
    // is down.
    void reportedRevisionsAreFetched()
    {
        withLog([](ConfigurationLog &log, PlatformFixture &fixture, asio::yield_context yield) {
            ControlSystem system;
            ConfigurationControl peer(system, {});
            std::unique_ptr<ConfigurationFollower> follower;
            ConfigurationControl control(system,
                                         { .fetchNeeded = [&](auto) { follower->requestPoll(); } });
            follower = std::make_unique<ConfigurationFollower>(
                    fixture.context, control,
                    ConfigurationFollowerOptions{
                            .pollInterval = std::chrono::minutes(1),
                            .fetchFromPeers = [&](RevisionNumber after, asio::yield_context) {
                                return peer.entriesAfter(after);
                            } });
            bool ended = false;
            net::spawnCoroutine(fixture.context, "[test]", [&](asio::yield_context inner) {
                follower->run(log, inner);
                ended = true;
            });
            std::error_code error;
            const auto expectRevision = [&](ConfigurationControl &which, RevisionNumber revision) {
                const auto holds = [&] { return which.current()->revision() == revision; };
                CPPUNIT_ASSERT(fixture.waitUntil(holds, yield));
            };
            const auto applyAtPeer = [&](RevisionNumber base) {
                const auto change = addPool(base, "w" + std::to_string(base));
                peer.offerRevisions(log.apply(peer.current(), { change }, yield, error).entries,
                                    "apply");
                expectRevision(peer, base + 1);
            };
            applyAtPeer(0);
            control.recordKnownRevision(1);
            expectRevision(control, 1);
            applyAtPeer(1);
            fixture.service.faults().tableDown = true;
            control.recordKnownRevision(2);
            expectRevision(control, 2);
            follower->stop();
            CPPUNIT_ASSERT(fixture.waitUntil([&] { return ended; }, yield));
        });
    }

private:
    using Body = std::function<void(ConfigurationLog &, PlatformFixture &, asio::yield_context)>;

    static void withLog(const Body &body)
    {
        PlatformFixture fixture;
        platform::PlatformClient platform(fixture.context.get_executor(),
                                          fixture.options(milliseconds(1000)));
        ConfigurationLog log(platform, { .pageSize = 3, .snapshotInterval = 4 });
        fixture.run({ [&](asio::yield_context yield) { body(log, fixture, yield); } });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationLogTest);

} // namespace chervilfield::control

#include "configuration/json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace chervilfield::configuration {

namespace {

rc::Gen<std::string> genName()
{
    return rc::gen::map(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')),
                        [](const std::string &text) { return "n" + text.substr(0, 62); });
}

Labels genLabels()
{
    Labels labels{ { *genName(), *genName() }, { *genName(), *genName() } };
    sortLabels(labels);
    if (labels[0].key == labels[1].key)
        labels.pop_back();
    return labels;
}

LabelSelector genSelector()
{
    return { { { *genName(), Operator::Equals, { *genName() } },
               { *genName(), Operator::NotEquals, { *genName() } },
               { *genName(), Operator::In, { *genName(), *genName() } },
               { *genName(), Operator::Exists, {} },
               { *genName(), Operator::NotExists, {} } } };
}

Resource genResource()
{
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return Pool{ .name = *genName(),
                     .labels = genLabels(),
                     .selector = genSelector(),
                     .kind = *rc::gen::element(TargetKind::Engine, TargetKind::Service),
                     .model = *genName(),
                     .weights = *genName(),
                     .adapter = *genName(),
                     .batchSlots = *rc::gen::inRange(1U, 1000U),
                     .prefillRate = *rc::gen::inRange(1U, 1000000U),
                     .source = *rc::gen::element(TargetSource::Resources,
                                                 TargetSource::InstanceList) };
    case 1:
        return Target{ .name = *genName(),
                       .address = "127.0.0.1:1",
                       .kind = *rc::gen::element(TargetKind::Engine, TargetKind::Service),
                       .labels = genLabels(),
                       .dataCentre = *genName(),
                       .checksFencing = *rc::gen::arbitrary<bool>() };
    case 2:
        return Customer{ .name = *genName(),
                         .apiKeyHash = hashApiKey(*genName()),
                         .labels = genLabels(),
                         .weight = *rc::gen::inRange(1U, 100U) };
    default:
        return RoutingIntent{
            .name = *genName(),
            .model = *genName(),
            .pathPrefix = "",
            .customers = genSelector(),
            .pools = genSelector(),
            .isIdempotent = *rc::gen::arbitrary<bool>(),
            .trafficClass = *rc::gen::element(TrafficClass::Interactive, TrafficClass::Batch),
            .priority = *rc::gen::inRange(0, 10),
            .firstTokenTimeout = std::chrono::milliseconds(*rc::gen::inRange(0, 100000))
        };
    }
}

} // namespace

class JsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonTest);
    CPPUNIT_TEST(valuesSurviveJsonRoundTrip);
    CPPUNIT_TEST(everyErrorIsReported);
    CPPUNIT_TEST(operatorFilesHaveThreeForms);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests that random revisions, changes and snapshots equal the originals after conversion to
    // JSON and back. Guards against daemons that read a different configuration from the store than
    // the operator wrote.
    void valuesSurviveJsonRoundTrip()
    {
        const bool holds = rc::check("a revision, a change and a snapshot round-trip", [] {
            Revision revision{ .number = *rc::gen::inRange<RevisionNumber>(1, 1000),
                               .writeId = *genName(),
                               .changes = {} };
            for (int i = *rc::gen::inRange(0, 6); i > 0; --i)
                revision.changes.upserts.push_back(genResource());
            revision.changes.deletes.push_back({ ResourceKind::Target, *genName() });
            std::vector<ValidationError> errors;
            const auto decoded = parseRevision(toJson(revision), errors);
            RC_LOG() << toJson(revision) << toJson(errors);
            RC_ASSERT(decoded == revision);
            const std::vector<Revision> list{ revision };
            RC_ASSERT(parseRevisions(toJson(list), errors) == list);
            const Change change{ .baseRevision = revision.number - 1,
                                 .writeId = revision.writeId,
                                 .changes = revision.changes };
            RC_ASSERT(parseChange(toJson(change), errors) == change);
            RC_ASSERT(toRevision(change) == revision);
            const auto snapshot = apply(Configuration(), revision.number, revision.changes);
            const auto parsed = parseConfiguration(toJson(*snapshot), errors);
            RC_ASSERT(parsed != nullptr);
            RC_ASSERT(diff(*snapshot, *parsed).empty());
            RC_ASSERT(parsed->revision() == snapshot->revision());
        });
        CPPUNIT_ASSERT(holds);
    }

    // Tests that all errors in a document are reported at once, with their positions. Guards
    // against a parser that stops at the first error, so that operators fix a file step by step.
    void everyErrorIsReported()
    {
        struct Row
        {
            const char *document;
            std::vector<std::string> expectedErrors;
        };
        const Row rows[] = {
            { "[", { "document: expected JSON, found: incomplete JSON" } },
            { "7", { "document: expected an object, found 7" } },
            { R"([{"resource":"pol","name":"a"}])",
              { "resource 0 (a): resource: expected pool or target or customer or intent, found "
                "\"pol\"" } },
            { R"([{"resource":"pool","name":"p","selector":"a==","modell":"x","kind":"gpu"}, 3])",
              { "resource 0 (p): selector: expected a label value of 1 to 63 characters at offset "
                "2, found '='",
                "resource 0 (p): kind: expected engine or service, found \"gpu\"",
                "resource 0 (p): modell: expected a known member, found an unknown one",
                "resource 1: expected an object, found 3" } },
            { R"({"resource":"customer","name":"c","apiKeyHash":"zz","weight":-1,"labels":[]})",
              { "resource: apiKeyHash: expected 64 hexadecimal digits, found 2 characters",
                "resource: labels: expected an object of strings, found []",
                "resource: weight: expected a whole number in range, found -1" } },
        };
        for (const Row &row : rows) {
            std::vector<ValidationError> errors;
            CPPUNIT_ASSERT_MESSAGE(row.document, !parseResources(row.document, errors));
            std::vector<std::string> found;
            found.reserve(errors.size());
            for (const ValidationError &error : errors)
                found.push_back(toString(error));
            for (const std::string &expectedError : row.expectedErrors) {
                CPPUNIT_ASSERT_MESSAGE(expectedError + " in " + toJson(errors),
                                       std::ranges::find(found, expectedError) != found.end());
            }
        }
    }

    // Tests the three documented forms of an operator's file. Guards against a parser that rejects
    // one of them.
    void operatorFilesHaveThreeForms()
    {
        const std::string one = R"({"resource":"intent","name":"i","model":"m"})";
        struct Row
        {
            std::string document;
            std::size_t upserts;
            std::size_t deletes;
        };
        const Row rows[] = {
            { one, 1, 0 },
            { "[" + one + "," + one + "]", 2, 0 },
            { R"({"resources":[)" + one + R"(],"deletes":[{"resource":"pool","name":"p"}]})", 1,
              1 },
        };
        for (const Row &row : rows) {
            std::vector<ValidationError> errors;
            const auto changes = parseResources(row.document, errors);
            CPPUNIT_ASSERT_MESSAGE(toJson(errors), changes.has_value());
            CPPUNIT_ASSERT_EQUAL(row.upserts, changes->upserts.size());
            CPPUNIT_ASSERT_EQUAL(row.deletes, changes->deletes.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

} // namespace chervilfield::configuration

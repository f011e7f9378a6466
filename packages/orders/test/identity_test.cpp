#include "orders/identity.h"

#include "base/result.h"

#include <cppunit/extensions/HelperMacros.h>

namespace chervilfield::orders {

class IdentityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdentityTest);
    CPPUNIT_TEST(headersGiveIdentity);
    CPPUNIT_TEST(rowKeysDoNotCollide);
    CPPUNIT_TEST(fingerprintCoversEveryPart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Tests which header identifies a call and which values are rejected. Guards against running an
    // order again under its key when a call that carries a ticket is retried at another instance.
    void headersGiveIdentity()
    {
        struct Row
        {
            IdentityHeaders headers;
            std::optional<Identity> expected;
            base::Result error;
        };
        const Row rows[] = {
            { { "k", std::nullopt }, Identity{ IdentityKind::Key, "c", "k" }, base::Result::Ok },
            { { "k", "t" }, Identity{ IdentityKind::Ticket, "c", "t" }, base::Result::Ok },
            { { "k", "" }, std::nullopt, base::Result::InvalidField },
            { { "a b", std::nullopt }, std::nullopt, base::Result::InvalidField },
            { { std::string(kMaxIdentityLength + 1, 'k'), std::nullopt },
              std::nullopt,
              base::Result::InvalidField },
            { {}, std::nullopt, base::Result::MissingIdempotencyKey },
        };
        for (const Row &row : rows) {
            std::error_code error;
            CPPUNIT_ASSERT(identify("c", row.headers, error) == row.expected);
            CPPUNIT_ASSERT(base::toResult(error) == row.error);
        }
    }

    // Tests that different customers and keys have different rows. Guards against a key with a
    // slash or a percent sign that addresses the row of another customer or key.
    void rowKeysDoNotCollide()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("orders/a/b%2Fc"),
                             rowKey({ IdentityKind::Key, "a", "b/c" }));
        CPPUNIT_ASSERT(rowKey({ IdentityKind::Key, "a/b", "c" })
                       != rowKey({ IdentityKind::Key, "a", "b/c" }));
        CPPUNIT_ASSERT(rowKey({ IdentityKind::Key, "a", "%2F" })
                       != rowKey({ IdentityKind::Key, "a", "/" }));
    }

    // Tests that a change of any part of a request changes its fingerprint. Guards against
    // replaying the stored answer when a key is reused for a different request.
    void fingerprintCoversEveryPart()
    {
        const std::string original = fingerprint({ "POST", "/a", "text/plain", "body" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(32), original.size());
        const RequestParts others[] = {
            { "PUT", "/a", "text/plain", "body" },        { "POST", "/b", "text/plain", "body" },
            { "POST", "/a", "application/json", "body" }, { "POST", "/a", "text/plain", "Body" },
            { "POST", "/at", "ext/plain", "body" },
        };
        for (const RequestParts &other : others)
            CPPUNIT_ASSERT(fingerprint(other) != original);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdentityTest);

} // namespace chervilfield::orders

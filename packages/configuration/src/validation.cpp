#include "configuration/validation.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <set>

namespace chervilfield::configuration {

namespace {

constexpr std::uint32_t kMaxWeight = 1'000'000;
constexpr std::int32_t kMaxPriority = 9;
constexpr std::chrono::milliseconds kMaxFirstTokenTimeout = std::chrono::hours(24);

/// Path prefixes that the daemon serves itself.
constexpr std::string_view kReservedPrefixes[] = { "/v1", "/admin", "/healthz", "/readyz",
                                                   "/metrics" };

std::string found(std::string_view value)
{
    return ", found '" + std::string(value) + "'";
}

bool isPort(std::string_view text)
{
    unsigned port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size() && port >= 1 && port <= 65535;
}

bool isNumericAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
        return false;
    in_addr buffer{};
    return inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &buffer) == 1;
}

/// Validates the resources of a change and appends all errors to a list.
class Validator
{
public:
    explicit Validator(std::vector<ValidationError> &errors) : errors_(errors) {}

    void check(const Resource &resource)
    {
        subject_ = toString(idOf(resource));
        std::visit(
                [&](const auto &value) {
                    expect(isValidName(value.name), "name",
                           "expected 1 to 63 letters, digits or . _ - /" + found(value.name));
                    checkFields(value);
                },
                resource);
    }

    void add(std::string subject, std::string field, std::string message)
    {
        errors_.push_back({ std::move(subject), std::move(field), std::move(message) });
    }

private:
    /// Adds an error for the current subject unless `holds` is true.
    void expect(bool holds, std::string field, std::string message)
    {
        if (!holds)
            add(subject_, std::move(field), std::move(message));
    }

    void checkLabels(const Labels &labels)
    {
        for (std::size_t i = 0; i < labels.size(); ++i) {
            const Label &label = labels[i];
            expect(isValidName(label.key), "labels",
                   "expected a key of 1 to 63 letters, digits or . _ - /" + found(label.key));
            expect(isValidName(label.value), "labels." + label.key,
                   "expected a value of 1 to 63 letters, digits or . _ - /" + found(label.value));
            expect(i == 0 || labels[i - 1].key < label.key, "labels",
                   "expected unique keys in ascending order" + found(label.key));
        }
    }

    void checkFields(const Pool &pool)
    {
        checkLabels(pool.labels);
        if (pool.kind == TargetKind::Engine) {
            expect(!pool.model.empty(), "model", "expected a model for an engine pool, found none");
            expect(pool.batchSlots >= 1, "batchSlots", "expected at least 1, found 0");
            expect(pool.prefillRate >= 1, "prefillRate", "expected at least 1, found 0");
            expect(!pool.weights.empty(), "weights",
                   "expected a version of the weights for an engine pool, found none");
            return;
        }
        const std::string message = "expected no value for a service pool";
        expect(pool.model.empty(), "model", message + found(pool.model));
        expect(pool.weights.empty(), "weights", message + found(pool.weights));
        expect(pool.adapter.empty(), "adapter", message + found(pool.adapter));
    }

    void checkFields(const Target &target)
    {
        checkLabels(target.labels);
        expect(isNumericAddress(target.address), "address",
               "expected a numeric IPv4 address and port such as 127.0.0.1:8000"
                       + found(target.address));
        expect(isValidName(target.dataCentre), "dataCentre",
               "expected the name of a data centre" + found(target.dataCentre));
    }

    void checkFields(const Customer &customer)
    {
        checkLabels(customer.labels);
        expect(customer.apiKeyHash != ApiKeyHash{}, "apiKeyHash",
               "expected the hash of an API key, found only zeros");
        expect(customer.weight >= 1 && customer.weight <= kMaxWeight, "weight",
               "expected 1 to " + std::to_string(kMaxWeight)
                       + found(std::to_string(customer.weight)));
    }

    void checkFields(const RoutingIntent &intent)
    {
        expect(intent.model.empty() != intent.pathPrefix.empty(), "model",
               "expected exactly one of model and pathPrefix"
                       + found(intent.model + intent.pathPrefix));
        expect(intent.pathPrefix.empty() || intent.pathPrefix.starts_with('/'), "pathPrefix",
               "expected a path that starts with '/'" + found(intent.pathPrefix));
        for (const std::string_view reserved : kReservedPrefixes) {
            const std::string_view prefix = intent.pathPrefix;
            expect(!prefix.starts_with(reserved)
                           || (prefix.size() > reserved.size() && prefix[reserved.size()] != '/'),
                   "pathPrefix",
                   "expected a path that the daemon does not serve itself" + found(prefix));
        }
        expect(intent.priority >= 0 && intent.priority <= kMaxPriority, "priority",
               "expected 0 to " + std::to_string(kMaxPriority)
                       + found(std::to_string(intent.priority)));
        expect(intent.firstTokenTimeout.count() >= 0
                       && intent.firstTokenTimeout <= kMaxFirstTokenTimeout,
               "deadlineMs",
               "expected 0 to " + std::to_string(kMaxFirstTokenTimeout.count())
                       + found(std::to_string(intent.firstTokenTimeout.count())));
    }

    std::vector<ValidationError> &errors_;
    std::string subject_;
};

/// Adds errors for resources that occur more than once in the change, and for deletes of resources
/// that do not exist.
void checkIds(const Configuration &base, const ResourceChanges &changes, Validator &validator)
{
    std::set<ResourceId> seen;
    const auto checkOnce = [&](const ResourceId &id) {
        if (!seen.insert(id).second)
            validator.add(toString(id), "", "expected one upsert or delete, found several");
    };
    for (const Resource &resource : changes.upserts)
        checkOnce(idOf(resource));
    for (const ResourceId &id : changes.deletes) {
        checkOnce(id);
        if (!base.findResource(id))
            validator.add(toString(id), "", "expected an existing resource to delete, found none");
    }
}

/// Adds errors for resources that share a value that must be unique, such as an API key hash.
template<typename T, typename Projection>
void checkUnique(const std::vector<std::shared_ptr<const T>> &entries, std::string_view field,
                 ResourceKind kind, Projection projection, Validator &validator)
{
    std::map<std::decay_t<std::invoke_result_t<Projection, const T &>>, const T *> owners;
    for (const auto &entry : entries) {
        const auto [owner, inserted] = owners.emplace(std::invoke(projection, *entry), entry.get());
        if (!inserted && owner->second->name != entry->name) {
            validator.add(toString(ResourceId{ kind, entry->name }), std::string(field),
                          "expected a value that no other resource has, found the one of '"
                                  + owner->second->name + "'");
        }
    }
}

} // namespace

std::string toString(const ValidationError &error)
{
    return error.subject + (error.field.empty() ? "" : ": " + error.field) + ": " + error.message;
}

std::vector<ValidationError> validate(const Configuration &base, const ResourceChanges &changes)
{
    std::vector<ValidationError> errors;
    Validator validator(errors);
    if (changes.upserts.empty() && changes.deletes.empty())
        validator.add("change", "", "expected at least one upsert or delete, found none");
    checkIds(base, changes, validator);
    for (const Resource &resource : changes.upserts)
        validator.check(resource);
    const ConfigurationPtr result = apply(base, base.revision() + 1, changes);
    checkUnique(result->resources().customers, "apiKeyHash", ResourceKind::Customer,
                &Customer::apiKeyHash, validator);
    checkUnique(result->resources().targets, "address", ResourceKind::Target, &Target::address,
                validator);
    return errors;
}

} // namespace chervilfield::configuration

#include "traffic/request_scope.h"

#include "base/hash.h"
#include "http/error_response.h"

#include <glog/logging.h>

#include <random>

namespace chervilfield::traffic {

using base::Result;

std::string makeRequestId()
{
    thread_local std::mt19937_64 random{ std::random_device{}() };
    return base::toHex(random()) + base::toHex(random()).substr(0, 8);
}

RequestScope openScope(const Services &services, const net::Request &request,
                       std::error_code &error)
{
    RequestScope scope{ .context = http::readContext(request.headers, error),
                        .table = services.targetTable() };
    scope.requestId =
            scope.context.requestId.empty() || error ? makeRequestId() : scope.context.requestId;
    // Without a configuration every API key is unknown, and callers do not retry after
    // `Unauthorized`.
    if (!error && scope.table->configuration().revision() == 0)
        error = Result::NotReady;
    if (error)
        return scope;
    // An absent key must not match a customer that was given the hash of the empty text.
    if (!scope.context.apiKey.empty()) {
        const auto keyHash = configuration::hashApiKey(scope.context.apiKey);
        scope.customer = scope.table->configuration().findCustomer(keyHash);
    }
    if (scope.customer == nullptr)
        error = Result::Unauthorized;
    return scope;
}

void refuse(net::Exchange &exchange, const Services &services, std::string_view kind,
            std::string_view requestId, const std::error_code &error, base::WorkStatus work,
            std::string_view detail, const boost::asio::yield_context &yield)
{
    const Result code = base::toResult(error);
    LOG(WARNING) << "[traffic] Request " << requestId << " refused: " << base::resultInfo(code).name
                 << " (" << static_cast<int>(code) << "), " << base::toString(work) << '.';
    services.metrics.countRequest(std::string(kind), code);
    http::ErrorReport report{
        .code = code, .work = work, .detail = detail, .requestId = requestId
    };
    constexpr int kServiceUnavailable = 503;
    if (base::resultInfo(code).httpStatus == kServiceUnavailable)
        report.retryAfter = std::chrono::seconds(1);
    std::error_code ignored;
    exchange.respond(http::errorResponse(report), yield, ignored);
}

} // namespace chervilfield::traffic

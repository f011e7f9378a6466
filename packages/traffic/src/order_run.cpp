#include "traffic/order_run.h"

#include "base/result.h"
#include "net/http_server.h"
#include "platform/platform_client.h"
#include "traffic/order_registry.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <deque>
#include <memory>

namespace chervilfield::traffic {

using base::Result;
using base::WorkStatus;
using boost::asio::yield_context;
using std::chrono::milliseconds;

namespace {

orders::Answer toAnswer(const net::Response &response)
{
    const auto contentType = net::findHeader(response.headers, "Content-Type");
    return { .status = response.status,
             .contentType = std::string(contentType.value_or("application/octet-stream")),
             .body = response.body };
}

// Performs the actions of one attempt. Held by shared pointers, because it outlives the call until
// the attempt has finished.
class OrderExecution : public std::enable_shared_from_this<OrderExecution>
{
public:
    OrderExecution(const TrafficThread &thread, const ServiceCall &call,
                   orders::AttemptRequest request)
        : thread_(thread), call_(call), replyTimer_(thread.context)
    {
        attempt_.request = std::move(request);
        table_ = thread.services.targetTable();
    }

    orders::Reply waitForReply(const yield_context &yield)
    {
        replyTimer_.expires_at(boost::asio::steady_timer::time_point::max());
        net::spawnCoroutine(
                thread_.context, "[orders]",
                [self = shared_from_this()](const yield_context &inner) { self->run(inner); });
        boost::system::error_code ignored;
        if (!reply_.has_value())
            replyTimer_.async_wait(yield[ignored]);
        return *reply_;
    }

private:
    void run(const yield_context &yield)
    {
        std::deque<orders::Action> actions;
        const auto appendActions = [&actions](std::vector<orders::Action> newActions) {
            actions.insert(actions.end(), newActions.begin(), newActions.end());
        };
        appendActions(thread_.services.orderRegistry.step(attempt_, orders::Begin{}));
        while (!actions.empty()) {
            const orders::Action action = std::move(actions.front());
            actions.pop_front();
            if (const auto *reply = std::get_if<orders::Reply>(&action)) {
                setReply(*reply);
                continue;
            }
            appendActions(thread_.services.orderRegistry.step(attempt_, perform(action, yield)));
        }
        if (!reply_.has_value())
            setReply({ .work = WorkStatus::Unknown, .code = Result::Internal });
    }

    void setReply(const orders::Reply &reply)
    {
        reply_ = reply;
        replyTimer_.cancel();
    }

    orders::Event perform(const orders::Action &action, const yield_context &yield)
    {
        if (const auto *write = std::get_if<orders::WriteRow>(&action)) {
            pause(write->delay, yield);
            return writeRow(write->write, yield);
        }
        if (const auto *read = std::get_if<orders::ReadRow>(&action)) {
            pause(read->delay, yield);
            return readRow(yield);
        }
        return dispatch(yield);
    }

    orders::Event writeRow(const orders::PendingWrite &write, const yield_context &yield)
    {
        std::error_code error;
        const auto row = thread_.platform.write({ .key = attempt_.request.rowKey,
                                                  .value = orders::encodeRow(write.row),
                                                  .ifVersion = write.ifVersion,
                                                  .writeId = write.writeId },
                                                yield, error);
        if (!error && row.has_value())
            return orders::WriteApplied{ row->version };
        if (error == Result::StoreUnavailable)
            return orders::WriteNotApplied{};
        if (error == Result::RevisionConflict && row.has_value()) {
            if (auto stored = decode(*row))
                return orders::WriteConflict{ *stored, hasOwnerLifeEnded(*stored) };
        }
        return orders::WriteUnconfirmed{};
    }

    orders::Event readRow(const yield_context &yield)
    {
        std::error_code error;
        const auto row = thread_.platform.read(attempt_.request.rowKey, yield, error);
        if (error == Result::NotFound)
            return orders::RowRead{};
        if (error || !row.has_value())
            return orders::ReadFailed{};
        const auto stored = decode(*row);
        if (!stored.has_value())
            return orders::ReadFailed{};
        return orders::RowRead{ stored, hasOwnerLifeEnded(*stored) };
    }

    orders::Event dispatch(const yield_context &yield)
    {
        std::error_code error;
        const auto response = sendOnce(thread_, call_, yield, error);
        if (response.has_value())
            return orders::TargetAnswered{ toAnswer(*response) };
        if (provesNotSent(error))
            return orders::DispatchNotSent{ base::toResult(error) };
        return orders::AnswerLost{};
    }

    std::optional<orders::StoredRow> decode(const platform::TableRow &row) const
    {
        std::error_code error;
        const auto decoded = orders::decodeRow(row.value, error);
        if (!decoded.has_value()) {
            LOG(ERROR) << "[orders] Row " << row.key << " is not readable: " << error.message();
            return std::nullopt;
        }
        return orders::StoredRow{ .row = *decoded, .version = row.version, .writeId = row.writeId };
    }

    bool hasOwnerLifeEnded(const orders::StoredRow &stored) const
    {
        return thread_.services.orderRegistry.hasLifeEnded(stored.row.ownerLife);
    }

    void pause(milliseconds duration, const yield_context &yield)
    {
        if (duration <= milliseconds::zero())
            return;
        boost::asio::steady_timer timer(thread_.context, duration);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }

    const TrafficThread &thread_;
    const ServiceCall call_;
    TargetTablePtr table_; ///< Keeps the targets that `call_` refers to alive.
    orders::Attempt attempt_;
    boost::asio::steady_timer replyTimer_;
    std::optional<orders::Reply> reply_;
};

} // namespace

orders::Reply runOrder(const TrafficThread &thread, const ServiceCall &call,
                       orders::AttemptRequest request, const yield_context &yield)
{
    return std::make_shared<OrderExecution>(thread, call, std::move(request))->waitForReply(yield);
}

orders::Reply runTicketOrder(const TrafficThread &thread, const ServiceCall &call,
                             const orders::Identity &identity, const std::string &fingerprint,
                             const yield_context &yield)
{
    OrderRegistry &registry = thread.services.orderRegistry;
    const orders::Redemption redemption = registry.redeem(identity, fingerprint);
    if (redemption.reply.has_value())
        return *redemption.reply;
    std::error_code error;
    const auto response = sendOnce(thread, call, yield, error);
    if (response.has_value()) {
        const orders::Answer answer = toAnswer(*response);
        registry.recordAnswer(identity, answer);
        return { .work = WorkStatus::Ran, .code = Result::Ok, .answer = answer };
    }
    if (provesNotSent(error)) {
        registry.recordNotSent(identity);
        return { .work = WorkStatus::NotRun, .code = base::toResult(error) };
    }
    registry.recordAnswerLost(identity);
    return { .work = WorkStatus::Unknown, .code = Result::OrderUndecided };
}

} // namespace chervilfield::traffic

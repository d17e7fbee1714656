#include "ServingOrder.h"

#include "../../Protocol/KeyHash.h"
#include "../../State/ServingTable.h"

#include <memory>
#include <utility>

namespace Apricothead {
namespace {

constexpr unsigned CommandIdBytes = 16;
/** Each conflict means that another order was applied. */
constexpr unsigned MaxProposals = 16;

struct Submission {
    Wire::Command order;
    ServingOrderOptions options;
    unsigned proposals = 0;
};

std::uint64_t latestOrder(const Wire::Command &order, const Wire::ServingState &state)
{
    return order.has_set_evacuation() ? state.evacuation_order() : latestRolloutOrder(state, order.start_service_rollout().service());
}

void setBasedOn(Wire::Command &order, std::uint64_t latest)
{
    if (order.has_set_evacuation()) {
        order.mutable_set_evacuation()->set_based_on(latest);
    } else {
        order.mutable_start_service_rollout()->set_based_on(latest);
    }
}

void propose(const std::shared_ptr<Submission> &submission, std::uint64_t latest)
{
    const ServingOrderOptions &options = submission->options;
    const bool isAwaited = !options.isAwaited || options.isAwaited();
    if (!isAwaited || submission->proposals == MaxProposals) {
        options.done({.status = Wire::PROPOSE_STATUS_NOT_APPENDED, .result = {}});
        return;
    }
    ++submission->proposals;
    setBasedOn(submission->order, latest);
    options.propose(submission->order, [submission](const ProposeOutcome &outcome) {
        const Wire::Error &error = outcome.result.error();
        if (outcome.status == Wire::PROPOSE_STATUS_APPLIED && error.code() == Wire::ERROR_CODE_REVISION_CONFLICT) {
            propose(submission, error.current_revision());
            return;
        }
        submission->options.done(outcome);
    });
}

} // namespace

void submitOrder(Wire::Command order, ServingOrderOptions options)
{
    const auto submission = std::make_shared<Submission>(Submission{.order = std::move(order), .options = std::move(options)});
    submission->order.set_command_id(randomHex(CommandIdBytes));
    Wire::Query query;
    query.set_serving(true);
    submission->options.query(std::move(query), [submission](const Wire::QueryReply &read) {
        if (read.has_error() || !read.has_serving()) {
            submission->options.done({.status = Wire::PROPOSE_STATUS_NOT_APPENDED, .result = {}});
            return;
        }
        propose(submission, latestOrder(submission->order, read.serving()));
    });
}

} // namespace Apricothead

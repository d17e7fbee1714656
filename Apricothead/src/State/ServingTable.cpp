#include "ServingTable.h"

#include "StateErrors.h"
#include "SuspectTable.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

/** Bound on the replicated state, which every gateway receives with each change of it. */
constexpr int MaxEvacuations = 256;
constexpr std::size_t MaxZoneBytes = 128;
/** Versions remembered of one service, and of all; the earliest are forgotten first. */
constexpr int MaxVersionsOfService = 16;
constexpr int MaxVersions = 256;

Wire::CommandResult revisionResult(std::uint64_t revision)
{
    Wire::CommandResult result;
    result.set_revision(revision);
    return result;
}

/** The refusal of an order that would replace one that its sender did not know of. */
Wire::CommandResult conflictResult(std::uint64_t basedOn, std::uint64_t latest)
{
    const std::string latestText = std::to_string(latest);
    Wire::Error error = makeError(Wire::ERROR_CODE_REVISION_CONFLICT,
                                  "based_on",
                                  "is " + std::to_string(basedOn) + ", but the latest order is " + latestText,
                                  "repeat the order with based_on " + latestText + " if it is to replace that one");
    error.set_current_revision(latest);
    return refusalResult(std::move(error));
}

std::uint64_t latestOrderOf(const Wire::ServiceRollout &rollout)
{
    return std::max(rollout.order(), rollout.latest_order());
}

} // namespace

std::uint64_t latestRolloutOrder(const Wire::ServingState &state, const std::string &service)
{
    for (const Wire::ServiceRollout &rollout : state.rollouts()) {
        if (rollout.service() == service) {
            return latestOrderOf(rollout);
        }
    }
    return 0;
}

const Wire::ServingState &ServingTable::value() const
{
    return this->state;
}

Wire::CommandResult ServingTable::putPlan(const Wire::ServicePlan &plan, std::uint64_t index)
{
    if (plan.revision() > this->state.plan().revision()) {
        *this->state.mutable_plan() = plan;
        this->state.set_number(index);
    }
    return revisionResult(this->state.plan().revision());
}

Wire::ServiceRollout *ServingTable::find(const std::string &service)
{
    auto &rollouts = *this->state.mutable_rollouts();
    const auto found = std::find_if(rollouts.begin(), rollouts.end(), [&service](const Wire::ServiceRollout &rollout) {
        return rollout.service() == service;
    });
    return found == rollouts.end() ? nullptr : &*found;
}

Wire::CommandResult ServingTable::startRollout(const Wire::StartServiceRollout &order, std::uint64_t index, std::int64_t timeMs)
{
    const auto &services = this->state.plan().services();
    const bool known = std::any_of(services.begin(), services.end(), [&order](const Wire::PlanService &service) {
        return service.name() == order.service();
    });
    if (!known) {
        return refusalResult(makeError(Wire::ERROR_CODE_NOT_FOUND, "service", "names no service of the plan in force", "send the plan first"));
    }
    Wire::ServiceRollout *rollout = this->find(order.service());
    const std::uint64_t latest = rollout == nullptr ? 0 : latestOrderOf(*rollout);
    if (rollout != nullptr && rollout->target() == order.target()) {
        // An entry of an earlier release leaves the same state as that release did.
        rollout->set_latest_order(order.has_based_on() ? index : rollout->latest_order());
        return revisionResult(this->state.plan().revision());
    }
    if (order.has_based_on() && order.based_on() != latest) {
        return conflictResult(order.based_on(), latest);
    }
    if (rollout == nullptr) {
        rollout = this->state.add_rollouts();
    }
    this->rememberTarget(*rollout);
    this->forgetVersion(order.service(), order.target());
    rollout->Clear();
    rollout->set_service(order.service());
    rollout->set_target(order.target());
    rollout->set_duration_ms(order.duration_ms());
    rollout->set_state(Wire::SERVICE_ROLLOUT_STATE_RUNNING);
    rollout->set_order(index);
    rollout->set_started_ms(timeMs);
    this->state.set_number(index);
    return revisionResult(this->state.plan().revision());
}

void ServingTable::rememberTarget(const Wire::ServiceRollout &rollout)
{
    const bool isReplaced = rollout.state() == Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK || rollout.state() == Wire::SERVICE_ROLLOUT_STATE_RUNNING;
    if (!isReplaced) {
        return;
    }
    this->forgetVersion(rollout.service(), rollout.target());
    auto &versions = *this->state.mutable_versions();
    const auto isOfService = [&rollout](const Wire::RememberedVersion &version) {
        return version.service() == rollout.service();
    };
    if (std::count_if(versions.begin(), versions.end(), isOfService) >= MaxVersionsOfService) {
        versions.erase(std::find_if(versions.begin(), versions.end(), isOfService));
    } else if (versions.size() >= MaxVersions) {
        versions.erase(versions.begin());
    }
    Wire::RememberedVersion &added = *versions.Add();
    added.set_service(rollout.service());
    added.set_version(rollout.target());
    const bool isWithdrawn = rollout.state() == Wire::SERVICE_ROLLOUT_STATE_ROLLED_BACK;
    added.set_verdict(isWithdrawn ? Wire::VERSION_VERDICT_WITHDRAWN : Wire::VERSION_VERDICT_OVERTAKEN);
    added.set_order(rollout.order());
}

void ServingTable::forgetVersion(const std::string &service, const std::string &version)
{
    auto &versions = *this->state.mutable_versions();
    const auto isForgotten = [&service, &version](const Wire::RememberedVersion &known) {
        return known.service() == service && known.version() == version;
    };
    versions.erase(std::remove_if(versions.begin(), versions.end(), isForgotten), versions.end());
}

Wire::CommandResult ServingTable::setRollout(const Wire::SetServiceRollout &change, std::uint64_t index)
{
    Wire::ServiceRollout *rollout = this->find(change.service());
    if (rollout == nullptr || rollout->order() != change.order() || rollout->state() != Wire::SERVICE_ROLLOUT_STATE_RUNNING) {
        return refusalResult(makeError(Wire::ERROR_CODE_NOT_FOUND, "order", "names no running roll-out", "read the roll-outs in force"));
    }
    rollout->set_state(change.state());
    rollout->set_share_permille(change.share_permille());
    rollout->set_evidence(change.evidence());
    this->state.set_number(index);
    return revisionResult(this->state.plan().revision());
}

Wire::CommandResult ServingTable::updateSuspects(const Wire::UpdateSuspects &update, std::uint64_t index, std::int64_t timeMs)
{
    Wire::CommandResult result;
    result.set_done(SuspectTable(*this->state.mutable_suspects()).apply(update, timeMs));
    if (result.done()) {
        this->state.set_number(index);
    }
    return result;
}

Wire::CommandResult ServingTable::startPartTrial(const Wire::StartPartTrial &trial, std::uint64_t index, std::int64_t timeMs)
{
    Wire::CommandResult result;
    result.set_done(SuspectTable(*this->state.mutable_suspects()).startTrial(trial.parts(), timeMs));
    if (result.done()) {
        this->state.set_number(index);
    }
    return result;
}

Wire::CommandResult ServingTable::setEvacuation(const Wire::SetEvacuation &order, std::uint64_t index)
{
    const std::string &zone = order.availability_zone();
    auto &evacuations = *this->state.mutable_evacuations();
    const auto found = std::find_if(evacuations.begin(), evacuations.end(), [&zone](const Wire::Evacuation &evacuation) {
        return evacuation.availability_zone() == zone;
    });
    const bool isEvacuated = found != evacuations.end();
    const std::uint64_t latest = this->state.evacuation_order();
    const std::uint64_t next = order.has_based_on() ? index : latest;
    if (order.end() != isEvacuated) {
        this->state.set_evacuation_order(next);
        return revisionResult(this->state.plan().revision());
    }
    if (order.has_based_on() && order.based_on() != latest) {
        return conflictResult(order.based_on(), latest);
    }
    if (order.end()) {
        evacuations.erase(found);
    } else if (zone.empty() || zone.size() > MaxZoneBytes) {
        return refusalResult(makeError(Wire::ERROR_CODE_INVALID, "availabilityZone", "is empty or longer than 128 bytes", "name a zone"));
    } else if (evacuations.size() >= MaxEvacuations) {
        return refusalResult(makeError(Wire::ERROR_CODE_INVALID, "availabilityZone", "is one more than 256", "end an evacuation first"));
    } else {
        Wire::Evacuation &evacuation = *evacuations.Add();
        evacuation.set_availability_zone(zone);
        evacuation.set_order(index);
    }
    this->state.set_evacuation_order(next);
    this->state.set_number(index);
    return revisionResult(this->state.plan().revision());
}

void ServingTable::restore(const Wire::ServingState &restored)
{
    this->state = restored;
}

} // namespace Apricothead

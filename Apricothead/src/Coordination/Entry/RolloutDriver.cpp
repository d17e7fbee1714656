#include "RolloutDriver.h"

#include "../../Transport/Log.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

const Wire::Rollout *runningRollout(const Wire::Configuration &configuration, const std::string &model)
{
    for (const Wire::Rollout &rollout : configuration.rollouts()) {
        if (rollout.model() == model && rollout.state() == Wire::ROLLOUT_STATE_RUNNING) {
            return &rollout;
        }
    }
    return nullptr;
}

} // namespace

RolloutDriver::RolloutDriver(RolloutDriverOptions driverOptions)
    : options(std::move(driverOptions)), evidenceStore({.entry = options.entry}), controller(options.rollout)
{ }

void RolloutDriver::recordStarted(const std::string &version, std::int64_t nowMs)
{
    this->evidenceStore.recordStarted(version, nowMs);
}

void RolloutDriver::recordEnded(const std::string &model,
                                const std::string &version,
                                AnswerOutcome outcome,
                                double firstTokenMs,
                                bool awaitsRating,
                                std::int64_t nowMs)
{
    if (outcome == AnswerOutcome::Neutral) {
        this->evidenceStore.recordDropped(version);
        return;
    }
    this->evidenceStore.recordEnded(model, version, outcome == AnswerOutcome::Failed, firstTokenMs, awaitsRating, nowMs);
}

void RolloutDriver::recordRating(const std::string &version, std::optional<double> rating, std::int64_t nowMs)
{
    this->evidenceStore.recordRated(version, rating, nowMs);
}

bool RolloutDriver::isRolloutFull(const Wire::Configuration &configuration, const std::string &model, std::int64_t nowMs) const
{
    const Wire::Rollout *rollout = runningRollout(configuration, model);
    return rollout != nullptr && !this->controller.canAcceptMore(configuration, rollout->to_version(), this->evidenceStore, this->entryCount, nowMs);
}

bool RolloutDriver::needsRating(const Wire::Configuration &configuration, const std::string &version)
{
    return std::any_of(configuration.rollouts().begin(), configuration.rollouts().end(), [&](const Wire::Rollout &rollout) {
        const bool isNamed = rollout.to_version() == version || rollout.from_version() == version;
        return isNamed && rollout.state() == Wire::ROLLOUT_STATE_RUNNING;
    });
}

std::vector<Wire::VersionEvidence> RolloutDriver::digest(std::int64_t nowMs) const
{
    return this->evidenceStore.digest(nowMs);
}

void RolloutDriver::applyDigests(const std::vector<Wire::EntryDigest> &digests, std::int64_t nowMs)
{
    this->entryCount = std::max(1U, static_cast<unsigned>(digests.size()));
    for (const Wire::EntryDigest &digest : digests) {
        if (digest.entry() == this->options.entry) {
            continue;
        }
        this->evidenceStore.receive(digest.entry(), {digest.evidence().begin(), digest.evidence().end()}, nowMs);
    }
}

void RolloutDriver::decide(const Wire::Configuration &configuration, std::int64_t nowMs)
{
    for (const RolloutDecision &decision : this->controller.decide(configuration, this->evidenceStore, nowMs)) {
        if (this->recordIfChanged(decision)) {
            logLine(decision.action == RolloutAction::Alarm ? LogLevel::Error : LogLevel::Info,
                    "rollout-decision",
                    {{"model", decision.model},
                     {"version", decision.version},
                     {"action", rolloutActionName(decision.action)},
                     {"sharePermille", std::uint64_t{decision.sharePermille}},
                     {"reason", decision.reason},
                     {"evidence", decision.evidence}});
        }
        if (decision.command.body_case() != Wire::Command::BODY_NOT_SET) {
            this->proposeCommand(decision, configuration.revision());
        }
    }
}

bool RolloutDriver::recordIfChanged(const RolloutDecision &decision)
{
    const std::string line = rolloutActionName(decision.action) + decision.reason;
    return std::exchange(this->lastLoggedReasons[decision.version], line) != line;
}

void RolloutDriver::proposeCommand(const RolloutDecision &decision, std::uint64_t revision)
{
    const std::string id = decision.command.command_id();
    if (!this->pendingCommandIds.emplace(id, true).second) {
        return;
    }
    this->options.propose(decision.command, [this, id, revision, version = decision.version](const ProposeOutcome &outcome) {
        // Allows a lost proposal to be repeated; a later decision has the next revision.
        this->pendingCommandIds.erase(id);
        const bool isApplied = outcome.status == Wire::PROPOSE_STATUS_APPLIED && !outcome.result.has_error();
        logLine(LogLevel::Info,
                "rollout-change",
                {{"version", version}, {"basedOn", revision}, {"applied", isApplied}, {"error", outcome.result.error().message()}});
    });
}

} // namespace Apricothead

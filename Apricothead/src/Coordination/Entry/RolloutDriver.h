#pragma once

#include "../../Decisions/EvidenceStore.h"
#include "../../Decisions/RolloutController.h"
#include "../Shared/ReplicaClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \enum AnswerEnd
 * \ingroup Coordination_Module
 * \brief How a run ended, as evidence on its version.
 */
enum class AnswerOutcome {
    Complete,
    /** An error, or a truncated or empty answer. */
    Failed,
    /** Refused or cancelled: no evidence on the version. */
    Neutral,
};

/** \class RolloutDriverOptions
 * \ingroup Coordination_Module
 * \brief Options and callbacks of a RolloutDriver. The callbacks run on the entry's thread.
 */
struct RolloutDriverOptions {
    std::string entry;
    /** Proposes a command, with the proposal timeout of the settings. */
    std::function<void(Wire::Command, std::function<void(const ProposeOutcome &)>)> propose;
    RolloutOptions rollout;
};

/** \class RolloutDriver
 * \ingroup Coordination_Module
 * \brief Collects the evidence of one entry and its peers, and proposes what the RolloutController decides.
 *
 * Every entry does so. Equal decisions have equal command ids and expected revisions, so only one of them takes effect.
 * Times are in wall-clock milliseconds.
 */
class RolloutDriver
{
public:
    explicit RolloutDriver(RolloutDriverOptions options);

    void recordStarted(const std::string &version, std::int64_t nowMs);
    void recordEnded(const std::string &model, const std::string &version, AnswerOutcome outcome, double firstTokenMs, bool awaitsRating, std::int64_t nowMs);
    void recordRating(const std::string &version, std::optional<double> rating, std::int64_t nowMs);

    /** \returns true if a rollout of \a model is running and its new version has reached its limit of open answers */
    bool isRolloutFull(const Wire::Configuration &configuration, const std::string &model, std::int64_t nowMs) const;
    /** \returns true if answers of \a version have to be rated, because a rollout from or to it is running */
    static bool needsRating(const Wire::Configuration &configuration, const std::string &version);

    /** \returns this entry's evidence, to be sent to the other entries */
    std::vector<Wire::VersionEvidence> digest(std::int64_t nowMs) const;
    void applyDigests(const std::vector<Wire::EntryDigest> &digests, std::int64_t nowMs);

    /** Decides on all rollouts, logs changed decisions and proposes their commands. To be called about once a second. */
    void decide(const Wire::Configuration &configuration, std::int64_t nowMs);

private:
    void proposeCommand(const RolloutDecision &decision, std::uint64_t revision);
    bool recordIfChanged(const RolloutDecision &decision);

    RolloutDriverOptions options;
    EvidenceStore evidenceStore;
    RolloutController controller;
    unsigned entryCount = 1;
    /** Last logged action and reason by version, so that an unchanged decision is not logged again. */
    std::map<std::string, std::string> lastLoggedReasons;
    /** Ids of commands that have been proposed and have no outcome yet. */
    std::map<std::string, bool> pendingCommandIds;
};

} // namespace Apricothead

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
    /** An error, cut or empty. */
    Failed,
    /** Refused or cancelled, which says nothing of the version. */
    Neutral,
};

/** \class RolloutDriverOptions
 * \ingroup Coordination_Module
 * \brief What a RolloutDriver works with; hooks are called on the entry's thread.
 */
struct RolloutDriverOptions {
    std::string entry;
    /** Proposes a command with the deadline of the settings. */
    std::function<void(Wire::Command, std::function<void(const ProposeOutcome &)>)> propose;
    RolloutOptions rollout;
};

/** \class RolloutDriver
 * \ingroup Coordination_Module
 * \brief Gathers the evidence of one entry and its peers, and carries out what the RolloutController decides.
 *
 * Every entry does so. Equal decisions carry equal command ids and expected revisions, so one of them takes effect.
 * Times are wall-clock milliseconds.
 */
class RolloutDriver
{
public:
    explicit RolloutDriver(RolloutDriverOptions options);

    void recordStarted(const std::string &version, std::int64_t nowMs);
    void recordEnded(const std::string &model, const std::string &version, AnswerOutcome outcome, double firstTokenMs, bool awaitsRating, std::int64_t nowMs);
    void recordRating(const std::string &version, std::optional<double> rating, std::int64_t nowMs);

    /** \returns whether the roll-out of \a model runs and its new version may take no further open answer now */
    bool isRolloutFull(const Wire::Configuration &configuration, const std::string &model, std::int64_t nowMs) const;
    /** \returns whether answers of \a version are worth a rating: a roll-out from or to it runs */
    static bool needsRating(const Wire::Configuration &configuration, const std::string &version);

    /** \returns what to tell the other entries */
    std::vector<Wire::VersionEvidence> digest(std::int64_t nowMs) const;
    void applyDigests(const std::vector<Wire::EntryDigest> &digests, std::int64_t nowMs);

    /** Decides on all roll-outs, logs what changes, and proposes it. Called about once a second. */
    void decide(const Wire::Configuration &configuration, std::int64_t nowMs);

private:
    void proposeCommand(const RolloutDecision &decision, std::uint64_t revision);
    bool recordIfChanged(const RolloutDecision &decision);

    RolloutDriverOptions options;
    EvidenceStore evidenceStore;
    RolloutController controller;
    unsigned entryCount = 1;
    /** Last logged reason by version, so that holds are logged when they change only. */
    std::map<std::string, std::string> lastLoggedReasons;
    /** Command ids under way. */
    std::map<std::string, bool> pendingCommandIds;
};

} // namespace Apricothead

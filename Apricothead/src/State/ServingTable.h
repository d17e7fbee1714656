#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <string>

namespace Apricothead {

/** \class ServingTable
 * \ingroup State_Module
 * \brief The service plan and its roll-outs, which depend on the log alone.
 *
 * The plan with the highest revision wins, so several operators may send and resend plans in any order.
 * \sa StateMachine
 */
class ServingTable
{
public:
    const Wire::ServingState &value() const;

    /** Replaces the plan if \a plan has a higher revision. \returns the revision in force afterwards */
    Wire::CommandResult putPlan(const Wire::ServicePlan &plan, std::uint64_t index);

    /**
     * Starts a roll-out, or replaces the one of the same service. A roll-out to the target of the latest one changes nothing, whatever its state.
     * The target of the one replaced is remembered unless it was completed: its endpoints may still be there, and are not those of the former version.
     * \returns the revision of the plan; ERROR_CODE_NOT_FOUND for a service that is not in the plan; ERROR_CODE_REVISION_CONFLICT with the latest order
     * when it would replace one that it is not based on
     */
    Wire::CommandResult startRollout(const Wire::StartServiceRollout &order, std::uint64_t index, std::int64_t timeMs);

    /**
     * Updates state, share and evidence of the running roll-out that \a change names by service and order.
     * \returns the revision of the plan, or ERROR_CODE_NOT_FOUND when that roll-out is not running or was replaced
     */
    Wire::CommandResult setRollout(const Wire::SetServiceRollout &change, std::uint64_t index);

    /** Records evidence for and against suspect parts. \returns whether it changed anything. \sa SuspectTable */
    Wire::CommandResult updateSuspects(const Wire::UpdateSuspects &update, std::uint64_t index, std::int64_t timeMs);

    /** Grants the trial of a withheld part if it is due. \returns whether it was granted */
    Wire::CommandResult startPartTrial(const Wire::StartPartTrial &trial, std::uint64_t index, std::int64_t timeMs);

    /**
     * Orders the evacuation of an availability zone or withdraws it. An order for a zone that is evacuated already, and a withdrawal for one that is
     * not, change nothing. Whether a zone exists is judged where the order arrives: a zone without endpoints is none the less evacuated.
     * \returns the revision of the plan; ERROR_CODE_INVALID for an empty or overlong name or more than 256 zones; ERROR_CODE_REVISION_CONFLICT as
     * startRollout()
     */
    Wire::CommandResult setEvacuation(const Wire::SetEvacuation &order, std::uint64_t index);

    void restore(const Wire::ServingState &state);

private:
    Wire::ServiceRollout *find(const std::string &service);
    /** Remembers the target of a roll-out that is being replaced, with its verdict. */
    void rememberTarget(const Wire::ServiceRollout &rollout);
    void forgetVersion(const std::string &service, const std::string &version);

    Wire::ServingState state;
};

/** \returns the log index of the latest order to roll out a version of \a service, 0 when there was none. It grows with each order, also with one that
 * changes nothing. */
std::uint64_t latestRolloutOrder(const Wire::ServingState &state, const std::string &service);

} // namespace Apricothead

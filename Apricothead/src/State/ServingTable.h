#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>

namespace Apricothead {

/** \class ServingTable
 * \ingroup State_Module
 * \brief The plan of services and the roll-outs, as a function of the log alone.
 *
 * The plan with the highest revision wins, so that any number of operators may send and resend plans in any order.
 * \sa StateMachine
 */
class ServingTable
{
public:
    const Wire::ServingState &value() const;

    /** \returns the revision that is in force afterwards; a plan that is not newer changes nothing */
    Wire::CommandResult putPlan(const Wire::ServicePlan &plan, std::uint64_t index);

    /** Starts a roll-out. The same order again is answered like the first, whatever became of it. */
    Wire::CommandResult startRollout(const Wire::StartServiceRollout &order, std::uint64_t index, std::int64_t timeMs);

    /** Moves the roll-out that \a change names. An ended one, and one that another order has replaced, stays as it is. */
    Wire::CommandResult setRollout(const Wire::SetServiceRollout &change, std::uint64_t index);

    void restore(const Wire::ServingState &state);

private:
    Wire::ServiceRollout *find(const std::string &service);

    Wire::ServingState state;
};

} // namespace Apricothead

#pragma once

#include "../Protocol/Messages.h"
#include "ExpiryQueue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Apricothead {

/** \returns a hash of the requested change or order and its expected revision, without the command id and what an order is based on */
std::uint64_t commandFingerprint(const Wire::Command &command);

/** \class AnsweredCommands
 * \ingroup State_Module
 * \brief Stores the first answer to each command id, so that a resent command gets the same answer.
 */
class AnsweredCommands
{
public:
    /** \returns the first answer; a refusal with ERROR_CODE_KEY_REUSED when the id was used for another change; nullopt when the id is new */
    std::optional<Wire::CommandResult> findAnswer(const Wire::Command &command) const;

    /** Stores \a result as the answer to the id of \a command. \a timeMs starts its retention. */
    void record(const Wire::Command &command, const Wire::CommandResult &result, std::int64_t timeMs);

    /** Drops answers recorded before \a beforeMs, at most MaxExpiriesPerCommand of them. */
    void expire(std::int64_t beforeMs);

    void save(Wire::StateSnapshot &snapshot) const;
    void restore(const Wire::StateSnapshot &snapshot);

private:
    std::map<std::string, Wire::AnsweredCommand> answers;
    ExpiryQueue expiries;
};

} // namespace Apricothead

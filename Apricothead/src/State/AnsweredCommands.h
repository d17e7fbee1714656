#pragma once

#include "../Protocol/Messages.h"
#include "ExpiryQueue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Apricothead {

/** \returns a hash of what the operator asked for and its expected revision, without the command id */
std::uint64_t commandFingerprint(const Wire::Command &command);

/** \class AnsweredCommands
 * \ingroup State_Module
 * \brief The first answer to each command id, so that a resend gets it again.
 */
class AnsweredCommands
{
public:
    /** \returns the first answer; an error when the id was used for another change; nothing when the id is new */
    std::optional<Wire::CommandResult> findAnswer(const Wire::Command &command) const;

    void record(const Wire::Command &command, const Wire::CommandResult &result, std::int64_t timeMs);

    /** Drops a bounded number of answers that were given before \a beforeMs. */
    void expire(std::int64_t beforeMs);

    void save(Wire::StateSnapshot &snapshot) const;
    void restore(const Wire::StateSnapshot &snapshot);

private:
    std::map<std::string, Wire::AnsweredCommand> answers;
    ExpiryQueue expiries;
};

} // namespace Apricothead

#pragma once

#include "StateErrors.h"

#include <cstdint>

namespace Apricothead {

/** \class ConfigurationState
 * \ingroup State_Module
 * \brief The current configuration; each change increments its revision.
 */
class ConfigurationState
{
public:
    /** Applies the change of \a command if it expects the current revision and passes the checks. \returns the new revision or an error */
    Wire::CommandResult apply(const Wire::Command &command, std::int64_t timeMs);

    const Wire::Configuration &value() const;
    void restore(Wire::Configuration configuration);

private:
    Wire::CommandResult conflict(std::uint64_t expectedRevision) const;

    Wire::Configuration configuration;
};

} // namespace Apricothead

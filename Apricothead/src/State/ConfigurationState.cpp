#include "ConfigurationState.h"

#include "ConfigurationChecks.h"
#include "ConfigurationEdits.h"

#include <utility>

namespace Apricothead {

Wire::CommandResult ConfigurationState::apply(const Wire::Command &command, std::int64_t timeMs)
{
    const Wire::ConfigurationChange &change = command.change();
    const std::uint64_t expectedRevision = command.expected_revision();
    if (expectedRevision != this->configuration.revision()) {
        return this->conflict(expectedRevision);
    }
    const Check check = checkChange(this->configuration, change);
    if (check.has_error()) {
        Wire::Error error = check.error();
        error.set_current_revision(this->configuration.revision());
        return refusalResult(std::move(error));
    }
    this->configuration.set_revision(this->configuration.revision() + 1);
    this->configuration.set_changed_at_ms(timeMs);
    this->configuration.set_last_change(changeSummary(change) + (command.actor().empty() ? "" : " by " + command.actor()));
    editConfiguration(this->configuration, change);
    Wire::CommandResult result;
    result.set_revision(this->configuration.revision());
    return result;
}

const Wire::Configuration &ConfigurationState::value() const
{
    return this->configuration;
}

void ConfigurationState::restore(Wire::Configuration restored)
{
    this->configuration = std::move(restored);
}

Wire::CommandResult ConfigurationState::conflict(std::uint64_t expectedRevision) const
{
    const std::string current = std::to_string(this->configuration.revision());
    Wire::Error error = makeError(Wire::ERROR_CODE_REVISION_CONFLICT,
                                  "expected_revision",
                                  "is " + std::to_string(expectedRevision) + ", but the current revision is " + current,
                                  "read the configuration again, then repeat the change with expected_revision " + current + " and a new command_id");
    error.set_current_revision(this->configuration.revision());
    return refusalResult(std::move(error));
}

} // namespace Apricothead

#include "Commands.h"
#include "SettingsArgument.h"

#include <Apricothead/Coordination>

#include <iostream>

namespace Apricothead {
namespace {

/** \returns the settings when they have the replica role; says what is wrong otherwise */
std::optional<Settings> replicaSettings(const CommandLine &line)
{
    const SettingsResult settings = settingsOrFaults(line.settings);
    if (!settings) {
        return std::nullopt;
    }
    if (!settings.value().replica) {
        std::cerr << "/replica: these settings have no replica role\n";
        return std::nullopt;
    }
    return settings.value();
}

} // namespace

int init(const CommandLine &line)
{
    const std::optional<Settings> settings = replicaSettings(line);
    if (!settings) {
        return ExitUsage;
    }
    const StoreResult<std::string> replica = initGroup(*settings);
    if (!replica) {
        std::cerr << "apricothead: no group was created: " << replica.error().message << '\n';
        return ExitFailure;
    }
    std::cout << "group " << settings->group << " created with replica " << replica.value() << '\n';
    return ExitSuccess;
}

int recover(const CommandLine &line)
{
    const std::optional<Settings> settings = replicaSettings(line);
    if (!settings) {
        return ExitUsage;
    }
    const StoreResult<std::uint64_t> index = recoverGroup(*settings, line.confirmation);
    if (!index) {
        std::cerr << "apricothead: not recovered: " << index.error().message << '\n';
        return ExitFailure;
    }
    std::cout << "group " << settings->group << " goes on with this replica alone, from log position " << index.value() << '\n';
    return ExitSuccess;
}

} // namespace Apricothead

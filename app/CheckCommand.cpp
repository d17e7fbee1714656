#include "Commands.h"
#include "SettingsArgument.h"

#include "BuildIdentity.h"

#include <iostream>

namespace Apricothead {

int check(const CommandLine &line)
{
    const std::string path = line.words.empty() ? line.settings : line.words.front();
    const SettingsResult settings = settingsOrFaults(path);
    if (!settings) {
        return ExitUsage;
    }
    std::cout << path << ": no fault\n";
    return ExitSuccess;
}

int version(const CommandLine & /*line*/)
{
    std::cout << "apricothead " << BuildIdentity << '\n';
    return ExitSuccess;
}

} // namespace Apricothead

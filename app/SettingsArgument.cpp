#include "SettingsArgument.h"

#include <iostream>

namespace Apricothead {

SettingsResult settingsOrFaults(const std::string &path)
{
    SettingsResult settings
        = path.empty() ? SettingsResult(std::vector<SettingsFault>{{.path = "", .message = "no settings file was named"}}) : readSettingsFile(path);
    if (settings) {
        return settings;
    }
    for (const SettingsFault &fault : settings.error()) {
        std::cerr << (fault.path.empty() ? "/" : fault.path) << ": " << fault.message << '\n';
    }
    return settings;
}

} // namespace Apricothead

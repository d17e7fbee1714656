#pragma once

#include <Apricothead/Protocol>

#include <string>

namespace Apricothead {

/** Reads the settings file of a command and prints each fault to standard error. */
SettingsResult settingsOrFaults(const std::string &path);

} // namespace Apricothead

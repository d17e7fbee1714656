#pragma once

#include "Settings.h"

#include <boost/outcome.hpp>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothead {

/** \class SettingsFault
 * \ingroup Protocol_Module
 * \brief One fault of a settings file: where it is, what is wrong and what to do.
 */
struct SettingsFault {
    /** JSON path, as \c /entry/callerAddress; empty for the whole file. */
    std::string path;
    std::string message;

    auto operator<=>(const SettingsFault &) const = default;
};

/** Settings, or all faults found. */
using SettingsResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<Settings, std::vector<SettingsFault>, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/** Reads settings from JSON text; comments are allowed. \returns the settings with defaults filled in, or every fault at once */
SettingsResult readSettings(std::string_view text);

/** Reads settings from the file at \a path. \sa readSettings */
SettingsResult readSettingsFile(const std::string &path);

} // namespace Apricothead

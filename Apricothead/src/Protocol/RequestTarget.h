#pragma once

#include <string_view>

namespace Apricothead {

/** \returns whether \a target is a path with an optional query that can be passed on as it is: RFC 9112's origin-form, where bytes from 0x80 on are
 * allowed as well */
bool isOriginForm(std::string_view target);

} // namespace Apricothead

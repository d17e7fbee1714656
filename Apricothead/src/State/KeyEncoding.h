#pragma once

#include "../Protocol/Messages.h"

#include <string>
#include <string_view>

namespace Apricothead {

/** \returns the parts joined so that no two lists of parts give the same bytes */
std::string encodeParts(std::initializer_list<std::string_view> parts);

/** \returns the bytes that name a request within the tables */
std::string encodeKey(const Wire::RequestKey &key);

/** \returns the 16-byte xxh128 hash of \a bytes, the same on every machine */
std::string hash128(std::string_view bytes);

} // namespace Apricothead

#pragma once

#include "../Protocol/Messages.h"

#include <string>
#include <string_view>

namespace Apricothead {

/** \returns the parts, each prefixed with its length as 4 big-endian bytes, so that different lists never encode to the same bytes */
std::string encodeParts(std::initializer_list<std::string_view> parts);

/** \returns the bytes that identify a request in the tables */
std::string encodeKey(const Wire::RequestKey &key);

/** \returns the 16-byte XXH128 hash of \a bytes in canonical byte order, equal on all platforms */
std::string hash128(std::string_view bytes);

} // namespace Apricothead

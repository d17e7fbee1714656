#pragma once

#include <string>
#include <string_view>

namespace Apricothead {

/** \returns the SHA-256 of \a text in lower-case hexadecimal */
std::string sha256Hex(std::string_view text);

/** Compares in a time that depends on the lengths only. \returns true when both are equal */
bool equalInConstantTime(std::string_view left, std::string_view right);

/** \returns the token of an \c Authorization field of type Bearer; empty when it is none */
std::string_view bearerToken(std::string_view authorization);

/** \returns \a bytes random bytes in lower-case hexadecimal */
std::string randomHex(unsigned bytes);

} // namespace Apricothead

#pragma once

#include "StateErrors.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Apricothead {

/** Longest id of anything that operators name, in bytes. */
constexpr std::size_t MaxIdBytes = 64;
/** Longest free text an operator gives, in bytes. */
constexpr std::size_t MaxTextBytes = 500;
/** Highest price, in millionths of the currency; keeps a bill within 64 bits. */
constexpr std::uint64_t MaxPriceMicros = 1'000'000'000;
/** Most entries of one list within an organisation or cascade. */
constexpr int MaxListItems = 256;
/** Most items of one kind in the configuration. */
constexpr int MaxItems = 20'000;

/** Passes letters, digits, dot, dash and underscore, 1 to MaxIdBytes of them. */
Check checkId(const std::string &field, std::string_view id);

/** Passes valid text of at most MaxTextBytes without control characters. */
Check checkText(const std::string &field, std::string_view text);

/** Passes finite numbers from 0 to \a highest. */
Check checkNumber(const std::string &field, double number, double maximum);

/** Passes at most \a most entries. */
Check checkCount(const std::string &field, int count, int maximum);

/** \returns the path of an entry of a list, as \c models[2] */
std::string itemPath(std::string_view list, int position);

} // namespace Apricothead

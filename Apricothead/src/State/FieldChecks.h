#pragma once

#include "StateErrors.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Apricothead {

/** Limit on the ids that operators choose. */
constexpr std::size_t MaxIdBytes = 64;
/** Limit on free text from an operator. */
constexpr std::size_t MaxTextBytes = 500;
/** Limit on a price, in millionths of the currency; a cost then fits into 64 bits. */
constexpr std::uint64_t MaxPriceMicros = 1'000'000'000;
/** Limit on the entries of one list within an organisation or cascade. */
constexpr int MaxListItems = 256;
/** Limit on the items of one kind in the configuration. */
constexpr int MaxItems = 20'000;

/** Accepts 1 to MaxIdBytes letters, digits, dots, dashes and underscores. */
Check checkId(const std::string &field, std::string_view id);

/** Accepts text of at most MaxTextBytes without control characters. */
Check checkText(const std::string &field, std::string_view text);

/** Accepts finite numbers from 0 to \a maximum. */
Check checkNumber(const std::string &field, double number, double maximum);

/** Accepts at most \a maximum entries. */
Check checkCount(const std::string &field, int count, int maximum);

/** \returns the path of a list entry, such as \c models[2] */
std::string itemPath(std::string_view list, int position);

} // namespace Apricothead

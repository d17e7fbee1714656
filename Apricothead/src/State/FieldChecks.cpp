#include "FieldChecks.h"

#include <algorithm>
#include <cmath>

namespace Apricothead {
namespace {

bool isIdCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
}

bool isControlCharacter(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

} // namespace

Check checkId(const std::string &field, std::string_view id)
{
    if (id.empty()) {
        return makeError(Wire::ERROR_CODE_INVALID, field, "is missing", "give an id");
    }
    if (id.size() > MaxIdBytes) {
        return makeError(Wire::ERROR_CODE_INVALID, field, "is longer than " + std::to_string(MaxIdBytes) + " bytes", "shorten the id");
    }
    if (!std::all_of(id.begin(), id.end(), isIdCharacter)) {
        return makeError(Wire::ERROR_CODE_INVALID, field, "has other characters than letters, digits, '.', '-' and '_'", "change the id");
    }
    return outcome::success();
}

Check checkText(const std::string &field, std::string_view text)
{
    if (text.size() > MaxTextBytes) {
        return makeError(Wire::ERROR_CODE_INVALID, field, "is longer than " + std::to_string(MaxTextBytes) + " bytes", "shorten the text");
    }
    if (std::any_of(text.begin(), text.end(), isControlCharacter)) {
        return makeError(Wire::ERROR_CODE_INVALID, field, "has control characters", "give one line of plain text");
    }
    return outcome::success();
}

Check checkNumber(const std::string &field, double number, double maximum)
{
    if (!std::isfinite(number) || number < 0 || number > maximum) {
        return makeError(Wire::ERROR_CODE_INVALID, field, "is not between 0 and " + std::to_string(maximum), "give a number in that range");
    }
    return outcome::success();
}

Check checkCount(const std::string &field, int count, int maximum)
{
    if (count > maximum) {
        return makeError(Wire::ERROR_CODE_INVALID, field, "has more than " + std::to_string(maximum) + " entries", "remove entries");
    }
    return outcome::success();
}

std::string itemPath(std::string_view list, int position)
{
    return std::string(list) + "[" + std::to_string(position) + "]";
}

} // namespace Apricothead

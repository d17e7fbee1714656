#include "HttpHeadCoverage.h"

#include <algorithm>
#include <functional>

namespace Apricothead::detail {
namespace {

/** A line ends with CR LF, or with LF alone. */
constexpr std::size_t MaxLineEnd = 2;

bool areAll(std::string_view text, std::string_view characters)
{
    return text.find_first_not_of(characters) == std::string_view::npos;
}

constexpr std::string_view Nul("\0", 1);

} // namespace

HttpHeadCoverage::HttpHeadCoverage(std::string_view headBytes) : head(headBytes)
{ }

void HttpHeadCoverage::addRequestLine(std::size_t methodSize, std::size_t targetSize, std::string_view version)
{
    const std::size_t at = this->offsetOf(version);
    this->hasGap = this->hasGap || at != methodSize + 1 + targetSize + 1;
    this->covered = at + version.size();
}

void HttpHeadCoverage::addField(std::string_view name, std::string_view value)
{
    const std::size_t nameAt = this->offsetOf(name);
    const std::size_t valueAt = this->offsetOf(value);
    this->hasGap = this->hasGap || nameAt == std::string_view::npos || valueAt == std::string_view::npos;
    if (this->hasGap) {
        return;
    }
    const std::size_t colonAt = nameAt + name.size();
    const bool isSeparated = colonAt < valueAt && this->head[colonAt] == '\0' && areAll(this->head.substr(colonAt + 1, valueAt - colonAt - 1), " \t");
    this->hasGap = !isSeparated || !this->isLineEnd(this->covered, nameAt);
    this->covered = valueAt + value.size();
}

bool HttpHeadCoverage::isWhole() const
{
    if (this->hasGap || this->covered >= this->head.size()) {
        return false;
    }
    const std::string_view end = this->head.substr(this->covered);
    return end.size() >= 2 && end.size() <= 2 * MaxLineEnd && areAll(end, Nul);
}

std::size_t HttpHeadCoverage::offsetOf(std::string_view part) const
{
    // Unrelated pointers have no order with the plain operators.
    constexpr std::less_equal<const char *> IsUpTo;
    const bool isInside = IsUpTo(this->head.data(), part.data()) && IsUpTo(part.data() + part.size(), this->head.data() + this->head.size());
    return isInside ? static_cast<std::size_t>(part.data() - this->head.data()) : std::string_view::npos;
}

bool HttpHeadCoverage::isLineEnd(std::size_t from, std::size_t to) const
{
    return from < to && to - from <= MaxLineEnd && areAll(this->head.substr(from, to - from), Nul);
}

} // namespace Apricothead::detail

#include "HttpFraming.h"

#include <algorithm>
#include <cctype>

namespace Apricothead::detail {
namespace {

constexpr std::string_view LengthField = "content-length";
constexpr std::string_view CodingField = "transfer-encoding";
constexpr std::string_view HostField = "host";
constexpr std::string_view Chunked = "chunked";
/** Digits of the largest length that fits into 64 bits with any value. */
constexpr std::size_t MaxLengthDigits = 19;

bool isTokenCharacter(unsigned char c)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    return std::isalnum(c) != 0 || Others.find(static_cast<char>(c)) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c == '\t' || std::iscntrl(c) == 0;
    });
}

bool isLength(std::string_view text)
{
    const bool isNumber = !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isdigit(c) != 0;
    });
    const std::size_t zeros = std::min(text.find_first_not_of('0'), text.size());
    return isNumber && text.size() - zeros <= MaxLengthDigits;
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return lower;
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

} // namespace

std::size_t findStatusLine(std::string_view line, std::size_t from)
{
    constexpr std::string_view Start = "HTTP/";
    // Digits stand for any digit.
    constexpr std::string_view Form = "HTTP/1.1 200";
    for (std::size_t at = line.find(Start, from); at != std::string_view::npos; at = line.find(Start, at + 1)) {
        const std::string_view found = line.substr(at, Form.size());
        const bool isStatusLine = std::equal(found.begin(), found.end(), Form.begin(), Form.end(), [](char actual, char expected) {
            return isDigit(expected) ? isDigit(actual) : actual == expected;
        });
        if (isStatusLine) {
            return at;
        }
    }
    return std::string_view::npos;
}

std::string_view framingFaultName(HttpFramingFault fault)
{
    switch (fault) {
    case HttpFramingFault::None:
        return "none";
    case HttpFramingFault::Name:
        return "field-name";
    case HttpFramingFault::Value:
        return "field-value";
    case HttpFramingFault::Length:
        return "length";
    case HttpFramingFault::Coding:
        return "transfer-coding";
    case HttpFramingFault::LengthAndCoding:
        return "length-and-transfer-coding";
    case HttpFramingFault::Host:
        return "host";
    case HttpFramingFault::Hidden:
        return "hidden-bytes";
    }
    return "none";
}

void HttpFraming::addField(std::string_view name, std::string_view value)
{
    const std::string field = lowerCase(name);
    const bool isLengthField = field == LengthField;
    const bool isCodingField = field == CodingField;
    // libmicrohttpd appends a folded line to the name of the field.
    const bool isFolded = (field.starts_with(LengthField) && !isLengthField) || (field.starts_with(CodingField) && !isCodingField);
    this->hasBadName = this->hasBadName || isFolded || !isToken(field);
    this->hasBadValue = this->hasBadValue || !isFieldValue(value);
    this->hasBadLength = this->hasBadLength || (isLengthField && !isLength(value));
    this->hasBadCoding = this->hasBadCoding || (isCodingField && lowerCase(value) != Chunked);
    this->lengths += isLengthField ? 1 : 0;
    this->codings += isCodingField ? 1 : 0;
    this->hosts += field == HostField ? 1 : 0;
}

void HttpFraming::addHidden()
{
    this->hasHidden = true;
}

bool HttpFraming::isDelimited() const
{
    return this->lengths > 0 || this->codings > 0;
}

HttpFramingFault HttpFraming::fault(HttpMessageKind kind) const
{
    const bool hasCodings = kind != HttpMessageKind::Http10Request;
    const unsigned minHosts = kind == HttpMessageKind::Request ? 1 : 0;
    if (this->hasHidden) {
        return HttpFramingFault::Hidden;
    }
    if (this->hasBadName) {
        return HttpFramingFault::Name;
    }
    if (this->hasBadValue) {
        return HttpFramingFault::Value;
    }
    if (this->lengths > 0 && this->codings > 0) {
        return HttpFramingFault::LengthAndCoding;
    }
    if (this->lengths > 1 || this->hasBadLength) {
        return HttpFramingFault::Length;
    }
    if (this->codings > 1 || this->hasBadCoding || (this->codings > 0 && !hasCodings)) {
        return HttpFramingFault::Coding;
    }
    return this->hosts > 1 || this->hosts < minHosts ? HttpFramingFault::Host : HttpFramingFault::None;
}

} // namespace Apricothead::detail

#pragma once

#include <cstddef>
#include <string_view>

namespace Apricothead::detail {

/** \class HttpHeadCoverage
 * \ingroup Transport_Module
 * \brief Checks that no byte of a request's head is left out of what libmicrohttpd tells about it.
 *
 * libmicrohttpd reads a head in place: names, values and line ends stay where they arrived, with the colons and line ends overwritten by NULs. Bytes
 * behind a NUL, and a field without a name, which it takes for the end of the head, are in none of them.
 */
class HttpHeadCoverage
{
public:
    /** \a headBytes: from the method to the empty line, both included */
    explicit HttpHeadCoverage(std::string_view headBytes);

    /** The parts of the request line, which stand one blank apart. \a version: as it stands in the head */
    void addRequestLine(std::size_t methodSize, std::size_t targetSize, std::string_view version);

    /** The next field, as it stands in the head. */
    void addField(std::string_view name, std::string_view value);

    /** \returns whether the parts and their separators are the whole head */
    bool isWhole() const;

private:
    /** \returns where \a part begins, npos if it is no part of the head */
    std::size_t offsetOf(std::string_view part) const;
    bool isLineEnd(std::size_t from, std::size_t to) const;

    std::string_view head;
    /** End of the parts so far. */
    std::size_t covered = 0;
    bool hasGap = false;
};

} // namespace Apricothead::detail

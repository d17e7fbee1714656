#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Apricothead::detail {

/** \enum HttpFramingFault
 * \ingroup Transport_Module
 * \brief Why the end of a message can be read in more than one way.
 */
enum class HttpFramingFault {
    None,
    /** A name that is no token: with a blank before the colon, or joined with a folded line. */
    Name,
    /** A control character in a value. */
    Value,
    /** More than one length, or one that is no number. */
    Length,
    /** A transfer coding other than chunks alone, or one that the version of the protocol lacks. */
    Coding,
    /** A length beside a transfer coding. */
    LengthAndCoding,
    /** More than one host, or none where one has to be named. */
    Host,
    /** Bytes of the head that are in no field. */
    Hidden,
};

/** \enum HttpMessageKind
 * \ingroup Transport_Module
 * \brief What a head begins.
 */
enum class HttpMessageKind {
    Request,
    /** Without transfer codings, and with or without a host. */
    Http10Request,
    Answer,
};

std::string_view framingFaultName(HttpFramingFault fault);

/** \returns where a status line stands in \a line of a head, from \a from on: at its begin, or joined to a line that was cut off; npos if nowhere */
std::size_t findStatusLine(std::string_view line, std::size_t from = 0);

/** \class HttpFraming
 * \ingroup Transport_Module
 * \brief Checks that the header fields of a message leave no doubt about where its body ends.
 *
 * Two readers that disagree on that take a part of one message for another message.
 */
class HttpFraming
{
public:
    void addField(std::string_view name, std::string_view value);

    /** Bytes of the head are in no field. */
    void addHidden();

    /** \returns whether the message names a length or comes in chunks, so that its body does not end with its connection */
    bool isDelimited() const;

    /** \returns the first fault found */
    HttpFramingFault fault(HttpMessageKind kind) const;

private:
    bool hasHidden = false;
    bool hasBadName = false;
    bool hasBadValue = false;
    bool hasBadLength = false;
    bool hasBadCoding = false;
    unsigned lengths = 0;
    unsigned codings = 0;
    unsigned hosts = 0;
};

} // namespace Apricothead::detail

#pragma once

#include "../../Protocol/Messages.h"

#include <boost/outcome.hpp>
#include <google/protobuf/message.h>

#include <optional>
#include <string>
#include <string_view>

namespace Apricothead {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/** \enum ConnectEncoding
 * \ingroup Coordination_Module
 * \brief Encoding of the messages of a unary call in the Connect protocol.
 */
enum class ConnectEncoding {
    Json,
    Binary,
};

/** \class ConnectError
 * \ingroup Coordination_Module
 * \brief An error of the Connect protocol: its HTTP status, its code and its JSON body.
 * \sa https://connectrpc.com/docs/protocol#error-end-stream
 */
struct ConnectError {
    unsigned status = 500;
    std::string body;

    bool operator==(const ConnectError &) const = default;
};

/** \returns the encoding for \a contentType, or nothing when it is not one of unary calls */
std::optional<ConnectEncoding> connectEncoding(std::string_view contentType);

std::string_view contentTypeOf(ConnectEncoding encoding);

/** Parses \a body into \a message. JSON with unknown fields is rejected. \returns the error when \a body cannot be parsed */
outcome::unchecked<void, Wire::Error> readMessage(ConnectEncoding encoding, const std::string &body, google::protobuf::Message &message);

/** \returns \a message in \a encoding; in JSON, fields with default values are included */
std::string writeMessage(ConnectEncoding encoding, const google::protobuf::Message &message);

/** \returns \a error as an error of the Connect protocol. Its message combines the field, the problem and the remedy; its detail has them
 * as separate fields. */
ConnectError connectError(const Wire::Error &error);

/** \returns an error without details; \a code is a code of the Connect protocol */
ConnectError connectError(unsigned status, std::string_view code, std::string_view message);

} // namespace Apricothead

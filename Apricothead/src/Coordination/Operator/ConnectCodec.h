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
 * \brief How the messages of a Connect-protocol unary call are written.
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

/** \returns nothing when \a contentType is no encoding of unary calls */
std::optional<ConnectEncoding> connectEncoding(std::string_view contentType);

std::string_view contentTypeOf(ConnectEncoding encoding);

/** Reads \a body into \a message. JSON with unknown fields is refused. */
outcome::unchecked<void, Wire::Error> readMessage(ConnectEncoding encoding, const std::string &body, google::protobuf::Message &message);

std::string writeMessage(ConnectEncoding encoding, const google::protobuf::Message &message);

/** \returns \a error as operators see it: field, what is wrong with it and what to do, in one message and as a detail */
ConnectError connectError(const Wire::Error &error);

/** \returns an error that needs no detail, with a code of the Connect protocol */
ConnectError connectError(unsigned status, std::string_view code, std::string_view message);

} // namespace Apricothead

#pragma once

#include "../../Protocol/Settings.h"
#include "../../Transport/HttpServer.h"
#include "OperatorBackend.h"

#include <memory>
#include <string>
#include <vector>

namespace Apricothead {

class EventLoop;

/** \class OperatorApi
 * \ingroup Coordination_Module
 * \brief Handles operators' HTTP requests: the Connect-protocol calls of the schema, and GET of /report and /metrics.
 */
class OperatorApi
{
public:
    OperatorApi(std::vector<OperatorToken> tokens, OperatorBackend backend);

    void handle(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) const;

private:
    std::vector<OperatorToken> tokens;
    std::shared_ptr<OperatorBackend> backend;
};

/** \class OperatorService
 * \ingroup Coordination_Module
 * \brief HTTP server for operators, at the operator address of the settings.
 * \sa OperatorApi
 */
class OperatorService
{
public:
    /** \returns a listening service, or nullptr when the settings have no operator address or no operator token */
    static std::unique_ptr<OperatorService> start(EventLoop &loop, const EntrySettings &settings, OperatorBackend backend);

    /** Stops accepting connections; open ones are kept. */
    void stopListening();
    /** \returns the address that the server is bound to */
    std::string address() const;

private:
    OperatorService(EventLoop &loop, const EntrySettings &settings, OperatorBackend backend);

    OperatorApi api;
    HttpServer server;
};

} // namespace Apricothead

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
 * \brief Answers operators' HTTP requests: the Connect-protocol calls of the schema, and the pages /report and /metrics.
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
 * \brief Listens for operators at the address of the settings.
 * \sa OperatorApi
 */
class OperatorService
{
public:
    /** \returns a service that listens, or nothing when the settings name no address or no token */
    static std::unique_ptr<OperatorService> start(EventLoop &loop, const EntrySettings &settings, OperatorBackend backend);

    /** Accepts no new connection; open ones go on. */
    void stopListening();
    std::string address() const;

private:
    OperatorService(EventLoop &loop, const EntrySettings &settings, OperatorBackend backend);

    OperatorApi api;
    HttpServer server;
};

} // namespace Apricothead

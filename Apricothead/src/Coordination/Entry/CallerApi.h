#pragma once

#include "CallerAnswer.h"
#include "CallerRequest.h"

#include "../../Protocol/Messages.h"
#include "../../Transport/HttpServer.h"

#include <functional>
#include <memory>

namespace Apricothead {

/** \class CallerApiOptions
 * \ingroup Coordination_Module
 * \brief Callbacks of a CallerApi into its entry.
 */
struct CallerApiOptions {
    /** \returns null until the first configuration has arrived */
    std::function<const Wire::Configuration *()> configuration;
    std::function<bool()> isLeaving;
    /** Called with each valid request that needs a run. */
    std::function<void(CallerRequest, std::unique_ptr<CallerAnswer>)> onRequest;
};

/** \class CallerApi
 * \ingroup Coordination_Module
 * \brief HTTP API of the callers: authenticates and parses requests, answers those that need no run, and rejects invalid ones.
 */
class CallerApi
{
public:
    explicit CallerApi(CallerApiOptions options);

    void serve(const HttpRequest &http, const std::shared_ptr<HttpReply> &reply) const;

private:
    void routeRequest(const HttpRequest &http, const std::shared_ptr<HttpReply> &reply, const std::string &requestId) const;
    void serveModels(const HttpRequest &http, HttpReply &reply, const Wire::Organisation &organisation, const std::string &requestId) const;
    void serveHealth(HttpReply &reply, const std::string &requestId) const;
    void startRequest(CallerRequestResult parsed, const std::shared_ptr<HttpReply> &reply, const std::string &requestId) const;

    CallerApiOptions options;
};

} // namespace Apricothead

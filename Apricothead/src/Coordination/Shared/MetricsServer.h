#pragma once

#include "Metrics.h"

#include "../../Transport/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Apricothead {

class EventLoop;

/** \class MetricsServer
 * \ingroup Coordination_Module
 * \brief Serves the metrics of one process as text under \c /metrics, and those of the loop that it runs on.
 */
class MetricsServer
{
public:
    /** \a read is called for each request. Throws std::runtime_error when the address is not available. */
    MetricsServer(EventLoop &loop, const std::string &address, std::function<std::vector<MetricLine>()> read);

    std::string boundAddress() const;

private:
    std::unique_ptr<HttpServer> server;
};

} // namespace Apricothead
